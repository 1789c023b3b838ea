package burdocktoml

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxSyntaxFindings limits how often a file is parsed again after a syntax error. An
// operator who fixes that many mistakes will run the check again anyway.
const maxSyntaxFindings = 20

// maxKeys is the maximum number of keys in a table. No table of this program has a
// twentieth of it. The library compares each key with all others of its table, so a file
// of a few megabytes with one key per line would keep a check busy for minutes.
const maxKeys = 1000

// recoverable matches a line that starts with "key =". If the value ends on the same line
// (see endsOnLine), the line can be removed without changing the meaning of the others.
// That is not true of a table header or of a value that spans several lines.
var recoverable = regexp.MustCompile(`^[ \t]*[A-Za-z0-9_."'-]+[ \t]*=`)

// parse returns the document as a tree and records the lines of its keys and its syntax
// errors. It blanks a line with a syntax error and parses again where that is possible,
// and so reports several errors at once.
func (d *Document) parse(data []byte) map[string]any {
	data = bytes.Clone(data)
	lastLine := 0
	for range maxSyntaxFindings {
		d.lines = index(data)
		if d.hasTooManyKeys() {
			return nil
		}
		tree := map[string]any{}
		err := toml.Unmarshal(data, &tree)
		if err == nil {
			return tree
		}
		d.broken = true
		line := d.syntaxError(err)
		if line <= lastLine || !blank(data, line) {
			d.addAt(max(line, 1), "", "the lines after this one could not be checked", "")
			return nil
		}
		lastLine = line
	}
	d.addAt(lastLine, "", "the lines after this one were not checked, as there are so many mistakes", "")
	return nil
}

// hasTooManyKeys reports whether a table has more than maxKeys keys, and adds a finding if
// so.
func (d *Document) hasTooManyKeys() bool {
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

// syntaxError adds a finding for err and returns the line of err, or 0 if it has none.
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

// blank overwrites a line with spaces and reports whether it did. It leaves a line that
// is not recoverable unchanged.
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

// endsOnLine reports whether a value ends on the line on which it starts.
func endsOnLine(text []byte) bool {
	if bytes.Contains(text, []byte(`"""`)) || bytes.Contains(text, []byte(`'''`)) {
		return false
	}
	opening := bytes.Count(text, []byte("[")) + bytes.Count(text, []byte("{"))
	closing := bytes.Count(text, []byte("]")) + bytes.Count(text, []byte("}"))
	return opening == closing
}
