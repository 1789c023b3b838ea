package burdockhosted

import (
	"maps"
	"strings"

	"burdockbend.example/burdockbend/internal/serve/burdockdirect"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"go.uber.org/zap"
)

const (
	// prefixNews is that of the keys by which processes tell the entries what can't
	// wait. All are under one prefix, so that an entry has one watch for them.
	prefixNews = prefixOwn + "news/"
	// prefixOpen is that of the keys that tell which epoch of each group was opened
	// last.
	prefixOpen = prefixNews + "open/"
)

// news hands an entry what the keys under prefixNews tell.
type news struct {
	mirror *burdockkv.Mirror
	entry  *burdockdirect.Entry
	log    *zap.Logger
	opened map[string]string // epoch by group, as last told
	doubts doubts
}

func newNews(entry *burdockdirect.Entry, log *zap.Logger) *news {
	n := &news{mirror: burdockkv.NewMirror(), entry: entry, log: log}
	n.mirror.Subscribe(n.changed)
	return n
}

// changed is called for one change at a time.
func (n *news) changed() {
	byPrefix := map[string][]burdockkv.Item{}
	opened := map[string]string{}
	for _, item := range n.mirror.Items() {
		kind, name, _ := strings.Cut(strings.TrimPrefix(item.Key, prefixNews), "/")
		prefix := prefixNews + kind + "/"
		byPrefix[prefix] = append(byPrefix[prefix], item)
		if prefix == prefixOpen {
			opened[name] = string(item.Value)
		}
	}
	n.entry.SetSpeeds(readSpeeds(byPrefix[prefixSpeed], n.log))
	n.entry.AddCrashes(readCrashes(byPrefix[prefixCrash], n.log))
	n.entry.MarkSuspected(n.doubts.news(byPrefix[prefixDoubt]))
	if !maps.Equal(n.opened, opened) {
		n.opened = opened
		n.entry.NotifyGroupOpened()
	}
}

// openKey returns the key that tells that the group of a seat, which is named with
// its epoch, is open, and the value to be put there.
func openKey(seatGroup string) (key string, epoch []byte) {
	name, number, _ := strings.Cut(seatGroup, epochMark)
	return prefixOpen + name, []byte(number)
}
