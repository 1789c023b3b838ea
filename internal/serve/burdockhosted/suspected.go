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

// suspectedKeys finds the keys under prefixSuspected that were written since it last checked.
type suspectedKeys struct{ fresh freshKeys }

// updated returns the upstreams whose keys were written since the last call.
func (k *suspectedKeys) updated(items []burdockkv.Item) []burdockid.Upstream {
	var all []burdockid.Upstream
	for _, item := range k.fresh.updated(items) {
		all = append(all, burdockid.Upstream(strings.TrimPrefix(item.Key, prefixSuspected)))
	}
	return all
}
