package burdockexpert

import (
	"fmt"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Map says which experts each rank of a group holds in each layer. A rank
// holds an expert of a layer at most once. The zero value has no layers.
type Map struct {
	shape Shape
	holds [][]uint16 // by layer and then rank; each in ascending order
}

// Shape is the extent of a map.
type Shape struct {
	Layers  int `json:"layers"`
	Ranks   int `json:"ranks"`
	Experts int `json:"experts"` // in each layer
}

// Limits of a shape. They bound what a decoder allocates and what an expert's
// number needs in memory; each is far above the sizes that the project is for.
const (
	maxLayers  = 1 << 10
	maxRanks   = 1 << 12
	maxExperts = 1 << 14
)

func (s Shape) valid() bool {
	return within(s.Layers, maxLayers) && within(s.Ranks, maxRanks) && within(s.Experts, maxExperts)
}

func within(n, limit int) bool { return n > 0 && n <= limit }

// NewMap returns a map of the given shape in which no rank holds anything. It
// panics when the shape is outside the package's limits.
func NewMap(s Shape) *Map {
	if !s.valid() {
		panic(fmt.Sprintf("burdockexpert: shape %+v is out of limits", s))
	}
	return &Map{shape: s, holds: make([][]uint16, s.Layers*s.Ranks)}
}

// Shape returns the extent of m.
func (m *Map) Shape() Shape { return m.shape }

// Add lets a rank hold an expert. It reports whether that is new.
func (m *Map) Add(l burdockid.Layer, r burdockid.Rank, e burdockid.Expert) bool {
	if e < 0 || int(e) >= m.shape.Experts {
		panic(fmt.Sprintf("burdockexpert: expert %d is out of range", e))
	}
	at := m.index(l, r)
	i, found := slices.BinarySearch(m.holds[at], uint16(e))
	if found {
		return false
	}
	m.holds[at] = slices.Insert(m.holds[at], i, uint16(e))
	return true
}

// Holds reports whether a rank holds an expert.
func (m *Map) Holds(l burdockid.Layer, r burdockid.Rank, e burdockid.Expert) bool {
	_, found := slices.BinarySearch(m.holds[m.index(l, r)], uint16(e))
	return found
}

// Experts returns what a rank holds in a layer, in ascending order.
func (m *Map) Experts(l burdockid.Layer, r burdockid.Rank) []burdockid.Expert {
	held := m.holds[m.index(l, r)]
	experts := make([]burdockid.Expert, len(held))
	for i, e := range held {
		experts[i] = burdockid.Expert(e)
	}
	return experts
}

// Equal reports whether both maps are the same in shape and content.
func (m *Map) Equal(other *Map) bool {
	return m.shape == other.shape && slices.EqualFunc(m.holds, other.holds, slices.Equal[[]uint16])
}

// Check returns what makes m unusable by ranks of the given memory: an expert
// that no rank holds, so that its tokens could not be computed, and a rank
// that holds more than it has room for, so that it could not load the map.
func (m *Map) Check(ranks []Rank) burdockfinding.List {
	var list burdockfinding.List
	if len(ranks) != m.shape.Ranks {
		list.Add(burdockfinding.Finding{
			Key:  "ranks",
			What: fmt.Sprintf("the map is for %d ranks", m.shape.Ranks),
			Want: fmt.Sprint(len(ranks)),
		})
		return list
	}
	for l := range burdockid.Layer(m.shape.Layers) {
		m.checkCover(&list, l)
		m.checkMemory(&list, l, ranks)
	}
	if size := m.encodedSize(); size > MaxEncodedSize {
		list.Add(burdockfinding.Finding{
			Key:  "size",
			What: fmt.Sprintf("the encoded map has %d bytes", size),
			Want: fmt.Sprintf("at most %d", MaxEncodedSize),
		})
	}
	return list
}

func (m *Map) checkCover(list *burdockfinding.List, l burdockid.Layer) {
	covered := make([]bool, m.shape.Experts)
	for r := range burdockid.Rank(m.shape.Ranks) {
		for _, e := range m.holds[m.index(l, r)] {
			covered[e] = true
		}
	}
	for e, ok := range covered {
		if !ok {
			list.Add(burdockfinding.Finding{
				Key:  fmt.Sprintf("layers.%d.experts.%d", l, e),
				What: "no rank holds the expert",
				Want: "at least one",
			})
		}
	}
}

func (m *Map) checkMemory(list *burdockfinding.List, l burdockid.Layer, ranks []Rank) {
	for r := range burdockid.Rank(m.shape.Ranks) {
		if n := len(m.holds[m.index(l, r)]); n > ranks[r].Slots {
			list.Add(burdockfinding.Finding{
				Key:  fmt.Sprintf("layers.%d.ranks.%d", l, r),
				What: fmt.Sprintf("holds %d experts", n),
				Want: fmt.Sprintf("at most %d", ranks[r].Slots),
			})
		}
	}
}

func (m *Map) index(l burdockid.Layer, r burdockid.Rank) int {
	if int(r) >= m.shape.Ranks || r < 0 {
		panic(fmt.Sprintf("burdockexpert: rank %d is out of range", r))
	}
	return int(l)*m.shape.Ranks + int(r)
}

// clone returns a copy that shares nothing with m.
func (m *Map) clone() *Map {
	c := &Map{shape: m.shape, holds: make([][]uint16, len(m.holds))}
	for i, held := range m.holds {
		c.holds[i] = slices.Clone(held)
	}
	return c
}
