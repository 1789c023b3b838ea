package burdocksite

import (
	"maps"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Batch collects changes that are published together. It is valid only during the call
// of Site.Update that created it.
type Batch struct {
	next    Snapshot
	changed bool
	// ownsUpstreams and ownsEvacuated report that next no longer shares the map with the
	// published snapshot.
	ownsUpstreams bool
	ownsEvacuated bool
}

// SetConfig applies a configuration and reports whether it is newer than the current
// one.
//
// A delayed read, or a store that was restored from a backup, returns an older version.
// If that were applied, a route or key that was removed would work again. A version is
// therefore never replaced by a lower one, whatever its source.
func (b *Batch) SetConfig(cfg Config) bool {
	if b.next.Config != nil && cfg.Version <= b.next.Config.Version {
		return false
	}
	cfg.index()
	b.next.Config = &cfg
	b.changed = true
	return true
}

// Upstreams returns the upstreams as the batch leaves them. The map must not be changed.
func (b *Batch) Upstreams() map[burdockid.Upstream]Upstream { return b.next.Upstreams }

// SetUpstreamsListed records that all upstreams have been read.
func (b *Batch) SetUpstreamsListed() {
	b.changed = b.changed || !b.next.UpstreamsListed
	b.next.UpstreamsListed = true
}

// PutUpstream adds or replaces one upstream. It reports whether that changed anything.
func (b *Batch) PutUpstream(u Upstream) bool {
	if old, ok := b.next.Upstreams[u.ID]; ok && old == u {
		return false
	}
	b.ownUpstreams()
	b.next.Upstreams[u.ID] = u
	return true
}

// DropUpstream removes one upstream. It reports whether the upstream was present.
func (b *Batch) DropUpstream(id burdockid.Upstream) bool {
	if _, ok := b.next.Upstreams[id]; !ok {
		return false
	}
	b.ownUpstreams()
	delete(b.next.Upstreams, id)
	return true
}

// ownUpstreams prepares the map of upstreams for a change.
func (b *Batch) ownUpstreams() {
	b.changed = true
	if !b.ownsUpstreams {
		b.next.Upstreams = cloned(b.next.Upstreams)
		b.ownsUpstreams = true
	}
}

// Evacuated returns the data centres that are evacuated as the batch leaves them. The map
// must not be changed.
func (b *Batch) Evacuated() map[burdockid.DataCentre]bool { return b.next.Evacuated }

// SetEvacuated starts or ends the evacuation of a data centre. It reports whether that
// changed anything.
func (b *Batch) SetEvacuated(dc burdockid.DataCentre, evacuated bool) bool {
	if b.next.Evacuated[dc] == evacuated {
		return false
	}
	b.changed = true
	if !b.ownsEvacuated {
		b.next.Evacuated = cloned(b.next.Evacuated)
		b.ownsEvacuated = true
	}
	if evacuated {
		b.next.Evacuated[dc] = true
	} else {
		delete(b.next.Evacuated, dc)
	}
	return true
}

func cloned[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
