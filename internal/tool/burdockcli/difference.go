package burdockcli

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"burdockbend.example/burdockbend/internal/state/burdockconfig"
)

// absent is printed for a field that an entry does not have.
const absent = "(absent)"

// printDifferences prints each field in which two entries of one key differ.
func (c *CLI) printDifferences(nameA string, a burdockconfig.Entry, nameB string, b burdockconfig.Entry) {
	fieldsA, fieldsB := leafFields(a), leafFields(b)
	all := maps.Clone(fieldsA)
	maps.Copy(all, fieldsB)
	for _, path := range slices.Sorted(maps.Keys(all)) {
		valueA, valueB := fieldValue(fieldsA, path), fieldValue(fieldsB, path)
		if valueA != valueB {
			_, _ = fmt.Fprintf(c.stdout, "  %s: %s %s, %s %s\n", path, nameA, valueA, nameB, valueB)
		}
	}
}

func fieldValue(fields map[string]string, path string) string {
	if value, ok := fields[path]; ok {
		return value
	}
	return absent
}

// leafFields returns the leaf values of an entry's JSON by path. It returns no fields
// if the entry is deleted or not valid JSON.
func leafFields(e burdockconfig.Entry) map[string]string {
	fields := map[string]string{}
	var value any
	if e.Deleted || json.Unmarshal(e.Value, &value) != nil {
		return fields
	}
	addFields(fields, "", value)
	return fields
}

func addFields(fields map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, child := range value {
			addFields(fields, join(path, name), child)
		}
	case []any:
		for i, child := range value {
			addFields(fields, join(path, fmt.Sprint(i)), child)
		}
	default:
		text, err := json.Marshal(value)
		if err == nil { // decoded values can always be encoded
			fields[path] = string(text)
		}
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
