package burdockhosted

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
)

const (
	// tenth is the cost in tenths of a call of a stale listing or a renewal; any other call
	// costs whole.
	tenth = 1
	whole = 10
	// fleetPage is the number of items of a page, each of which is a call.
	fleetPage = 500
	// storeDelay is the time of a call.
	storeDelay = 4 * time.Millisecond
)

// fleetStore is a store with watches and expiring leases in simulated time. It counts
// calls as the platform does.
type fleetStore struct {
	mu      sync.Mutex
	rev     burdockkv.Revision
	items   map[string]burdockkv.Item
	history []burdockkv.Item
	changed chan struct{} // closed at the next change
	leases  map[int64]*time.Timer
	next    int64

	tenths int            // total cost of calls
	byCall map[string]int // cost by call and keys, in tenths
	peak   map[int]int    // calls by second
	start  time.Time
}

func newFleetStore() *fleetStore {
	return &fleetStore{
		items: map[string]burdockkv.Item{}, changed: make(chan struct{}), leases: map[int64]*time.Timer{},
		peak: map[int]int{}, start: time.Now(), byCall: map[string]int{},
	}
}

// enter counts a call, and returns with the lock held.
func (s *fleetStore) enter(call string, cost int) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	s.tenths += cost
	s.byCall[call] += cost
	if cost == whole { // cheaper calls don't count toward the store's rates
		s.peak[int(time.Since(s.start)/time.Second)]++
	}
}

func (s *fleetStore) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tenths / whole
}

// maxPerSecond returns the highest number of calls in any second.
func (s *fleetStore) maxPerSecond() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, n := range s.peak {
		most = max(most, n)
	}
	return most
}

func (s *fleetStore) at(rev burdockkv.Revision) burdockkv.Position {
	return burdockkv.Position{Revision: rev}
}

// List implements burdockkv.Store.
func (s *fleetStore) List(ctx context.Context, prefix string, read burdockkv.Read) ([]burdockkv.Item, burdockkv.Position, error) {
	cost := whole
	if read == burdockkv.ReadStale {
		cost = tenth
	}
	s.enter("list "+scopeOf(prefix), cost)
	defer s.mu.Unlock()
	var list []burdockkv.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, item)
		}
	}
	s.tenths += cost * max(int(math.Ceil(float64(len(list))/fleetPage))-1, 0)
	return list, s.at(s.rev), ctx.Err()
}

// Watch implements burdockkv.Store.
func (s *fleetStore) Watch(ctx context.Context, prefix string, after burdockkv.Position, wait burdockclock.Millis) ([]burdockkv.Item, burdockkv.Position, error) {
	s.enter("watch "+scopeOf(prefix), whole)
	defer s.mu.Unlock()
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	for {
		if events := s.since(prefix, after.Revision); len(events) > 0 {
			return events, s.at(s.rev), nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
			s.mu.Lock()
		case <-timer.C:
			s.mu.Lock()
			return nil, s.at(s.rev), nil
		case <-ctx.Done():
			s.mu.Lock()
			return nil, after, burdockkv.ErrUnavailable.Wrap(ctx.Err(), "watch")
		}
	}
}

func (s *fleetStore) since(prefix string, after burdockkv.Revision) []burdockkv.Item {
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(item burdockkv.Item, rev burdockkv.Revision) int {
		return int(item.Modified.Revision - rev)
	})
	var events []burdockkv.Item
	for _, item := range s.history[first:] {
		if strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events
}

// put writes a key, or deletes it. The lock must be held.
func (s *fleetStore) put(item burdockkv.Item) {
	s.rev++
	item.Modified, item.Created = s.at(s.rev), s.at(s.rev)
	if old, ok := s.items[item.Key]; ok {
		item.Created = old.Created
	}
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// write changes a key as the operators or an upstream do, which is not counted.
func (s *fleetStore) write(item burdockkv.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(item)
}

// Write implements burdockkv.Store.
func (s *fleetStore) Write(_ context.Context, conditions []burdockkv.Condition, puts []burdockkv.Put) (burdockkv.Position, error) {
	s.enter("write "+scopeOf(puts[0].Key), whole)
	defer s.mu.Unlock()
	for _, c := range conditions {
		if s.items[c.Key].Modified.Revision != c.Modified.Revision {
			return s.at(s.rev), burdockkv.ErrConflict.New("%s", c.Key)
		}
	}
	for _, p := range puts {
		s.put(burdockkv.Item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	return s.at(s.rev), nil
}

// Grant implements burdockkv.Store.
func (s *fleetStore) Grant(_ context.Context, ttl burdockclock.Millis) (burdockkv.LeaseID, error) {
	s.enter("grant", whole)
	defer s.mu.Unlock()
	s.next++
	number := s.next
	s.leases[number] = time.AfterFunc(ttl.Duration(), func() { s.expire(number) })
	return burdockkv.LeaseID{Number: number}, nil
}

func (s *fleetStore) expire(number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, number)
	for key, item := range s.items {
		if item.Lease.Number == number {
			s.put(burdockkv.Item{Key: key, Deleted: true})
		}
	}
}

// Renew implements burdockkv.Store.
func (s *fleetStore) Renew(_ context.Context, id burdockkv.LeaseID) error {
	s.enter("renew", tenth)
	defer s.mu.Unlock()
	timer, ok := s.leases[id.Number]
	if !ok {
		return burdockkv.ErrNotFound.New("lease %d", id.Number)
	}
	timer.Reset(leaseTTL.Duration())
	return nil
}

// Revoke implements burdockkv.Store.
func (s *fleetStore) Revoke(_ context.Context, id burdockkv.LeaseID) error {
	s.enter("revoke", whole)
	timer := s.leases[id.Number]
	s.mu.Unlock()
	if timer != nil && timer.Stop() {
		s.expire(id.Number)
	}
	return nil
}

// Era implements burdockkv.Store.
func (s *fleetStore) Era() burdockkv.Era { return 0 }

// scopeOf returns the beginning of a key that all keys of its kind share.
func scopeOf(key string) string {
	elements := strings.Split(key, "/")
	return strings.Join(elements[:min(len(elements), 2)], "/")
}

// costs returns the calls by kind, each followed by its cost in calls.
func (s *fleetStore) costs() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	for _, call := range slices.Sorted(maps.Keys(s.byCall)) {
		fmt.Fprintf(&b, "%s %d; ", call, s.byCall[call]/whole)
	}
	return b.String()
}
