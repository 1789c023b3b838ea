package burdockkv

import (
	"maps"
	"slices"
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Mirror is a Sink that keeps the keys as they are known.
type Mirror struct {
	mu      sync.Mutex
	items   map[string]Item
	known   bool
	changed []func()
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror { return &Mirror{items: map[string]Item{}} }

// Subscribe calls fn after each change. It must be called before the first.
func (m *Mirror) Subscribe(fn func()) { m.changed = append(m.changed, fn) }

// Get returns a key, and whether it is there.
func (m *Mirror) Get(key string) (Item, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	item, ok := m.items[key]
	return item, ok
}

// Items returns all keys, in no order.
func (m *Mirror) Items() []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.items))
}

// Synced reports whether the keys have been listed once.
func (m *Mirror) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known
}

// Listed implements Sink.
func (m *Mirror) Listed(items []Item) {
	m.mu.Lock()
	m.known = true
	old := m.items
	m.items = map[string]Item{}
	for _, item := range items {
		m.items[item.Key] = item
	}
	same := maps.EqualFunc(old, m.items, func(a, b Item) bool { return a.Revision == b.Revision })
	m.mu.Unlock()
	if !same {
		m.tell()
	}
}

// Changed implements Sink.
func (m *Mirror) Changed(items []Item) {
	if len(items) == 0 {
		return
	}
	m.mu.Lock()
	for _, item := range items {
		if old, ok := m.items[item.Key]; ok && old.Revision > item.Revision {
			continue
		}
		if item.Deleted {
			delete(m.items, item.Key)
		} else {
			m.items[item.Key] = item
		}
	}
	m.mu.Unlock()
	m.tell()
}

// StoreRecovered implements Sink.
func (m *Mirror) StoreRecovered(burdockclock.Millis) {}

func (m *Mirror) tell() {
	for _, fn := range m.changed {
		fn()
	}
}
