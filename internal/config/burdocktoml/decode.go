package burdocktoml

import (
	"fmt"
	"math"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Defaulter is a struct that sets its own defaults. SetDefaults is called before a
// table is decoded into the struct, so keys missing from the table keep their defaults.
type Defaulter interface {
	SetDefaults()
}

// decode fills target from tree. The library's decoder stops at the first value of a wrong
// type; this one continues, because operators want to see all mistakes at once.
func (d *Document) decode(tree map[string]any, target any) {
	d.table("", reflect.ValueOf(target).Elem(), tree)
}

func (d *Document) table(path string, dst reflect.Value, src map[string]any) {
	if defaulter, ok := dst.Addr().Interface().(Defaulter); ok {
		defaulter.SetDefaults()
	}
	fields := Fields(dst.Type())
	for _, key := range sortedKeys(src) {
		field, ok := fields[key]
		if !ok {
			d.unknownKey(path, key, fields)
			continue
		}
		d.value(Join(path, key), dst.FieldByIndex(field.Index), src[key])
	}
}

func (d *Document) unknownKey(path, key string, fields map[string]reflect.StructField) {
	names := sortedKeys(fields)
	want := "one of " + strings.Join(names, ", ")
	if closest := closestName(key, names); closest != "" {
		want = closest
		// Prevents a second finding that the intended key is missing.
		d.reported[Join(path, closest)] = true
	}
	d.add(Join(path, key), "unknown key", want)
}

func (d *Document) value(path string, dst reflect.Value, src any) {
	switch dst.Kind() {
	case reflect.Struct:
		if table, ok := src.(map[string]any); ok {
			d.table(path, dst, table)
			return
		}
	case reflect.Slice:
		if array, ok := src.([]any); ok {
			d.array(path, dst, array)
			return
		}
	case reflect.String:
		if s, ok := src.(string); ok {
			dst.SetString(s)
			return
		}
	case reflect.Bool:
		if b, ok := src.(bool); ok {
			dst.SetBool(b)
			return
		}
	case reflect.Int, reflect.Int64:
		if n, ok := src.(int64); ok && !dst.OverflowInt(n) {
			dst.SetInt(n)
			return
		}
	case reflect.Float64:
		if x, ok := number(src); ok {
			dst.SetFloat(x)
			return
		}
	default:
		panic("burdocktoml: unsupported type " + dst.Type().String())
	}
	d.add(path, "is "+describe(src), expectedValue(path, dst.Kind()))
}

func (d *Document) array(path string, dst reflect.Value, src []any) {
	slice := reflect.MakeSlice(dst.Type(), len(src), len(src))
	for i, element := range src {
		d.value(Item(path, i), slice.Index(i), element)
	}
	dst.Set(slice)
}

// number converts an integer or float to a float64. It rejects nan and inf, which are
// valid TOML but which the comparisons of a check don't catch.
func number(src any) (float64, bool) {
	switch x := src.(type) {
	case int64:
		return float64(x), true
	case float64:
		return x, !math.IsNaN(x) && !math.IsInf(x, 0)
	}
	return 0, false
}

// Fields returns the fields of a struct by their TOML keys, including those of embedded
// structs.
func Fields(t reflect.Type) map[string]reflect.StructField {
	fields := map[string]reflect.StructField{}
	for _, field := range reflect.VisibleFields(t) {
		if tag := field.Tag.Get("toml"); tag != "" {
			fields[tag] = field
		}
	}
	return fields
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func describe(src any) string {
	switch x := src.(type) {
	case string:
		return "a string"
	case bool:
		return fmt.Sprintf("the boolean %t", x)
	case int64:
		return fmt.Sprintf("the whole number %d", x)
	case float64:
		return fmt.Sprintf("the number %g", x)
	case []any:
		return "an array"
	case map[string]any:
		return "a table"
	case time.Time, toml.LocalDate, toml.LocalTime, toml.LocalDateTime:
		return "a date or time"
	}
	return "a value of an unknown type"
}

func expectedValue(path string, kind reflect.Kind) string {
	switch kind {
	case reflect.Struct:
		return "a table"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a finite number"
	}
	if strings.HasSuffix(path, "Millis") {
		return "a whole number of milliseconds, such as 5000"
	}
	return "a whole number"
}
