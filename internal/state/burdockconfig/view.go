// Package burdockconfig holds a process's view of the configuration. Entries come from
// the store and from peers in any order. An entry is replaced only by one with a higher
// version, so a view never goes back to an older state.
package burdockconfig

import (
	"encoding/binary"
	"sort"
	"strings"
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"github.com/cespare/xxhash/v2"
)

// Entry is one key of the configuration with its value. The version is assigned by
// burdockbend and not taken from the store's revisions, because a store that is
// restored from a backup may use the same revisions again.
type Entry struct {
	Key     string            `json:"key"`
	Version burdockid.Version `json:"version"`
	// Mark is unique to one write. A writer that received no response reads the
	// entry and compares the mark to find out whether its write took effect.
	Mark    string `json:"mark"`
	Deleted bool   `json:"deleted,omitempty"`
	Value   []byte `json:"value,omitempty"`
}

// Digest is a hash of a whole configuration. Two views with the same digest have
// the same entries.
type Digest uint64

// newer reports whether e replaces old.
//
// Two writes with the same version exist only if the store lost one that it had
// accepted. The mark is the tie-breaker, so all processes choose the same entry.
func (e Entry) newer(old Entry) bool {
	if e.Version != old.Version {
		return e.Version > old.Version
	}
	return e.Mark > old.Mark
}

func (e Entry) digest() Digest {
	var h xxhash.Digest
	h.Reset()
	var version [8]byte
	binary.LittleEndian.PutUint64(version[:], uint64(e.Version))
	_, _ = h.WriteString(e.Key)
	_, _ = h.Write(version[:])
	_, _ = h.WriteString(e.Mark)
	return Digest(h.Sum64())
}

// bucketCount is the number of buckets that keys are hashed to. Two processes that
// don't recognise each other's digest compare the digests of the buckets. The 64
// digests take 512 bytes, and with the 8,000 keys of the design a bucket has 125 keys.
const bucketCount = 64

// historyLength is the number of changes back to which a peer's digest is recognised.
// At 19,000 changes a day it covers 20 minutes.
const historyLength = 256

// View is the configuration as known to one process. It is safe for concurrent use.
type View struct {
	mu       sync.Mutex
	entries  map[string]Entry
	digest   Digest
	buckets  [bucketCount]Digest
	history  []change // oldest first
	watchers []func([]Entry, Digest)
}

type change struct {
	before Digest
	key    string
}

// NewView returns an empty view.
func NewView() *View { return &View{entries: map[string]Entry{}} }

// Subscribe registers fn to be called after each merge that changed the view, with the
// changed entries and the new digest. Calls don't overlap, and fn must not call the
// view. Subscribe must be called before the first Merge.
func (v *View) Subscribe(fn func([]Entry, Digest)) { v.watchers = append(v.watchers, fn) }

// Merge applies entries from the store or from a peer. It returns those that changed
// the view.
func (v *View) Merge(entries []Entry) []Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	var changed []Entry
	for _, e := range entries {
		if v.put(e) {
			changed = append(changed, e)
		}
	}
	if len(changed) == 0 {
		return nil
	}
	for _, fn := range v.watchers {
		fn(changed, v.digest)
	}
	return changed
}

// put stores e unless the view has the same or a newer entry, and reports whether it
// did. The view's digest is the XOR of the entries' digests, so it doesn't depend on
// the order in which entries arrive.
func (v *View) put(e Entry) bool {
	old, known := v.entries[e.Key]
	if known && !e.newer(old) {
		return false
	}
	v.history = append(v.history, change{before: v.digest, key: e.Key})
	if len(v.history) > historyLength {
		v.history = v.history[1:]
	}
	delta := e.digest()
	if known {
		delta ^= old.digest()
	}
	v.entries[e.Key] = e
	v.digest ^= delta
	v.buckets[bucketOf(e.Key)] ^= delta
	return true
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

// Digest returns the digest of the whole view.
func (v *View) Digest() Digest {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.digest
}

// Buckets returns the digest of each bucket of keys.
func (v *View) Buckets() []Digest {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]Digest(nil), v.buckets[:]...)
}

// Since returns the entries that changed after the view had the peer's digest. It
// reports false if that digest is not in the history.
func (v *View) Since(peer Digest) ([]Entry, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if peer == v.digest {
		return nil, true
	}
	for i := len(v.history) - 1; i >= 0; i-- {
		if v.history[i].before == peer {
			return v.changedEntries(v.history[i:]), true
		}
	}
	return nil, false
}

func (v *View) changedEntries(changes []change) []Entry {
	seen := map[string]bool{}
	var entries []Entry
	for _, c := range changes {
		if !seen[c.key] {
			seen[c.key] = true
			entries = append(entries, v.entries[c.key])
		}
	}
	return entries
}

// Differing returns the entries, sorted by key, of all buckets whose digest differs
// from the peer's.
func (v *View) Differing(peer []Digest) []Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	var entries []Entry
	for key, e := range v.entries {
		b := bucketOf(key)
		if b >= len(peer) || peer[b] != v.buckets[b] {
			entries = append(entries, e)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

// Get returns the entry of key, even if it is deleted.
func (v *View) Get(key string) (Entry, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.entries[key]
	return e, ok
}

// Under returns the entries whose key begins with prefix, sorted by key, without
// deleted ones.
func (v *View) Under(prefix string) []Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	var entries []Entry
	for key, e := range v.entries {
		if strings.HasPrefix(key, prefix) && !e.Deleted {
			entries = append(entries, e)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

// All returns all entries sorted by key, including deleted ones.
func (v *View) All() []Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	entries := make([]Entry, 0, len(v.entries))
	for _, e := range v.entries {
		entries = append(entries, e)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

// Len returns the number of keys, including deleted ones.
func (v *View) Len() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.entries)
}
