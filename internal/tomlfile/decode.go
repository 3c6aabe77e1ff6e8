package tomlfile

import (
	"encoding"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes the document into the struct that target points to and reports whether
// it succeeded. Unknown keys and values of the wrong type are recorded as problems and
// leave target unchanged.
func (d *Document) Decode(target any) bool {
	if d.unreadable {
		return false
	}
	problemsBefore := len(d.problems)
	d.checkTable(d.tree, reflect.TypeOf(target).Elem(), "")
	if len(d.problems) > problemsBefore {
		return false
	}
	text, err := toml.Marshal(d.tree)
	if err == nil {
		err = toml.Unmarshal(text, target)
	}
	if err != nil {
		d.Report("", "cannot be decoded: %v", err)
		return false
	}
	return true
}

func (d *Document) checkTable(table map[string]any, t reflect.Type, key string) {
	fields := make(map[string]reflect.Type)
	for f := range t.Fields() {
		if tag := f.Tag.Get("toml"); tag != "" && tag != "-" {
			fields[tag] = f.Type
		}
	}
	for _, name := range slices.Sorted(maps.Keys(table)) {
		field, ok := fields[name]
		if !ok {
			d.Report(joinKey(key, name), "unknown key; the known keys of this table are %s", joinNames(fields))
			continue
		}
		d.checkValue(table[name], field, joinKey(key, name))
	}
}

func (d *Document) checkValue(value any, t reflect.Type, key string) {
	if text, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler); ok {
		d.checkText(value, text, key)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		if table, ok := value.(map[string]any); ok {
			d.checkTable(table, t, key)
			return
		}
	case reflect.Slice:
		if elements, ok := value.([]any); ok {
			d.checkElements(elements, t.Elem(), key)
			return
		}
	case reflect.String:
		if _, ok := value.(string); ok {
			return
		}
	case reflect.Bool:
		if _, ok := value.(bool); ok {
			return
		}
	case reflect.Int, reflect.Int64, reflect.Uint64:
		if _, ok := value.(int64); ok {
			return
		}
	case reflect.Float64:
		switch value.(type) {
		case float64, int64:
			return
		}
	}
	d.Report(key, "%s is not a %s", describe(value), kindName(t))
}

func (d *Document) checkText(value any, into encoding.TextUnmarshaler, key string) {
	text, ok := value.(string)
	if !ok {
		d.Report(key, "%s has no unit: write a string such as \"1.5s\" or \"200ms\"", describe(value))
		return
	}
	if err := into.UnmarshalText([]byte(text)); err != nil {
		d.Report(key, "%v", err)
	}
}

func (d *Document) checkElements(elements []any, t reflect.Type, key string) {
	for i, element := range elements {
		elementPath := fmt.Sprintf("%s[%d]", key, i)
		if table, ok := element.(map[string]any); ok {
			elementPath = elementKey(key, i, table)
		}
		d.checkValue(element, t, elementPath)
	}
}

func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "table"
	case reflect.Slice:
		return "list"
	case reflect.Bool:
		return "boolean value"
	case reflect.String:
		return "string"
	case reflect.Float64:
		return "number"
	default:
		return "whole number"
	}
}

func describe(value any) string {
	switch value.(type) {
	case map[string]any:
		return "a table"
	case []any:
		return "a list"
	default:
		return fmt.Sprintf("%#v", value)
	}
}

func joinNames(fields map[string]reflect.Type) string {
	names := slices.Sorted(maps.Keys(fields))
	text := ""
	for i, name := range names {
		if i > 0 {
			text += ", "
		}
		text += name
	}
	return text
}
