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
	// pullInterval is the mean time between two pulls of a process. With 3,800 agents and
	// 350 entries each entry is asked 5.4 times a second.
	pullInterval = 2 * burdockclock.Second
	pullTimeout  = 2 * time.Second
	// minTriggerInterval is the minimum time between a pull and the next one that is
	// triggered by traffic. While an edit spreads, every message carries a different
	// digest.
	minTriggerInterval = 200 * burdockclock.Millis(1)
	// stickyPulls is how many pulls a sticky puller makes from one process before it
	// chooses another, within 12 seconds. An entry that is partitioned from the store and
	// from all other entries may still answer, and may count as verified because of the
	// agents that ask it. Agents that stay with it receive edits late. An edit has to reach
	// them within the 18 seconds of the design, and before the 30 seconds after which the
	// key slots of a removed upstream get new owners.
	stickyPulls = 4
)

// Puller asks other processes, one at a time, for configuration entries that this process
// lacks.
type Puller struct {
	view      *burdockconfig.View
	source    *Source
	peers     *burdocktransport.Peers
	addresses func() []string
	log       *zap.Logger
	trigger   chan struct{}
	cancel    context.CancelFunc
	done      sync.WaitGroup

	sticky bool
	// current is the address that a sticky puller asks; "" means that it has to choose one.
	current string
	pulls   int // since current was chosen
}

// NewPuller returns a puller that asks a random one of addresses for each pull. Edits then
// spread among processes that ask each other.
func NewPuller(view *burdockconfig.View, source *Source, peers *burdocktransport.Peers, addresses func() []string, log *zap.Logger) *Puller {
	return &Puller{view: view, source: source, peers: peers, addresses: addresses, log: log, trigger: make(chan struct{}, 1)}
}

// NewStickyPuller returns a puller that asks the same process for up to stickyPulls pulls,
// as long as that process answers and is verified.
//
// It is for 3,800 agents that pull from 350 entries. If each pull chose a new entry, idle
// connections would be closed before they are used again minutes later, and each pull
// would cost a mutual TLS handshake: 3.8 KB and a millisecond of processor time. A sticky
// puller pays for one pull in four. Processes with sticky pullers must not ask each other,
// otherwise an edit might not reach all of them.
func NewStickyPuller(view *burdockconfig.View, source *Source, peers *burdocktransport.Peers, addresses func() []string, log *zap.Logger) *Puller {
	p := NewPuller(view, source, peers, addresses, log)
	p.sticky = true
	return p
}

// Start begins to pull in the background.
func (p *Puller) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.done.Add(1)
	go p.loop(ctx)
}

// Close stops pulling and waits for a running pull to end.
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

// wait waits until the next pull is due or triggered, at least minTriggerInterval.
func (p *Puller) wait(ctx context.Context) {
	sleep(ctx, minTriggerInterval)
	timer := time.NewTimer((pullInterval/2 + rand.N(pullInterval) - minTriggerInterval).Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.trigger:
	case <-ctx.Done():
	}
}

// ObserveDigest compares a digest received with another process's message with the local
// one. A different digest triggers a pull, which spreads edits along with the traffic.
func (p *Puller) ObserveDigest(digest burdockconfig.Digest) {
	if digest == p.view.Digest() {
		return
	}
	select {
	case p.trigger <- struct{}{}:
	default: // a pull is already triggered
	}
}

func (p *Puller) once(ctx context.Context) {
	address, ok := p.choose(p.addresses())
	if !ok {
		return
	}
	verified, err := p.pull(ctx, address)
	if err != nil {
		p.log.Debug("peer does not answer", zap.String("peer", address), zap.Error(err))
	}
	if err != nil || !verified {
		p.current = "" // stopped or partitioned: another process may have newer entries
	}
}

// choose returns the address to ask next, and false if there is none. A sticky puller
// keeps the current one while it is among addresses.
func (p *Puller) choose(addresses []string) (string, bool) {
	if len(addresses) == 0 {
		return "", false
	}
	if !p.sticky || p.pulls >= stickyPulls || !slices.Contains(addresses, p.current) {
		p.current, p.pulls = addresses[rand.IntN(len(addresses))], 0
	}
	p.pulls++
	return p.current, true
}

// pull merges the entries of the process at address into the view, and reports whether
// that process is verified; see Source.Verified.
func (p *Puller) pull(ctx context.Context, address string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	client := burdockwire.NewPeerServiceClient(p.peers.Client, p.peers.URL(address), burdocktransport.ClientOptions()...)
	res, err := client.Sync(ctx, connect.NewRequest(&burdockwire.SyncRequest{Digest: uint64(p.view.Digest()), Verified: p.source.Verified()}))
	if err != nil {
		return false, err
	}
	if res.Msg.GetNeedBuckets() {
		res, err = client.Sync(ctx, connect.NewRequest(&burdockwire.SyncRequest{BucketDigests: digestsToWire(p.view.Buckets())}))
		if err != nil {
			return false, err
		}
	}
	for _, e := range p.view.Merge(fromWire(res.Msg.GetEntries())) {
		p.log.Info("configuration in force", zap.String("key", e.Key), zap.Uint64("version", uint64(e.Version)), zap.String("from", address))
	}
	if res.Msg.GetVerified() {
		p.source.markVerified()
	}
	if p.view.Len() > 0 {
		p.source.fire(burdockcharts.ConfigurationEventReadPeer)
	}
	return res.Msg.GetVerified(), p.pushMissing(ctx, client, res.Msg)
}

// pushMissing sends a process the entries that its answer shows it to lack.
//
// An agent may write the owner of a key's slot right before the store fails, when no
// watcher has read it yet. Entries ask only each other and the store, so without this an
// entry known to a single agent spreads to no other process until the outage ends, and
// the key's requests are routed to its former owner.
func (p *Puller) pushMissing(ctx context.Context, client burdockwire.PeerServiceClient, answer *burdockwire.SyncResponse) error {
	if len(answer.GetBucketDigests()) == 0 || answer.GetDigest() == uint64(p.view.Digest()) {
		return nil
	}
	entries := p.view.Differing(digestsFromWire(answer.GetBucketDigests()))
	_, err := client.Sync(ctx, connect.NewRequest(&burdockwire.SyncRequest{Digest: uint64(p.view.Digest()), Entries: toWire(entries)}))
	return err
}
