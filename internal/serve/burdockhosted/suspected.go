package burdockhosted

import (
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
)

const (
	// prefixSuspected is the prefix of the keys that name the upstreams which have
	// recently failed a request of some entry.
	prefixSuspected = prefixNotifications + "doubt/"
	// suspectedTTL is how long such a key exists: as long as it is of use to an entry
	// that starts now.
	suspectedTTL = 4 * burdockclock.Second
)

// publishSuspected notifies the other entries that an upstream has failed a request.
func (e *entry) publishSuspected(u burdockid.Upstream) {
	e.suspectedPublisher.publish([]burdockkv.Put{{Key: prefixSuspected + string(u), Value: []byte(e.settings.VM)}})
}

// suspectedKeys finds the keys under prefixSuspected that have been written since it last
// checked.
type suspectedKeys struct {
	seen map[string]burdockkv.Position // by key
}

// updated returns the upstreams whose keys have been written since the last call.
func (k *suspectedKeys) updated(items []burdockkv.Item) []burdockid.Upstream {
	seen := map[string]burdockkv.Position{}
	var fresh []burdockid.Upstream
	for _, item := range items {
		seen[item.Key] = item.Modified
		if k.seen[item.Key] != item.Modified {
			fresh = append(fresh, burdockid.Upstream(strings.TrimPrefix(item.Key, prefixSuspected)))
		}
	}
	k.seen = seen
	return fresh
}
