package burdocksync

import (
	"context"
	"math/rand/v2"
	"slices"
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
	// stayPulls is how many pulls a staying puller makes of one process before
	// it draws another, within 12 seconds. An entry that is cut off from the
	// store and from all other entries may still answer, and be told by its own
	// agents that it is verified. Those who stay with it hear of an edit late:
	// it has to reach them within the 18 seconds of the design, and before the
	// 30 seconds after which a removed home's slots get new homes.
	stayPulls = 4
)

// Puller asks other processes, one at a time, for configuration that this
// process lacks.
type Puller struct {
	view   *burdockconfig.View
	source *Source
	peers  *burdocktransport.Peers
	whom   func() []string
	log    *zap.Logger
	nudge  chan struct{}
	cancel context.CancelFunc
	done   sync.WaitGroup

	stays bool
	// current is the process that a staying puller asks; "" to draw one.
	current string
	asked   int // pulls of current
}

// NewPuller returns a puller that asks the addresses that whom returns, drawn
// anew for each pull: an edit then spreads among those that ask each other.
func NewPuller(view *burdockconfig.View, source *Source, peers *burdocktransport.Peers, whom func() []string, log *zap.Logger) *Puller {
	return &Puller{view: view, source: source, peers: peers, whom: whom, log: log, nudge: make(chan struct{}, 1)}
}

// NewStickyPuller returns a puller that stays with the address it has drawn
// while that process answers and is verified.
//
// Load: 3,800 agents pull of 350 entries. Harm prevented: a connection that is
// used again within minutes is closed before, so that each pull would cost a
// handshake of mutual TLS, 3.8 KB and a millisecond of processor time. One in
// four does. Those that stay must not ask each other, or an edit might not reach them all.
func NewStickyPuller(view *burdockconfig.View, source *Source, peers *burdocktransport.Peers, whom func() []string, log *zap.Logger) *Puller {
	p := NewPuller(view, source, peers, whom, log)
	p.stays = true
	return p
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

// ObserveDigest takes in the digest that came with a message of another process. One
// that differs leads to a pull soon, so that an edit spreads with the traffic.
func (p *Puller) ObserveDigest(digest burdockconfig.Digest) {
	if digest == p.view.Digest() {
		return
	}
	select {
	case p.nudge <- struct{}{}:
	default: // it is on its way already
	}
}

func (p *Puller) once(ctx context.Context) {
	address, ok := p.choose(p.whom())
	if !ok {
		return
	}
	verified, err := p.pull(ctx, address)
	if err != nil {
		p.log.Debug("peer does not answer", zap.String("peer", address), zap.Error(err))
	}
	if err != nil || !verified {
		p.current = "" // cut off, or gone: others may know more
	}
}

// choose returns the process to ask now. One that has left the configuration
// is not stayed with.
func (p *Puller) choose(whom []string) (string, bool) {
	if len(whom) == 0 {
		return "", false
	}
	if !p.stays || p.asked >= stayPulls || !slices.Contains(whom, p.current) {
		p.current, p.asked = whom[rand.IntN(len(whom))], 0
	}
	p.asked++
	return p.current, true
}

// pull brings the view up to what the process at address knows, and reports
// whether that process knows that it is not cut off.
func (p *Puller) pull(ctx context.Context, address string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	client := burdockwire.NewPeerServiceClient(p.peers.Client, p.peers.URL(address), burdocktransport.ClientOptions()...)
	res, err := client.Sync(ctx, connect.NewRequest(&burdockwire.SyncRequest{Digest: uint64(p.view.Digest()), Verified: p.source.Verified()}))
	if err != nil {
		return false, err
	}
	if res.Msg.GetNeedBuckets() {
		res, err = client.Sync(ctx, connect.NewRequest(&burdockwire.SyncRequest{BucketDigests: toNumbers(p.view.Buckets())}))
		if err != nil {
			return false, err
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
	return res.Msg.GetVerified(), p.giveBack(ctx, client, res.Msg)
}

// giveBack tells a process what it was seen to lack.
//
// Failure: an agent writes the home of a key, and the store goes out before any
// watcher has read it. Symptom: entries ask only each other and the store, so
// what one agent knows reaches nobody for as long as the outage lasts, and the
// key's requests are led to a home that was given up.
func (p *Puller) giveBack(ctx context.Context, client burdockwire.PeerServiceClient, answer *burdockwire.SyncResponse) error {
	if len(answer.GetBucketDigests()) == 0 || answer.GetDigest() == uint64(p.view.Digest()) {
		return nil
	}
	entries := p.view.Differing(digestsOf(answer.GetBucketDigests()))
	_, err := client.Sync(ctx, connect.NewRequest(&burdockwire.SyncRequest{Digest: uint64(p.view.Digest()), Entries: toWire(entries)}))
	return err
}
