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

// chapters are the parts of the page that describe keys.
var chapters = []struct {
	heading string
	prefix  string
	value   any // whose fields the chapter describes
	without any // whose fields another chapter describes
	load    func(data []byte) error
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
	row     = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| [^|]+ \\| ([^|]+) \\| [^|]+ \\|$")
	example = regexp.MustCompile("(?s)```toml\n(.*?)```")
)

// readChapters returns the text under each heading of the page.
func readChapters(t *testing.T) map[string]string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "CONFIGURATION.md"))
	if err != nil {
		t.Fatal(err)
	}
	texts := map[string]string{}
	for _, chapter := range strings.Split(string(page), "\n## ")[1:] {
		heading, text, _ := strings.Cut(chapter, "\n")
		texts[heading] = text
	}
	return texts
}

// defaults returns the default of each key within a struct type, as the page
// writes it; "" stands for a zero value.
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
	texts := readChapters(t)
	for _, chapter := range chapters {
		want := defaults(reflect.TypeOf(chapter.value), chapter.prefix)
		if chapter.without != nil {
			for key := range defaults(reflect.TypeOf(chapter.without), "") {
				delete(want, key)
			}
		}
		for _, match := range row.FindAllStringSubmatch(texts[chapter.heading], -1) {
			key, got := match[1], match[2]
			text, ok := want[key]
			delete(want, key)
			switch {
			case !ok:
				t.Errorf("%s: the page describes %q, which is no key, or twice", chapter.heading, key)
			case text == "" && got != "required" && got != "none" && got != "`false`" && got != "`0`":
				t.Errorf("%s: default of %q = %s, want that of a zero value", chapter.heading, key, got)
			case text != "" && got != text:
				t.Errorf("%s: default of %q = %s, want %s", chapter.heading, key, got, text)
			}
		}
		for key := range want {
			t.Errorf("%s: the page does not describe %q", chapter.heading, key)
		}
	}
}

func TestPageExamplesHaveNoFindings(t *testing.T) {
	texts := readChapters(t)
	for _, chapter := range chapters {
		if chapter.load == nil {
			continue
		}
		examples := example.FindAllStringSubmatch(texts[chapter.heading], -1)
		if len(examples) == 0 {
			t.Errorf("%s: no example", chapter.heading)
		}
		for _, match := range examples {
			if err := chapter.load([]byte(match[1])); err != nil {
				t.Errorf("%s:\n%v", chapter.heading, err)
			}
		}
	}
}
