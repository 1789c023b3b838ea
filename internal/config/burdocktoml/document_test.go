package burdocktoml

import (
	"fmt"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockfinding"
)

// sample has a field of each supported type.
type sample struct {
	Base
	Word   string   `toml:"word"`
	Whole  int      `toml:"whole"`
	Real   float64  `toml:"real"`
	On     bool     `toml:"on"`
	Inner  inner    `toml:"inner"`
	Inners []inner  `toml:"inners"`
	Words  []string `toml:"words"`
}

// Base is embedded in sample: its keys are on the same level as those of sample.
type Base struct {
	Name string `toml:"name"`
}

type inner struct {
	Name  string  `toml:"name"`
	Real  float64 `toml:"real"`
	Parts []inner `toml:"parts"`
}

// SetDefaults implements Defaulter.
func (i *inner) SetDefaults() { i.Real = 0.5 }

const sampleFile = `name = "a"
word = "b"
inner.name = "dotted"
words = ["x",
  "y"]

[[inners]]
name = "first"
real = 2
[[inners.parts]]
name = "p"
[[inners.parts]]
name = "q"

[[inners]]
parts = [
  { name = "r" },
  { name = "s", parts = [{ name = "t" }] },
]
`

func TestDecodeValuesAndLines(t *testing.T) {
	var s sample
	doc := Decode("sample.toml", []byte(sampleFile), &s)
	if err := doc.Err(); err != nil {
		t.Fatal(err)
	}
	if got, want := s.Name+s.Word+s.Inner.Name+s.Words[1], "abdottedy"; got != want {
		t.Errorf("strings = %q, want %q", got, want)
	}
	if got, want := s.Inners[0].Real, 2.0; got != want {
		t.Errorf("real decoded from an integer = %v, want %v", got, want)
	}
	if got, want := s.Inners[1].Parts[1].Parts[0].Real, 0.5; got != want {
		t.Errorf("default real = %v, want %v", got, want)
	}
	lines := map[string]int{
		"word":                             2,
		"inner.name":                       3,
		"words[1]":                         5,
		"inners[0]":                        7,
		"inners[0].parts[1].name":          13,
		"inners[1].name":                   15, // missing: the line of its table
		"inners[1].parts[0].name":          17,
		"inners[1].parts[1].parts[0].name": 18,
		"inner.real":                       3,
		"on":                               1,
	}
	for key, want := range lines {
		if got := doc.Line(key); got != want {
			t.Errorf("Line(%q) = %d, want %d", key, got, want)
		}
	}
}

func TestReportOmitsRepeatedFindings(t *testing.T) {
	var s sample
	doc := Decode("f", []byte("wrod = \"x\"\ninner = 5\n"), &s)
	doc.Report([]burdockfinding.Finding{
		{Key: "word", What: "missing"},       // already reported as the misspelt key
		{Key: "inner.name", What: "missing"}, // inside a value of a wrong type
		{Key: "on", What: "is off"},
	})
	want := "f:1: wrod: unknown key; want word\nf:1: on: is off\nf:2: inner: is the whole number 5; want a table"
	if got := doc.Err().Error(); got != want {
		t.Errorf("findings:\n%s\nwant:\n%s", got, want)
	}
}

func TestFileAboveMaxBytesIsRejected(t *testing.T) {
	var s sample
	doc := Decode("f", make([]byte, MaxBytes+1), &s)
	if got, want := doc.Err().Error(), "f:1: is 4194305 bytes long; want at most 4194304"; got != want {
		t.Errorf("Err() = %q, want %q", got, want)
	}
}

func TestSyntaxErrorsAreLimited(t *testing.T) {
	var s sample
	doc := Decode("f", []byte(strings.Repeat("word = !\n", 10*maxSyntaxFindings)), &s)
	if got, want := strings.Count(doc.Err().Error(), "\n"), maxSyntaxFindings; got != want {
		t.Errorf("findings after the first = %d, want %d", got, want)
	}
}

// A large file with a table of one key per line kept a check busy for minutes, because
// the library's time is quadratic in the number of keys of a table.
func TestTableWithTooManyKeysIsRejected(t *testing.T) {
	var file strings.Builder
	file.WriteString("[inner]\n")
	for i := range maxKeys + 1 {
		fmt.Fprintf(&file, "key%d = 1\n", i)
	}
	var s sample
	doc := Decode("f", []byte(file.String()), &s)
	if got, want := doc.Err().Error(), "f:1: inner: a table of more than 1000 keys; want a file of this program's"; got != want {
		t.Errorf("Err() = %q, want %q", got, want)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(sampleFile))
	f.Add([]byte("a.\"b.c\".d = [[{x = 1}], []]\r\n[a]\n[[a]]\n"))
	f.Add([]byte("words = [\"\"\"\nx\"\"\"]\nword = 'y\nreal = nan"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s sample
		doc := Decode("f", data, &s)
		lines := strings.Count(string(data), "\n") + 1
		findings := doc.Findings()
		for _, finding := range findings.All() {
			if finding.Line < 1 || finding.Line > lines {
				t.Errorf("finding %v: line = %d, want 1 to %d", finding, finding.Line, lines)
			}
		}
		if doc.Broken() && doc.Err() == nil {
			t.Error("Broken() without a finding")
		}
	})
}
