package burdockplace

import (
	"slices"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// SetMembers replaces the members. Those that stay keep their load. The table of prefix
// owners, which takes milliseconds to build, is built when a request with a prefix needs
// it.
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

// Restarted drops the load that u reported, because another process has taken its name.
func (p *Placer) Restarted(u burdockid.Upstream) {
	if m := p.lookup(u); m != nil {
		*m = member{upstream: m.upstream, dataCentre: m.dataCentre, weight: m.weight}
	}
}

func (p *Placer) namesDiffer(sorted []Member) bool {
	return !slices.EqualFunc(sorted, p.members, func(a Member, b member) bool {
		return a.Upstream == b.upstream
	})
}

func (p *Placer) reindex() {
	p.index = newNameIndex(p.names())
	p.table = nil
	p.recent = recent{}
}

func (p *Placer) names() []burdockid.Upstream {
	names := make([]burdockid.Upstream, len(p.members))
	for i := range p.members {
		names[i] = p.members[i].upstream
	}
	return names
}

// owners returns the table of prefix owners.
func (p *Placer) owners() table {
	if p.table == nil {
		p.table = newTable(p.names())
	}
	return p.table
}
