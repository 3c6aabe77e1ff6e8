package tomlfile

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines maps the path of each key in a file to its line. Unlike in a Document, an
// element of an array of tables is identified by its index in the file, such as
// service[0].class[1].first.
func keyLines(data []byte) map[string]int {
	lines := make(map[string]int)
	counts := make(map[string]int)
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		path, line := "", 0
		keys := e.Key()
		for keys.Next() {
			key := keys.Node()
			line = p.Shape(key.Raw).Start.Line
			path = joinKey(path, string(key.Data))
			if e.Kind != unstable.KeyValue && !keys.IsLast() {
				path = lastElementPath(counts, path)
			}
		}
		switch e.Kind {
		case unstable.Table:
			table = lastElementPath(counts, path)
			lines[table] = line
		case unstable.ArrayTable:
			counts[path]++
			table = lastElementPath(counts, path)
			lines[table] = line
		case unstable.KeyValue:
			lines[joinKey(table, path)] = line
		}
	}
	return lines
}

// lastElementPath returns the path of the latest element so far if path is that of an
// array of tables, or else path itself.
func lastElementPath(counts map[string]int, path string) string {
	if n := counts[path]; n > 0 {
		return fmt.Sprintf("%s[%d]", path, n-1)
	}
	return path
}

func joinKey(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
