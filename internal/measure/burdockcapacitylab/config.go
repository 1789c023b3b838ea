package burdockcapacitylab

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockentity"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdocksync"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
)

// ConfigCost is what a process spends on a configuration of one size.
type ConfigCost struct {
	Size  Size
	Keys  int
	Bytes int64 // heap size of the view and the fleet
	// Merge is the processor time to apply one changed upstream, MergeOwner the time to
	// apply one changed owner of a slot.
	Merge      time.Duration
	MergeOwner time.Duration
	// Three answers to a pull: without a difference, with one change, and by buckets
	// for a process without any configuration. Times exclude the transport.
	SyncEqual   Answer
	SyncOne     Answer
	SyncBuckets Answer
	// Listing is the size of the store's answer that lists all keys.
	Listing int
}

// Answer is what one answer costs the process that sends it, without the transport.
type Answer struct {
	Time  time.Duration
	Bytes int
}

// MeasureConfig measures a configuration of the given size.
func MeasureConfig(size Size) (ConfigCost, error) {
	f := Fleet(size)
	entries, err := Entries(f)
	if err != nil {
		return ConfigCost{}, err
	}
	s, heapBytes := heapOf(func() state { return newState(copyEntries(entries)) })
	cost := ConfigCost{Size: size, Keys: s.view.Len(), Bytes: heapBytes}
	if cost.Merge, err = mergeUpstream(s, size); err != nil {
		return ConfigCost{}, err
	}
	if cost.Listing, err = listingSize(entries); err != nil {
		return ConfigCost{}, err
	}
	cost.MergeOwner = mergeOwner(s, entries[len(entries)-1])
	err = cost.measureSync(s, size)
	runtime.KeepAlive(s)
	return cost, err
}

func listingSize(entries []burdockconfig.Entry) (int, error) {
	var l burdockstore.Listing
	for i, e := range entries {
		value, err := burdockconfig.Encode(e)
		if err != nil {
			return 0, err
		}
		l.Entries = append(l.Entries, burdockstore.Entry{Key: burdockconfig.StorePrefix + e.Key, Value: value, Revision: burdockstore.Revision(i)})
	}
	data, err := json.Marshal(l)
	return len(data), err
}

// copyEntries copies the entries with their values, so that the heap measurement
// includes them.
func copyEntries(entries []burdockconfig.Entry) []burdockconfig.Entry {
	copied := make([]burdockconfig.Entry, len(entries))
	for i, e := range entries {
		e.Key, e.Mark, e.Value = string([]byte(e.Key)), string([]byte(e.Mark)), append([]byte(nil), e.Value...)
		copied[i] = e
	}
	return copied
}

// mergeUpstream measures the change of one upstream whose VM was replaced.
func mergeUpstream(s state, size Size) (time.Duration, error) {
	e, err := changedUpstream(s, size)
	if err != nil {
		return 0, err
	}
	return processorTime(func() {
		e.Version++
		s.view.Merge([]burdockconfig.Entry{e})
	}), nil
}

func changedUpstream(s state, size Size) (burdockconfig.Entry, error) {
	u := upstream(0, size)
	u.VM = "vm-replaced"
	key := burdockentity.UpstreamPrefix + string(u.Name)
	entity, err := burdockentity.Encode(key, u)
	if err != nil {
		return burdockconfig.Entry{}, err
	}
	current, _ := s.view.Get(key)
	return entry(key, current.Version+1, entity.Value), nil
}

func mergeOwner(s state, e burdockconfig.Entry) time.Duration {
	return processorTime(func() {
		e.Version++
		s.view.Merge([]burdockconfig.Entry{e})
	})
}

func (c *ConfigCost) measureSync(s state, size Size) error {
	clock := burdockclock.System()
	h := burdocksync.NewHandler(s.view, burdocksync.NewSource(clock))
	before := s.view.Digest()
	e, err := changedUpstream(s, size)
	if err != nil {
		return err
	}
	s.view.Merge([]burdockconfig.Entry{e})
	now := s.view.Digest()
	for _, m := range []struct {
		answer  *Answer
		request *burdockwire.SyncRequest
	}{
		{&c.SyncEqual, &burdockwire.SyncRequest{Digest: uint64(now)}},
		{&c.SyncOne, &burdockwire.SyncRequest{Digest: uint64(before)}},
		{&c.SyncBuckets, &burdockwire.SyncRequest{BucketDigests: make([]uint64, len(s.view.Buckets()))}},
	} {
		if *m.answer, err = answer(h, m.request); err != nil {
			return err
		}
	}
	if c.SyncBuckets.Bytes < c.SyncOne.Bytes {
		return fmt.Errorf("an answer with the whole configuration has %d bytes, fewer than one with a single change", c.SyncBuckets.Bytes)
	}
	return nil
}

// answer measures one answer, including its encoding.
func answer(h *burdocksync.Handler, request *burdockwire.SyncRequest) (Answer, error) {
	var a Answer
	var callErr error
	a.Time = processorTime(func() {
		res, err := h.Sync(context.Background(), connect.NewRequest(request))
		if err != nil {
			callErr = err
			return
		}
		data, err := proto.Marshal(res.Msg)
		if err != nil {
			callErr = err
			return
		}
		a.Bytes = len(data)
	})
	return a, callErr
}

// Handover is the size of the message that hands over a slot.
type Handover struct {
	Keys  int
	Bytes int
}

// MeasureHandover returns the size of a handover of the given number of keys.
func MeasureHandover(keys int) Handover {
	m := &burdockwire.TakeKeysRequest{FromIncarnation: string(burdockid.NewIncarnation()), Slot: 255, SinceMillis: int64(burdockclock.System().Now())}
	for i := range keys {
		m.Lines = append(m.Lines, &burdockwire.KeyLine{
			KeyHigh: uint64(i) + 1<<60, KeyLow: uint64(i) + 1<<61, RequestId: string(burdockid.NewRequest()),
			Fingerprint: 1<<62 + uint64(i), Fate: 1, AtMillis: int64(burdockclock.System().Now()),
		})
	}
	return Handover{Keys: keys, Bytes: proto.Size(m)}
}
