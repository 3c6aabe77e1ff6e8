package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Load reads a base file and the overlays of a site and merges them.
func Load(base string, overlays ...string) (Site, error) {
	var site Site
	merged := make(map[string]any)
	for _, path := range append([]string{base}, overlays...) {
		data, err := os.ReadFile(path)
		if err != nil {
			return site, fmt.Errorf("read configuration: %w", err)
		}
		var layer map[string]any
		if err := toml.Unmarshal(data, &layer); err != nil {
			return site, fmt.Errorf("%s: %w", path, err)
		}
		mergeTables(merged, layer)
	}
	text, err := toml.Marshal(merged)
	if err != nil {
		return site, fmt.Errorf("merge configuration: %w", err)
	}
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(&site); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return site, fmt.Errorf("unknown keys:\n%s", strict.String())
		}
		return site, err
	}
	return site, nil
}

// mergeTables merges layer into base: tables merge by key, arrays of tables merge
// by their name, everything else is replaced.
func mergeTables(base, layer map[string]any) {
	for key, value := range layer {
		switch value := value.(type) {
		case map[string]any:
			if old, ok := base[key].(map[string]any); ok {
				mergeTables(old, value)
				continue
			}
		case []any:
			if old, ok := base[key].([]any); ok && named(old) && named(value) {
				base[key] = mergeNamed(old, value)
				continue
			}
		}
		base[key] = value
	}
}

func named(list []any) bool {
	for _, element := range list {
		table, ok := element.(map[string]any)
		if !ok || table["name"] == nil {
			return false
		}
	}
	return true
}

func mergeNamed(base, layer []any) []any {
	for _, element := range layer {
		table, _ := element.(map[string]any)
		found := false
		for _, old := range base {
			if oldTable, _ := old.(map[string]any); oldTable["name"] == table["name"] {
				mergeTables(oldTable, table)
				found = true
			}
		}
		if !found {
			base = append(base, table)
		}
	}
	return base
}
