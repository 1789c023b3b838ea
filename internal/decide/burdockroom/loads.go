package burdockroom

import (
	"cmp"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// loads counts the streams at each engine over all entries. It handles placement by counts
// that are seconds old: an entry alone hears of an engine only when it sends a stream there.
type loads struct {
	streams map[burdockid.Upstream]int
	changed bool
	listed  []EngineLoad
}

// add adds the streams of one entry, or removes them with a sign of -1.
func (l *loads) add(engines []EngineLoad, sign int) {
	for _, e := range engines {
		if e.Streams == 0 {
			continue
		}
		l.changed = true
		if l.streams[e.Engine] += sign * e.Streams; l.streams[e.Engine] == 0 {
			delete(l.streams, e.Engine)
		}
	}
}

// list returns the loads in the order of their engines. Parts share the list, so a change
// makes a new one.
func (l *loads) list() []EngineLoad {
	if !l.changed {
		return l.listed
	}
	l.listed, l.changed = make([]EngineLoad, 0, len(l.streams)), false
	for engine, streams := range l.streams {
		l.listed = append(l.listed, EngineLoad{Engine: engine, Streams: streams})
	}
	slices.SortFunc(l.listed, func(a, b EngineLoad) int { return cmp.Compare(a.Engine, b.Engine) })
	return l.listed
}
