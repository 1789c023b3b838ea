package burdockcheck

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"burdockbend.example/burdockbend/internal/config/burdocktoml"
)

// sections are the sections of docs/CONFIGURATION.md that describe keys.
var sections = []struct {
	heading  string
	prefix   string
	value    any // struct whose fields the section describes
	excluded any // struct whose fields another section describes
	load     func(data []byte) error
}{
	{"Settings of every process", "", burdocksettings.Common{}, nil, nil},
	{"Settings of an entry", "", burdocksettings.Entry{}, burdocksettings.Common{}, func(data []byte) error {
		_, err := burdocksettings.LoadEntry("example", data)
		return err
	}},
	{"Settings of an agent", "", burdocksettings.Agent{}, burdocksettings.Common{}, func(data []byte) error {
		_, err := burdocksettings.LoadAgent("example", data)
		return err
	}},
	{"Profiles", "profile", burdockprofile.Profile{}, nil, func(data []byte) error {
		_, err := burdockprofile.Parse("example", data)
		return err
	}},
	{"Fleet", "", burdockmember.Fleet{}, nil, func(data []byte) error {
		_, err := burdockmember.Parse("example", data, nil)
		return err
	}},
}

var (
	tableRow     = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| [^|]+ \\| ([^|]+) \\| [^|]+ \\|$")
	exampleBlock = regexp.MustCompile("(?s)```toml\n(.*?)```")
)

// readSections returns the text under each heading of the page.
func readSections(t *testing.T) map[string]string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "CONFIGURATION.md"))
	if err != nil {
		t.Fatal(err)
	}
	texts := map[string]string{}
	for _, section := range strings.Split(string(page), "\n## ")[1:] {
		heading, text, _ := strings.Cut(section, "\n")
		texts[heading] = text
	}
	return texts
}

// defaults returns the default of each key of a struct type, formatted as on the
// page; "" means the zero value.
func defaults(t reflect.Type, prefix string) map[string]string {
	keys := map[string]string{}
	if prefix != "" {
		keys[prefix] = ""
	}
	value := reflect.New(t)
	if d, ok := value.Interface().(burdocktoml.Defaulter); ok {
		d.SetDefaults()
	}
	addDefaults(keys, value.Elem(), prefix)
	return keys
}

func addDefaults(keys map[string]string, value reflect.Value, prefix string) {
	for name, field := range burdocktoml.Fields(value.Type()) {
		key := burdocktoml.Join(prefix, name)
		keys[key] = ""
		v := value.FieldByIndex(field.Index)
		switch {
		case v.Kind() == reflect.Struct:
			addDefaults(keys, v, key)
		case v.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct:
			for inner, text := range defaults(field.Type.Elem(), key) {
				keys[inner] = text
			}
		case v.Kind() == reflect.String && !v.IsZero():
			keys[key] = fmt.Sprintf("`%q`", v)
		case !v.IsZero():
			keys[key] = fmt.Sprintf("`%v`", v)
		}
	}
}

func TestPageDescribesEveryKeyAndDefault(t *testing.T) {
	texts := readSections(t)
	for _, section := range sections {
		want := defaults(reflect.TypeOf(section.value), section.prefix)
		if section.excluded != nil {
			for key := range defaults(reflect.TypeOf(section.excluded), "") {
				delete(want, key)
			}
		}
		for _, match := range tableRow.FindAllStringSubmatch(texts[section.heading], -1) {
			key, got := match[1], match[2]
			text, ok := want[key]
			delete(want, key)
			switch {
			case !ok:
				t.Errorf("%s: the page describes %q, which is not a key, or describes it twice", section.heading, key)
			case text == "" && got != "required" && got != "none" && got != "`false`" && got != "`0`":
				t.Errorf("%s: default of %q = %s, want that of the zero value", section.heading, key, got)
			case text != "" && got != text:
				t.Errorf("%s: default of %q = %s, want %s", section.heading, key, got, text)
			}
		}
		for key := range want {
			t.Errorf("%s: the page does not describe %q", section.heading, key)
		}
	}
}

func TestPageExamplesHaveNoFindings(t *testing.T) {
	texts := readSections(t)
	for _, section := range sections {
		if section.load == nil {
			continue
		}
		examples := exampleBlock.FindAllStringSubmatch(texts[section.heading], -1)
		if len(examples) == 0 {
			t.Errorf("%s: no example", section.heading)
		}
		for _, match := range examples {
			if err := section.load([]byte(match[1])); err != nil {
				t.Errorf("%s:\n%v", section.heading, err)
			}
		}
	}
}
