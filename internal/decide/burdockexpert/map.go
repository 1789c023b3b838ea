package burdockexpert

import (
	"fmt"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Map states which experts each rank of a group holds in each layer. A rank
// holds an expert of a layer at most once. The zero value has no layers.
type Map struct {
	shape     Shape
	placement [][]uint16 // experts by layer and then rank, each list ascending
}

// Shape is the size of a map in each dimension.
type Shape struct {
	Layers  int `json:"layers"`
	Ranks   int `json:"ranks"`
	Experts int `json:"experts"` // per layer
}

// Limits of a shape. They bound what a decoder allocates and let an expert's
// number fit into 16 bits; each is far above the supported group sizes.
const (
	maxLayers  = 1 << 10
	maxRanks   = 1 << 12
	maxExperts = 1 << 14
)

func (s Shape) valid() bool {
	return inRange(s.Layers, maxLayers) && inRange(s.Ranks, maxRanks) && inRange(s.Experts, maxExperts)
}

func inRange(n, limit int) bool { return n > 0 && n <= limit }

// NewMap returns a map of the given shape in which no rank holds anything. It
// panics when the shape is outside the package's limits.
func NewMap(s Shape) *Map {
	if !s.valid() {
		panic(fmt.Sprintf("burdockexpert: shape %+v is out of limits", s))
	}
	return &Map{shape: s, placement: make([][]uint16, s.Layers*s.Ranks)}
}

// Shape returns the number of layers, ranks and experts of m.
func (m *Map) Shape() Shape { return m.shape }

// Add places an expert on a rank. It reports whether the rank did not hold it
// before.
func (m *Map) Add(l burdockid.Layer, r burdockid.Rank, e burdockid.Expert) bool {
	if e < 0 || int(e) >= m.shape.Experts {
		panic(fmt.Sprintf("burdockexpert: expert %d is out of range", e))
	}
	at := m.index(l, r)
	i, found := slices.BinarySearch(m.placement[at], uint16(e))
	if found {
		return false
	}
	m.placement[at] = slices.Insert(m.placement[at], i, uint16(e))
	return true
}

// Holds reports whether a rank holds an expert.
func (m *Map) Holds(l burdockid.Layer, r burdockid.Rank, e burdockid.Expert) bool {
	_, found := slices.BinarySearch(m.placement[m.index(l, r)], uint16(e))
	return found
}

// Experts returns the experts that a rank holds in a layer, in ascending order.
func (m *Map) Experts(l burdockid.Layer, r burdockid.Rank) []burdockid.Expert {
	held := m.placement[m.index(l, r)]
	experts := make([]burdockid.Expert, len(held))
	for i, e := range held {
		experts[i] = burdockid.Expert(e)
	}
	return experts
}

// Equal reports whether both maps have the same shape and placement.
func (m *Map) Equal(other *Map) bool {
	return m.shape == other.shape && slices.EqualFunc(m.placement, other.placement, slices.Equal[[]uint16])
}

// Check returns what makes m unusable for the given ranks: an expert that no
// rank holds, as its tokens can't be computed; a rank with more experts than
// slots, as it can't load the map; and an encoding larger than MaxEncodedSize.
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
		m.checkCoverage(&list, l)
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

func (m *Map) checkCoverage(list *burdockfinding.List, l burdockid.Layer) {
	covered := make([]bool, m.shape.Experts)
	for r := range burdockid.Rank(m.shape.Ranks) {
		for _, e := range m.placement[m.index(l, r)] {
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
		if n := len(m.placement[m.index(l, r)]); n > ranks[r].Slots {
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
	c := &Map{shape: m.shape, placement: make([][]uint16, len(m.placement))}
	for i, held := range m.placement {
		c.placement[i] = slices.Clone(held)
	}
	return c
}
