package burdocksync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
	"go.uber.org/zap"
)

const (
	// pullEvery is how often a process asks one peer, on average. At 3,800
	// agents before 350 entries each entry is asked 5.4 times a second.
	pullEvery   = 2 * burdockclock.Second
	pullTimeout = 2 * time.Second
)

// Puller asks other processes, one at a time and at random, for configuration
// that this process lacks.
type Puller struct {
	view   *burdockconfig.View
	source *Source
	peers  *burdocktransport.Peers
	whom   func() []string
	log    *zap.Logger
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// NewPuller returns a puller that asks the addresses that whom returns.
func NewPuller(view *burdockconfig.View, source *Source, peers *burdocktransport.Peers, whom func() []string, log *zap.Logger) *Puller {
	return &Puller{view: view, source: source, peers: peers, whom: whom, log: log}
}

// Start begins to pull.
func (p *Puller) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.done.Add(1)
	go p.loop(ctx)
}

// Close ends the pulling.
func (p *Puller) Close() {
	p.cancel()
	p.done.Wait()
}

func (p *Puller) loop(ctx context.Context) {
	defer p.done.Done()
	for ctx.Err() == nil {
		p.once(ctx)
		sleep(ctx, pullEvery/2+rand.N(pullEvery))
	}
}

func (p *Puller) once(ctx context.Context) {
	whom := p.whom()
	if len(whom) == 0 {
		return
	}
	address := whom[rand.IntN(len(whom))]
	if err := p.Pull(ctx, address); err != nil {
		p.log.Debug("peer does not answer", zap.String("peer", address), zap.Error(err))
	}
}

// Pull brings the view up to what the process at address knows.
func (p *Puller) Pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	client := burdockwire.NewPeerServiceClient(p.peers.Client, p.peers.URL(address))
	res, err := client.Sync(ctx, connect.NewRequest(&burdockwire.SyncRequest{Digest: uint64(p.view.Digest())}))
	if err != nil {
		return err
	}
	if res.Msg.GetNeedBuckets() {
		res, err = client.Sync(ctx, connect.NewRequest(&burdockwire.SyncRequest{BucketDigests: p.buckets()}))
		if err != nil {
			return err
		}
	}
	for _, e := range p.view.Merge(fromWire(res.Msg.GetEntries())) {
		p.log.Info("configuration in force", zap.String("key", e.Key), zap.Uint64("version", uint64(e.Version)), zap.String("from", address))
	}
	if p.view.Len() > 0 {
		p.source.fire(burdockcharts.ConfigurationEventReadPeer)
	}
	return nil
}

func (p *Puller) buckets() []uint64 {
	digests := p.view.Buckets()
	buckets := make([]uint64, len(digests))
	for i, d := range digests {
		buckets[i] = uint64(d)
	}
	return buckets
}
