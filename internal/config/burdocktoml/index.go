package burdocktoml

import (
	"bytes"
	"sort"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxDepth is the maximum nesting depth at which keys are indexed. No file of this program
// is half as deep. Without a limit, the total length of the paths would be quadratic in
// the depth of a deeply nested value.
const maxDepth = 16

// indexer records the line of each key of one document.
type indexer struct {
	parser unstable.Parser
	starts []int // offset of the start of each line
	lines  map[string]int
	counts map[string]int // number of elements so far of each array of tables
}

// index returns the line of every key in data, by path. It stops at the first syntax
// error, which parse reports.
func index(data []byte) map[string]int {
	x := &indexer{starts: lineStarts(data), lines: map[string]int{}, counts: map[string]int{}}
	x.parser.Reset(data)
	table := ""
	for x.parser.NextExpression() {
		expr := x.parser.Expression()
		switch expr.Kind {
		case unstable.Table:
			table = x.header(expr, false)
		case unstable.ArrayTable:
			table = x.header(expr, true)
		case unstable.KeyValue:
			x.keyValue(table, expr, 0)
		}
	}
	return x.lines
}

func lineStarts(data []byte) []int {
	starts := []int{0}
	for offset := 0; ; {
		i := bytes.IndexByte(data[offset:], '\n')
		if i < 0 {
			return starts
		}
		offset += i + 1
		starts = append(starts, offset)
	}
}

// line returns the line of a node, or 0 if the parser did not record its position.
func (x *indexer) line(n *unstable.Node) int {
	if n.Raw.Length == 0 {
		return 0
	}
	return sort.SearchInts(x.starts, int(n.Raw.Offset)+1)
}

func (x *indexer) put(path string, line int) {
	if _, ok := x.lines[path]; !ok && line > 0 {
		x.lines[path] = line
	}
}

// header records the line of a table header and returns the path of the table.
func (x *indexer) header(expr *unstable.Node, array bool) string {
	path := ""
	depth := 0
	it := expr.Key()
	for it.Next() && depth < maxDepth {
		depth++
		key := it.Node()
		path = Join(path, string(key.Data))
		x.put(path, x.line(key))
		if array && it.IsLast() {
			x.counts[path]++
		}
		if n := x.counts[path]; n > 0 {
			path = Item(path, n-1)
			x.put(path, x.line(key))
		}
	}
	return path
}

func (x *indexer) keyValue(table string, expr *unstable.Node, depth int) {
	path := table
	line := 0
	it := expr.Key()
	for it.Next() && depth < maxDepth {
		depth++
		path = Join(path, string(it.Node().Data))
		line = x.line(it.Node())
		x.put(path, line)
	}
	x.value(path, expr.Value(), line, depth)
}

func (x *indexer) value(path string, n *unstable.Node, line, depth int) {
	if depth >= maxDepth {
		return
	}
	switch n.Kind {
	case unstable.Array:
		x.array(path, n, line, depth)
	case unstable.InlineTable:
		it := n.Children()
		for it.Next() {
			x.keyValue(path, it.Node(), depth)
		}
	}
}

func (x *indexer) array(path string, n *unstable.Node, line, depth int) {
	it := n.Children()
	for i := 0; it.Next(); i++ {
		element := it.Node()
		at := x.line(element)
		if at == 0 {
			at = line
		}
		x.put(Item(path, i), at)
		x.value(Item(path, i), element, at, depth+1)
	}
}
