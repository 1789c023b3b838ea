package burdockroom

import (
	"cmp"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// loads counts the streams at each engine over all entries. It handles placement by counts
// that are seconds old: an entry alone hears of an engine only when it sends a stream there.
type loads struct {
	byEngine map[burdockid.Upstream]*load
}

// load is the streams at one engine, by reports of some entries.
type load struct {
	engine           burdockid.Upstream
	streams, reports int
}

// engineStreams is the streams of one entry at one engine.
type engineStreams struct {
	*load
	streams int
}

// replace replaces the streams of one entry.
func (l *loads) replace(e *entry, engines []EngineLoad) {
	old := e.engines
	for i, reported := range engines {
		if i < len(old) && old[i].engine == reported.Engine { // the usual case, without a look-up
			old[i].load.streams += reported.Streams - old[i].streams
			old[i].streams = reported.Streams
			continue
		}
		if i < len(old) {
			l.remove(old[i:])
			old = old[:i]
		}
		old = append(old, l.add(reported))
	}
	l.remove(old[len(engines):])
	e.engines = old[:len(engines)]
}

func (l *loads) add(reported EngineLoad) engineStreams {
	at := l.byEngine[reported.Engine]
	if at == nil {
		at = &load{engine: reported.Engine}
		l.byEngine[reported.Engine] = at
	}
	at.reports++
	at.streams += reported.Streams
	return engineStreams{load: at, streams: reported.Streams}
}

func (l *loads) remove(removed []engineStreams) {
	for _, r := range removed {
		r.load.streams -= r.streams
		if r.load.reports--; r.load.reports == 0 {
			delete(l.byEngine, r.engine)
		}
	}
}

// list returns the loads in the order of their engines, in a new list: parts share it.
func (l *loads) list() []EngineLoad {
	list := make([]EngineLoad, 0, len(l.byEngine))
	for _, at := range l.byEngine {
		list = append(list, EngineLoad{Engine: at.engine, Streams: at.streams})
	}
	slices.SortFunc(list, func(a, b EngineLoad) int { return cmp.Compare(a.Engine, b.Engine) })
	return list
}
