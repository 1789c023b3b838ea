package burdocksync

import (
	"context"
	"encoding/binary"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
)

// FuzzSync sends Sync requests with arbitrary digests. The answer either contains the
// entries that lead to the same configuration, or asks for bucket digests.
func FuzzSync(f *testing.F) {
	f.Fuzz(func(t *testing.T, digest uint64, buckets []byte, verified bool) {
		view := burdockconfig.NewView()
		view.Merge([]burdockconfig.Entry{{Key: "site", Version: 2, Mark: "m"}, {Key: "service/a", Version: burdockid.Version(^uint64(0)), Mark: "n"}})
		req := &burdockwire.SyncRequest{Digest: digest, Verified: verified}
		for ; len(buckets) >= 8; buckets = buckets[8:] {
			req.BucketDigests = append(req.BucketDigests, binary.LittleEndian.Uint64(buckets))
		}
		res, err := NewHandler(view, NewSource(burdockclock.System())).Sync(context.Background(), connect.NewRequest(req))
		if err != nil {
			t.Fatalf("Sync: %v", err)
		}
		if res.Msg.GetVerified() != verified {
			t.Errorf("verified: got %v, want %v", res.Msg.GetVerified(), verified)
		}
		received := burdockconfig.NewView()
		received.Merge(fromWire(res.Msg.GetEntries()))
		if digest == 0 && len(req.BucketDigests) == 0 && received.Digest() != view.Digest() {
			t.Errorf("from an empty view: got digest %x, want %x", received.Digest(), view.Digest())
		}
		if res.Msg.GetNeedBuckets() && len(res.Msg.GetEntries()) > 0 {
			t.Errorf("got %d entries and a request for buckets, want one of them", len(res.Msg.GetEntries()))
		}
	})
}
