package tomlfile

// mergeTables merges layer into base by the rules of Load.
func mergeTables(base, layer map[string]any) {
	for key, value := range layer {
		switch value := value.(type) {
		case map[string]any:
			if old, ok := base[key].(map[string]any); ok {
				mergeTables(old, value)
				continue
			}
		case []any:
			if old, ok := base[key].([]any); ok && allNamed(old) && allNamed(value) {
				base[key] = mergeByName(old, value)
				continue
			}
		}
		base[key] = value
	}
}

func allNamed(list []any) bool {
	for _, element := range list {
		table, ok := element.(map[string]any)
		if !ok || table["name"] == nil {
			return false
		}
	}
	return true
}

func mergeByName(base, layer []any) []any {
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
