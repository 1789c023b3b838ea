package burdockhosted

import (
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/serve/burdockdirect"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"go.uber.org/zap"
)

const (
	// prefixNotifications is the prefix of the keys by which processes notify the entries
	// of urgent changes. They share one prefix so that an entry needs a single watch.
	prefixNotifications = prefixSystem + "news/"
	// prefixOpen is the prefix of the keys that hold the latest open epoch of each group.
	prefixOpen = prefixNotifications + "open/"
)

// notificationReader passes the notifications under prefixNotifications to an entry.
type notificationReader struct {
	mirror    *burdockkv.Mirror
	entry     *burdockdirect.Entry
	log       *zap.Logger
	opened    map[string]string // epoch by group, as last read
	suspected suspectedKeys
	parts     partNewsReader
}

func newNotificationReader(entry *burdockdirect.Entry, log *zap.Logger) *notificationReader {
	n := &notificationReader{mirror: burdockkv.NewMirror(), entry: entry, log: log, parts: partNewsReader{entry: entry, log: log}}
	n.mirror.Subscribe(n.changed)
	return n
}

// changed is called after each change of the mirror, never concurrently.
func (n *notificationReader) changed() {
	byPrefix := map[string][]burdockkv.Item{}
	opened := map[string]string{}
	for _, item := range n.mirror.Items() {
		kind, name, _ := strings.Cut(strings.TrimPrefix(item.Key, prefixNotifications), "/")
		prefix := prefixNotifications + kind + "/"
		byPrefix[prefix] = append(byPrefix[prefix], item)
		if prefix == prefixOpen {
			opened[name] = string(item.Value)
		}
	}
	n.entry.SetSpeeds(readSpeeds(byPrefix[prefixSpeed], n.log))
	n.entry.AddCrashes(readCrashes(byPrefix[prefixCrash], n.log))
	n.entry.AddAnswers(readCrashAnswers(byPrefix[prefixCrashAnswer], n.log))
	n.parts.read(byPrefix)
	n.entry.MarkSuspected(n.suspected.updated(byPrefix[prefixSuspected]))
	for name, epoch := range opened {
		if n.opened[name] != epoch {
			n.entry.NotifyGroupOpened(burdockid.Group(name))
		}
	}
	n.opened = opened
}

// freshKeys finds the keys that were written since it last checked.
type freshKeys struct {
	seen map[string]burdockkv.Position // by key
}

// updated returns the items that were written since the last call.
func (k *freshKeys) updated(items []burdockkv.Item) []burdockkv.Item {
	seen := make(map[string]burdockkv.Position, len(items))
	var fresh []burdockkv.Item
	for _, item := range items {
		seen[item.Key] = item.Modified
		if k.seen[item.Key] != item.Modified {
			fresh = append(fresh, item)
		}
	}
	k.seen = seen
	return fresh
}

// openKey returns the key and the value that announce that a group is open. The group's
// name is that of a rank assignment, which contains the epoch.
func openKey(assignedGroup string) (key string, epoch []byte) {
	name, number, _ := strings.Cut(assignedGroup, epochSeparator)
	return prefixOpen + name, []byte(number)
}
