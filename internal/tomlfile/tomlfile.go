// Package tomlfile reads TOML files in layers and reports every problem with its
// file, line and key.
package tomlfile

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Problem is one thing that is wrong with a file.
type Problem struct {
	File string `json:"file"`
	// Line is 1 or more; 0 when the problem has no line of its own, such as a
	// missing key.
	Line int    `json:"line"`
	Key  string `json:"key"`
	// Text says what is wrong and what to write instead.
	Text string `json:"text"`
}

// String returns the problem as file:line: key: text.
func (p Problem) String() string {
	s := p.File
	if p.Line > 0 {
		s += fmt.Sprintf(":%d", p.Line)
	}
	if p.Key != "" {
		s += ": " + p.Key
	}
	return s + ": " + p.Text
}

// Problems is all that is wrong with a set of files.
type Problems []Problem

// Error implements error with one line a problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

type origin struct {
	file string
	line int
}

// Document is the merged content of one or more files. A path names a key by its
// tables; elements of arrays of tables stand by their name, such as
// service[chat].class[chat].first.
type Document struct {
	tree     map[string]any
	origins  map[string]origin
	problems Problems
	files    []string
	// broken is true once a file could not be read or parsed.
	unreadable bool
}

// Load reads the files and merges each into those before it: tables merge by
// key, arrays of tables merge by their name, everything else is replaced.
func Load(paths ...string) *Document {
	d := &Document{tree: make(map[string]any), origins: make(map[string]origin), files: paths}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			d.problems = append(d.problems, Problem{File: path, Text: "cannot be read: " + err.Error()})
			d.unreadable = true
			continue
		}
		d.add(path, data)
	}
	return d
}

// Parse returns the document of one file's content.
func Parse(name string, data []byte) *Document {
	d := &Document{tree: make(map[string]any), origins: make(map[string]origin), files: []string{name}}
	d.add(name, data)
	return d
}

func (d *Document) add(file string, data []byte) {
	var layer map[string]any
	if err := toml.Unmarshal(data, &layer); err != nil {
		p := Problem{File: file, Text: err.Error()}
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			p.Line, _ = decodeErr.Position()
			p.Key = strings.Join(decodeErr.Key(), ".")
		}
		d.problems = append(d.problems, p)
		d.unreadable = true
		return
	}
	d.recordOrigins(file, keyLines(data), layer, "", "")
	mergeTables(d.tree, layer)
}

// locate records the origin of every key below a table and reports names that
// stand twice in one array. fileKey is the table's path in the file's own
// numbering, key its path in the document.
func (d *Document) recordOrigins(file string, lines map[string]int, table map[string]any, fileKey, key string) {
	for name, value := range table {
		inFile, inDocument := joinKey(fileKey, name), joinKey(key, name)
		d.origins[inDocument] = origin{file, lines[inFile]}
		switch value := value.(type) {
		case map[string]any:
			d.recordOrigins(file, lines, value, inFile, inDocument)
		case []any:
			d.recordElementOrigins(file, lines, value, inFile, inDocument)
		}
	}
}

func (d *Document) recordElementOrigins(file string, lines map[string]int, list []any, fileKey, key string) {
	seen := make(map[string]bool)
	for i, element := range list {
		table, ok := element.(map[string]any)
		if !ok {
			continue
		}
		elementFileKey, elementPath := fmt.Sprintf("%s[%d]", fileKey, i), elementKey(key, i, table)
		d.origins[elementPath] = origin{file, lines[elementFileKey]}
		if table["name"] != nil && seen[elementPath] {
			d.problems = append(d.problems, Problem{File: file, Line: lines[elementFileKey], Key: elementPath, Text: "this name stands twice in the file; names must differ"})
		}
		seen[elementPath] = true
		d.recordOrigins(file, lines, table, elementFileKey, elementPath)
	}
}

func elementKey(key string, i int, table map[string]any) string {
	if name, ok := table["name"].(string); ok {
		return fmt.Sprintf("%s[%s]", key, name)
	}
	return fmt.Sprintf("%s[%d]", key, i)
}

// Report adds a problem at a key. A key that the files do not hold is reported at
// the nearest table around it.
func (d *Document) Report(key, format string, args ...any) {
	p := Problem{Key: key, Text: fmt.Sprintf(format, args...)}
	nearest := key
	for {
		if o, ok := d.origins[nearest]; ok && o.line > 0 {
			p.File, p.Line = o.file, o.line
			break
		}
		cut := strings.LastIndexAny(nearest, ".[")
		if cut < 0 {
			break
		}
		nearest = nearest[:cut]
	}
	if p.File == "" && len(d.files) > 0 {
		p.File = d.files[0]
	}
	d.problems = append(d.problems, p)
}

// Err returns all problems in the order of files and lines, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	sorted := slices.Clone(d.problems)
	slices.SortStableFunc(sorted, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(slices.Index(d.files, a.File), slices.Index(d.files, b.File)),
			cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Text, b.Text))
	})
	return slices.Compact(sorted)
}
