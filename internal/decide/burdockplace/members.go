package burdockplace

import (
	"slices"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// SetMembers replaces the members. Those that stay keep their load. It takes a few
// milliseconds when upstreams join or leave and only a copy otherwise, so callers
// should pass several changes together.
func (p *Placer) SetMembers(_ burdockclock.Millis, members []Member) {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return strings.Compare(string(a.Upstream), string(b.Upstream))
	})
	sorted = slices.CompactFunc(sorted, func(a, b Member) bool {
		return a.Upstream == b.Upstream
	})
	sorted = sorted[:min(len(sorted), maxMembers)]
	changed := p.namesDiffer(sorted)
	next := make([]member, len(sorted))
	for i, m := range sorted {
		if old := p.lookup(m.Upstream); old != nil {
			next[i] = *old
		}
		next[i].upstream = m.Upstream
		next[i].dataCentre = m.DataCentre
		next[i].weight = clampWeight(m.Weight)
	}
	p.members = next
	if changed {
		p.reindex()
	}
}

func (p *Placer) namesDiffer(sorted []Member) bool {
	return !slices.EqualFunc(sorted, p.members, func(a Member, b member) bool {
		return a.Upstream == b.upstream
	})
}

func (p *Placer) reindex() {
	names := make([]burdockid.Upstream, len(p.members))
	for i := range p.members {
		names[i] = p.members[i].upstream
	}
	p.index = newNameIndex(names)
	p.table = newTable(names)
	p.recent = recent{}
}
