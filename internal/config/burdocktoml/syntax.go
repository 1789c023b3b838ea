package burdocktoml

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxSyntaxFindings bounds how often a file is parsed anew. Whoever mends
// that many mistakes will run the check again.
const maxSyntaxFindings = 20

// maxKeys bounds the keys of one table; none of ours has a twentieth of it.
// The library compares each key with all others of its table, so that a file
// of a few megabytes with one key a line would keep a check busy for minutes.
const maxKeys = 1000

// recoverable matches a line that holds one whole "key = value". Without it
// the lines around it still mean the same. A header, or a value that goes on
// over several lines, can't be left out like that.
var recoverable = regexp.MustCompile(`^[ \t]*[A-Za-z0-9_."'-]+[ \t]*=`)

// parse returns the document as a tree, and records its lines and syntax
// errors. After a mistake within one line it goes on without that line, so
// that several mistakes are reported at once.
func (d *Document) parse(data []byte) map[string]any {
	data = bytes.Clone(data)
	last := 0
	for range maxSyntaxFindings {
		d.lines = index(data)
		if d.isCrowded() {
			return nil
		}
		tree := map[string]any{}
		err := toml.Unmarshal(data, &tree)
		if err == nil {
			return tree
		}
		d.broken = true
		line := d.syntaxError(err)
		if line <= last || !blank(data, line) {
			d.addAt(max(line, 1), "", "the lines after this one could not be checked", "")
			return nil
		}
		last = line
	}
	d.addAt(last, "", "the lines after this one were not checked, as there are so many mistakes", "")
	return nil
}

// isCrowded reports, also as a finding, whether a table has too many keys.
func (d *Document) isCrowded() bool {
	keys := map[string]int{}
	for path := range d.lines {
		if strings.HasSuffix(path, "]") {
			continue // an element of an array, not a key
		}
		table := parent(path)
		keys[table]++
		if keys[table] > maxKeys {
			d.broken = true
			d.add(table, fmt.Sprintf("a table of more than %d keys", maxKeys), "a file of this program's")
			return true
		}
	}
	return false
}

// syntaxError records err and returns its line; 0 when it has none.
func (d *Document) syntaxError(err error) int {
	what := "not TOML: " + strings.TrimPrefix(err.Error(), "toml: ")
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		d.addAt(1, "", what, "")
		return 0
	}
	line, _ := decodeErr.Position()
	d.addAt(max(line, 1), strings.Join(decodeErr.Key(), "."), what, "")
	return line
}

// blank overwrites one line with spaces and reports whether it could.
func blank(data []byte, line int) bool {
	starts := lineStarts(data)
	if line < 1 || line > len(starts) {
		return false
	}
	text := data[starts[line-1]:]
	if end := bytes.IndexByte(text, '\n'); end >= 0 {
		text = text[:end]
	}
	if !recoverable.Match(text) || !endsOnLine(text) {
		return false
	}
	for i := range text {
		text[i] = ' '
	}
	return true
}

// endsOnLine reports whether the value on a line does not go on after it.
func endsOnLine(text []byte) bool {
	if bytes.Contains(text, []byte(`"""`)) || bytes.Contains(text, []byte(`'''`)) {
		return false
	}
	opened := bytes.Count(text, []byte("[")) + bytes.Count(text, []byte("{"))
	closed := bytes.Count(text, []byte("]")) + bytes.Count(text, []byte("}"))
	return opened == closed
}
