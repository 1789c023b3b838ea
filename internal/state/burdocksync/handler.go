// Package burdocksync keeps a process's configuration up to date. A few processes watch
// the platform's store, and all others pull from those few. During an outage of the store
// processes still pull from each other.
package burdocksync

import (
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
)

// Handler answers the Sync calls of other processes that ask for configuration.
type Handler struct {
	view   *burdockconfig.View
	source *Source
}

// NewHandler returns a burdockwire.PeerServiceHandler that serves the entries of view.
func NewHandler(view *burdockconfig.View, source *Source) *Handler {
	return &Handler{view: view, source: source}
}

// Sync implements burdockwire.PeerServiceHandler.
func (h *Handler) Sync(_ context.Context, req *connect.Request[burdockwire.SyncRequest]) (*connect.Response[burdockwire.SyncResponse], error) {
	if req.Msg.GetVerified() {
		h.source.markVerified()
	}
	h.view.Merge(fromWire(req.Msg.GetEntries()))
	res := &burdockwire.SyncResponse{Digest: uint64(h.view.Digest()), Verified: h.source.Verified()}
	if buckets := req.Msg.GetBucketDigests(); len(buckets) > 0 {
		res.BucketDigests = digestsToWire(h.view.Buckets())
		res.Entries = toWire(h.view.Differing(digestsFromWire(buckets)))
		return connect.NewResponse(res), nil
	}
	entries, known := h.view.Since(burdockconfig.Digest(req.Msg.GetDigest()))
	res.NeedBuckets = !known
	res.Entries = toWire(entries)
	return connect.NewResponse(res), nil
}

func digestsFromWire(buckets []uint64) []burdockconfig.Digest {
	digests := make([]burdockconfig.Digest, len(buckets))
	for i, b := range buckets {
		digests[i] = burdockconfig.Digest(b)
	}
	return digests
}

func digestsToWire(digests []burdockconfig.Digest) []uint64 {
	numbers := make([]uint64, len(digests))
	for i, d := range digests {
		numbers[i] = uint64(d)
	}
	return numbers
}

func toWire(entries []burdockconfig.Entry) []*burdockwire.ConfigEntry {
	messages := make([]*burdockwire.ConfigEntry, len(entries))
	for i, e := range entries {
		messages[i] = &burdockwire.ConfigEntry{
			Key:     e.Key,
			Version: uint64(e.Version),
			Mark:    e.Mark,
			Deleted: e.Deleted,
			Value:   e.Value,
		}
	}
	return messages
}

func fromWire(messages []*burdockwire.ConfigEntry) []burdockconfig.Entry {
	entries := make([]burdockconfig.Entry, len(messages))
	for i, m := range messages {
		entries[i] = burdockconfig.Entry{
			Key:     m.GetKey(),
			Version: burdockid.Version(m.GetVersion()),
			Mark:    m.GetMark(),
			Deleted: m.GetDeleted(),
			Value:   m.GetValue(),
		}
	}
	return entries
}
