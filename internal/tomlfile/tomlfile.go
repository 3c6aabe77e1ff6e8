// Package tomlfile reads TOML files, merges them into one document and reports every
// problem with its file, line and key.
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

// Problem is an error in a file.
type Problem struct {
	File string `json:"file"`
	// Line starts at 1; it is 0 if no line is known, such as for a missing top-level
	// key.
	Line int    `json:"line"`
	Key  string `json:"key"`
	// Text describes the problem and its remedy.
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

// Problems lists all problems of a set of files.
type Problems []Problem

// Error returns one line for each problem.
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

// Document is the merged content of one or more files. A key is identified by its path,
// the names of the enclosing tables and its own name separated by dots. An element of an
// array of tables is identified by its name, such as service[chat].class[chat].first.
type Document struct {
	tree     map[string]any
	origins  map[string]origin
	problems Problems
	files    []string
	// unreadable is true if a file could not be read or parsed.
	unreadable bool
}

// Load reads the files and merges each into the ones before it: tables are merged by
// key, and arrays of tables by the names of their elements if all elements have a name.
// Other values are replaced.
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

// Parse returns the document for the content of one file.
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

// recordOrigins records the file and line of every key below a table and reports
// duplicate names in an array. fileKey is the table's path in the file, with indexes of
// array elements; key is its path in the document, with their names.
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
			d.problems = append(d.problems, Problem{File: file, Line: lines[elementFileKey], Key: elementPath, Text: "this name occurs twice in the file; names must be unique"})
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

// Report adds a problem at a key. If the files do not contain the key, the problem gets
// the line of the nearest enclosing table.
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

// Err returns all problems sorted by file and line, or nil if there are none.
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
