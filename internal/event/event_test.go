package event

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// declaredEvents parses event.go and returns the names of the event constants by number.
func declaredEvents(t *testing.T) map[string]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "event.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	events := make(map[string]string)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if typ, ok := spec.Type.(*ast.Ident); !ok || typ.Name != "ID" {
			return true
		}
		number := spec.Values[0].(*ast.BasicLit).Value
		if other, taken := events[number]; taken {
			t.Errorf("event %s has two names: %s and %s", number, other, spec.Names[0].Name)
		}
		events[number] = spec.Names[0].Name
		return true
	})
	return events
}

func TestDocsListEveryEvent(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "events.md"))
	if err != nil {
		t.Fatal(err)
	}
	documented := make(map[string]string)
	for _, row := range regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \|`).FindAllStringSubmatch(string(text), -1) {
		documented[row[1]] = row[2]
	}
	events := declaredEvents(t)
	if len(events) == 0 {
		t.Fatal("no events found in event.go")
	}
	for number, want := range events {
		if got := documented[number]; got != want {
			t.Errorf("docs/events.md, event %s: got %q, want %q", number, got, want)
		}
	}
	for number, name := range documented {
		if events[number] == "" {
			t.Errorf("docs/events.md lists event %s %s that the code does not have", number, name)
		}
	}
}

func TestEveryEventIsLogged(t *testing.T) {
	var source strings.Builder
	for _, dir := range []string{"..", filepath.Join("..", "..", "pkg"), filepath.Join("..", "..", "platform")} {
		err := filepath.WalkDir(dir, func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			source.Write(text)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for number, name := range declaredEvents(t) {
		if !strings.Contains(source.String(), "event."+name) {
			t.Errorf("event %s %s is not used in the code", number, name)
		}
	}
}
