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
	// nudgeEvery bounds how often traffic can lead to a pull: while an edit
	// spreads, every message differs.
	nudgeEvery = 200 * burdockclock.Millis(1)
)

// Puller asks other processes, one at a time and at random, for configuration
// that this process lacks.
type Puller struct {
	view   *burdockconfig.View
	source *Source
	peers  *burdocktransport.Peers
	whom   func() []string
	log    *zap.Logger
	nudge  chan struct{}
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// NewPuller returns a puller that asks the addresses that whom returns.
func NewPuller(view *burdockconfig.View, source *Source, peers *burdocktransport.Peers, whom func() []string, log *zap.Logger) *Puller {
	return &Puller{view: view, source: source, peers: peers, whom: whom, log: log, nudge: make(chan struct{}, 1)}
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
		p.wait(ctx)
	}
}

// wait waits for the next pull, or for news that there is something to pull.
func (p *Puller) wait(ctx context.Context) {
	sleep(ctx, nudgeEvery)
	timer := time.NewTimer((pullEvery/2 + rand.N(pullEvery) - nudgeEvery).Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.nudge:
	case <-ctx.Done():
	}
}

// Heard takes in the digest that came with a message of another process. One
// that differs leads to a pull soon, so that an edit spreads with the traffic.
func (p *Puller) Heard(digest burdockconfig.Digest) {
	if digest == p.view.Digest() {
		return
	}
	select {
	case p.nudge <- struct{}{}:
	default: // it is on its way already
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
	client := burdockwire.NewPeerServiceClient(p.peers.Client, p.peers.URL(address), burdocktransport.ClientOptions()...)
	res, err := client.Sync(ctx, connect.NewRequest(&burdockwire.SyncRequest{Digest: uint64(p.view.Digest()), Verified: p.source.Verified()}))
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
	if res.Msg.GetVerified() {
		p.source.verify()
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
