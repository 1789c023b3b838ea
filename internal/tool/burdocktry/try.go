// Package burdocktry runs every role and stand-in in one process on loopback, to try
// the system out.
package burdocktry

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"burdockbend.example/burdockbend/internal/config/burdockentity"
	"burdockbend.example/burdockbend/internal/config/burdockkey"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/serve/burdockadmin"
	"burdockbend.example/burdockbend/internal/state/burdocksync"
	"burdockbend.example/burdockbend/internal/tool/burdockmain"
	"github.com/joomcode/errorx"
)

const (
	readyTimeout      = 15 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// Run starts the fleet and prints its addresses and an example request. With once set
// it sends requests of each kind, prints the answers and returns; otherwise it
// returns when ctx ends.
func Run(ctx context.Context, w io.Writer, once bool) error {
	log := burdockmain.NewLog(os.Stderr, "warn")
	f, err := startFleet(log)
	if err != nil {
		return err
	}
	defer f.close()
	key := burdockkey.New()
	if err := f.configure(ctx, key); err != nil {
		return err
	}
	if err := f.waitReady(ctx); err != nil {
		return err
	}
	f.print(w, key)
	if once {
		return f.sendSampleRequests(ctx, w, key)
	}
	<-ctx.Done()
	return nil
}

// configure writes the profile and the membership to the store, as an operator would.
func (f *fleet) configure(ctx context.Context, key string) error {
	profiles, err := burdockprofile.Split([]burdockprofile.Profile{trialProfile()})
	if err != nil {
		return err
	}
	members, err := burdockmember.Split(f.membership(burdockkey.Hash(key)))
	if err != nil {
		return err
	}
	writer := burdocksync.NewWriter(burdockstore.NewHTTP([]string{f.store.Address()}))
	for _, entity := range append(profiles, members...) {
		if err := write(ctx, writer, entity); err != nil {
			return err
		}
	}
	return nil
}

func write(ctx context.Context, writer *burdocksync.Writer, entity burdockentity.Entity) error {
	_, err := writer.Write(ctx, burdocksync.Edit{Key: entity.Key, Value: entity.Value, AnyBase: true})
	return err
}

// waitReady waits until every process is ready and has the same configuration.
func (f *fleet) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if f.ready() {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return errorx.TimeoutElapsed.New("the processes did not take up the configuration within %v", readyTimeout)
}

func (f *fleet) ready() bool {
	digest := f.entries[0].Digest()
	for _, e := range f.entries {
		if e.Ready() != "" || e.Digest() != digest {
			return false
		}
	}
	for _, a := range f.agents {
		if a.Ready() != "" || a.Digest() != digest {
			return false
		}
	}
	return true
}

func (f *fleet) print(w io.Writer, key string) {
	for _, e := range f.entries {
		_, _ = fmt.Fprintf(w, "entry      callers http://%s  state http://%s%s\n", e.Address(), e.AdminAddress(), burdockadmin.PathState)
	}
	for i, a := range f.agents {
		_, _ = fmt.Fprintf(w, "agent      %s  state http://%s%s\n", f.members.Upstreams[i].Name, a.AdminAddress(), burdockadmin.PathState)
	}
	_, _ = fmt.Fprintf(w, "store      %s (stand-in)\n", f.store.Address())
	_, _ = fmt.Fprintf(w, "\ncurl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \\\n"+
		"  -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"a two-stage amplifier\"}]}'\n\n",
		f.entries[0].Address(), key, modelName)
}
