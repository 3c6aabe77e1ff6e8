package soak

import (
	"encoding/json"
	"maps"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// definition is one type in a schema of pkg/wire.
type definition struct {
	Required   []string       `json:"required"`
	Properties map[string]any `json:"properties"`
}

// definitionsOf decodes the types of a schema, without the texts that say nothing about their
// encoding.
func definitionsOf(t *testing.T, name string, text []byte) map[string]definition {
	t.Helper()
	var schema struct {
		Definitions map[string]definition `json:"definitions"`
	}
	if err := json.Unmarshal(text, &schema); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	for _, d := range schema.Definitions {
		for _, property := range d.Properties {
			dropTexts(property)
		}
	}
	return schema.Definitions
}

func dropTexts(schema any) {
	switch s := schema.(type) {
	case map[string]any:
		for _, key := range []string{"title", "description", "default"} {
			delete(s, key)
		}
		for _, inner := range s {
			dropTexts(inner)
		}
	case []any:
		for _, inner := range s {
			dropTexts(inner)
		}
	}
}

// Guards against messages and records that the release in production cannot read, or that it
// writes without a field that this tree needs: fields that are renamed, removed, of another
// type or newly required.
func TestWireFieldsAreOnlyAdded(t *testing.T) {
	commit := productionCommit(t)
	requireCommit(t, commit)
	const dir = "pkg/wire/schema"
	list, err := exec.Command("git", "-C", repositoryRoot, "ls-tree", "--name-only", commit+":"+dir).Output()
	if err != nil {
		t.Fatalf("schemas of %s: %v", commit, err)
	}
	for _, name := range strings.Fields(string(list)) {
		t.Run(name, func(t *testing.T) {
			production, err := exec.Command("git", "-C", repositoryRoot, "show", commit+":"+path.Join(dir, name)).Output()
			if err != nil {
				t.Fatal(err)
			}
			present, err := os.ReadFile(filepath.Join(repositoryRoot, filepath.FromSlash(dir), name))
			if err != nil {
				t.Fatal(err)
			}
			wantOnlyAdded(t, definitionsOf(t, name, production), definitionsOf(t, name, present))
		})
	}
}

// wantOnlyAdded checks that every type and field of the production release is unchanged, and
// that new fields of its types are optional.
func wantOnlyAdded(t *testing.T, production, present map[string]definition) {
	t.Helper()
	for _, name := range slices.Sorted(maps.Keys(production)) {
		earlier, later := production[name], present[name]
		for _, field := range slices.Sorted(maps.Keys(earlier.Properties)) {
			if want, got := earlier.Properties[field], later.Properties[field]; !reflect.DeepEqual(got, want) {
				t.Errorf("%s.%s: got %v, want %v as in the release in production; add a field instead", name, field, got, want)
			}
		}
		for _, field := range later.Required {
			if _, known := earlier.Properties[field]; !known {
				t.Errorf("%s.%s: got a new field that is required, want a default: the release in production does not send it", name, field)
			}
		}
	}
}
