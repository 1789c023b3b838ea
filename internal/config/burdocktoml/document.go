// Package burdocktoml decodes TOML strictly: unknown keys and values of a wrong type are
// findings. It records the line of every key, gives each finding its line, and reports
// all findings of a file together.
package burdocktoml

import (
	"fmt"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockfinding"
)

// MaxBytes is the maximum size of a file. A fleet of 3,800 upstreams and as many customers
// takes 1.2 MB. A file several times that size does not belong to this program, and
// decoding it could exhaust the memory of the process.
const MaxBytes = 4 << 20

// Document is a decoded file with the lines of its keys and its findings so far.
type Document struct {
	file     string
	lines    map[string]int
	reported map[string]bool
	list     burdockfinding.List
	broken   bool
}

// Decode fills target, a pointer to a struct, from data. The struct's toml tags name the
// keys. The returned Document contains the findings. Values that could be decoded are in
// target even when there are findings.
func Decode(file string, data []byte, target any) *Document {
	d := &Document{file: file, lines: map[string]int{}, reported: map[string]bool{}}
	if len(data) > MaxBytes {
		d.broken = true
		d.addAt(1, "", fmt.Sprintf("is %d bytes long", len(data)), fmt.Sprintf("at most %d", MaxBytes))
		return d
	}
	tree := d.parse(data)
	d.decode(tree, target)
	return d
}

// Broken reports whether the file as a whole could not be read: it is not valid TOML or
// exceeds a limit. Its values must not be checked then, because keys after a syntax error
// may be misread.
func (d *Document) Broken() bool { return d.broken }

// Line returns the line of a key. If the file lacks the key, it returns the line of the
// innermost enclosing table or array that the file has, or else 1.
func (d *Document) Line(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		key = parent(key)
	}
	return 1
}

// Report adds findings that name only their key, and sets their file and line. It omits
// a finding about a key for which decoding already found a mistake, or about a key inside
// such a key, because it only repeats that mistake.
func (d *Document) Report(findings []burdockfinding.Finding) {
	for _, f := range findings {
		if d.isReported(f.Key) {
			continue
		}
		f.File = d.file
		f.Line = d.Line(f.Key)
		d.list.Add(f)
	}
}

// Findings returns the findings so far.
func (d *Document) Findings() burdockfinding.List { return d.list }

// Err returns a *burdockfinding.Error with all findings, or nil if there are none.
func (d *Document) Err() error { return d.list.Err() }

func (d *Document) isReported(key string) bool {
	for key != "" {
		if d.reported[key] {
			return true
		}
		key = parent(key)
	}
	return false
}

func (d *Document) add(key, what, want string) {
	d.addAt(d.Line(key), key, what, want)
	d.reported[key] = true
}

func (d *Document) addAt(line int, key, what, want string) {
	d.list.Add(burdockfinding.Finding{File: d.file, Line: line, Key: key, What: what, Want: want})
}

// parent returns the path of the table or array that contains key, or "" for a top-level
// key.
func parent(key string) string {
	if strings.HasSuffix(key, "]") {
		return key[:strings.LastIndexByte(key, '[')]
	}
	if i := strings.LastIndexByte(key, '.'); i >= 0 {
		return key[:i]
	}
	return ""
}
