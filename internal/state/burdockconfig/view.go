// Package burdockconfig is a process's view of the configuration. It only
// moves forward: an entry gives way to one with a higher version, whoever
// brings it and in whatever order, and never to a lower one.
package burdockconfig

import (
	"encoding/binary"
	"sort"
	"strings"
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"github.com/cespare/xxhash/v2"
)

// Entry is one key of the configuration. Its version is the project's own: a
// store that restarts from an old state may count its revisions anew.
type Entry struct {
	Key     string            `json:"key"`
	Version burdockid.Version `json:"version"`
	// Mark is unique to one write, so that a writer whose answer was lost can
	// tell from a read whether its write took effect.
	Mark    string `json:"mark"`
	Deleted bool   `json:"deleted,omitempty"`
	Value   []byte `json:"value,omitempty"`
}

// Digest stands for a whole configuration. Two views with the same digest
// hold the same entries.
type Digest uint64

// newer reports whether e replaces old.
//
// Two writes with the same version can exist only when the store lost an
// accepted one. Every process must then still choose the same, so the mark
// decides.
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

// Bucket counts. A process that knows nothing of another's digest compares
// buckets; 64 of them make 512 bytes, and at the design's size of 8,000 keys
// each holds 125.
const bucketCount = 64

// historyLength is how many changes back a peer's digest is recognised. At
// 19,000 changes a day it covers 20 minutes.
const historyLength = 256

// View is the configuration as one process knows it.
type View struct {
	mu       sync.Mutex
	entries  map[string]Entry
	digest   Digest
	buckets  [bucketCount]Digest
	history  []change // the newest last
	watchers []func([]Entry, Digest)
}

type change struct {
	before Digest
	key    string
}

// NewView returns an empty view.
func NewView() *View { return &View{entries: map[string]Entry{}} }

// Subscribe calls fn after each merge that changed something, with what
// changed and the digest after it. Calls don't overlap, and fn must not call
// the view. It must be called before the first Merge.
func (v *View) Subscribe(fn func([]Entry, Digest)) { v.watchers = append(v.watchers, fn) }

// Merge takes in entries from the store or from a peer, and returns those that
// were news.
func (v *View) Merge(entries []Entry) []Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	var news []Entry
	for _, e := range entries {
		if v.put(e) {
			news = append(news, e)
		}
	}
	if len(news) == 0 {
		return nil
	}
	for _, fn := range v.watchers {
		fn(news, v.digest)
	}
	return news
}

// put replaces an older entry. The digest is a sum without order, so that the
// same entries give the same digest whatever order they came in.
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

// Buckets returns the digest of each bucket.
func (v *View) Buckets() []Digest {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]Digest(nil), v.buckets[:]...)
}

// Since returns what changed since the view had the digest of a peer. It
// reports false when it doesn't remember that digest.
func (v *View) Since(peer Digest) ([]Entry, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if peer == v.digest {
		return nil, true
	}
	for i := len(v.history) - 1; i >= 0; i-- {
		if v.history[i].before == peer {
			return v.changed(v.history[i:]), true
		}
	}
	return nil, false
}

func (v *View) changed(changes []change) []Entry {
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

// Differing returns the entries of all buckets in which a peer's digests
// differ from the view's.
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

// Get returns the entry of key, also when it was deleted.
func (v *View) Get(key string) (Entry, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.entries[key]
	return e, ok
}

// Under returns the entries below prefix that were not deleted, by key.
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

// All returns every entry by key, deleted ones included.
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

// Len returns the number of keys, deleted ones included.
func (v *View) Len() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.entries)
}
