package burdockkv

import (
	"maps"
	"slices"
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Mirror is a Sink that keeps a local copy of the keys.
type Mirror struct {
	mu          sync.Mutex
	items       map[string]Item
	synced      bool
	subscribers []func()
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror { return &Mirror{items: map[string]Item{}} }

// Subscribe calls fn after each change. It must be called before the mirror receives any.
func (m *Mirror) Subscribe(fn func()) { m.subscribers = append(m.subscribers, fn) }

// Get returns a key, and whether it exists.
func (m *Mirror) Get(key string) (Item, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	item, ok := m.items[key]
	return item, ok
}

// Items returns all keys in no particular order.
func (m *Mirror) Items() []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.items))
}

// Synced reports whether the keys have been listed at least once.
func (m *Mirror) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.synced
}

// Reset drops all keys, as before the first listing.
func (m *Mirror) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.items, m.synced = map[string]Item{}, false
}

// Listed implements Sink.
func (m *Mirror) Listed(items []Item) {
	m.mu.Lock()
	m.synced = true
	old := m.items
	m.items = map[string]Item{}
	for _, item := range items {
		m.items[item.Key] = item
	}
	same := maps.EqualFunc(old, m.items, func(a, b Item) bool { return a.Modified == b.Modified })
	m.mu.Unlock()
	if !same {
		m.notify()
	}
}

// Changed implements Sink.
func (m *Mirror) Changed(items []Item) {
	if len(items) == 0 {
		return
	}
	m.mu.Lock()
	for _, item := range items {
		if old, ok := m.items[item.Key]; ok && old.Modified.Compare(item.Modified) > 0 {
			continue
		}
		if item.Deleted {
			delete(m.items, item.Key)
		} else {
			m.items[item.Key] = item
		}
	}
	m.mu.Unlock()
	m.notify()
}

// StoreRecovered implements Sink.
func (m *Mirror) StoreRecovered(burdockclock.Millis) {}

// StoreRestored implements Sink.
func (m *Mirror) StoreRestored() {}

func (m *Mirror) notify() {
	for _, fn := range m.subscribers {
		fn()
	}
}
