package burdockconfigproof

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/standin/burdockfakestore"
	"burdockbend.example/burdockbend/internal/standin/burdockfault"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdocksync"
	"github.com/anishathalye/porcupine"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

const (
	historyOperators = 5
	historyEdits     = 8
	historyWatchers  = 3
	historyFollowers = 2
	historyLimit     = time.Minute
)

var historyKeys = []string{"profile/bench", "profile/statements"}

// outcome is the reported outcome of an operation.
type outcome string

const (
	readDone    outcome = "read"
	applied     outcome = "applied"
	lostRace    outcome = "race"
	unknown     outcome = "unknown"
	nothingDone outcome = "nothing" // no answer to the read before the write
)

// opInput is one operation of an operator on one key.
type opInput struct {
	key   string
	write bool
	base  burdockid.Version
	value string
}

// register is the state of one key, as stored or as an operation returned it.
type register struct {
	version burdockid.Version
	value   string
}

type opOutput struct {
	outcome outcome
	register
}

// registerModel models each key as a register: an accepted write replaces exactly the
// version that it is based on, and is never lost. A write with unknown outcome may take
// effect at any time after its call, or never.
var registerModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		return step(state.(register), input.(opInput), output.(opOutput))
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

func step(s register, in opInput, out opOutput) (bool, register) {
	written := register{version: in.base + 1, value: in.value}
	switch out.outcome {
	case readDone:
		return out.register == s, s
	case applied:
		return s.version == in.base && out.version == written.version, written
	case lostRace:
		return s.version != in.base, s
	default: // unknown; a write that never took effect can be ordered last
		if s.version == in.base {
			return true, written
		}
		return true, s
	}
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := map[string][]porcupine.Operation{}
	for _, op := range history {
		key := op.Input.(opInput).key
		byKey[key] = append(byKey[key], op)
	}
	var parts [][]porcupine.Operation
	for _, key := range historyKeys {
		parts = append(parts, byKey[key])
	}
	return parts
}

// faultyStore is a store that is slow at times and loses answers: before the write takes
// effect, after it, or with the write delayed.
type faultyStore struct {
	burdockstore.Store
	mu     sync.Mutex
	random *rand.Rand
	late   sync.WaitGroup
}

// percent returns a random number from 0 to 99.
func (s *faultyStore) percent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(100)
}

var errLost = burdockstore.ErrUnavailable.New("answer lost")

// Get implements burdockstore.Store.
func (s *faultyStore) Get(ctx context.Context, key string) (burdockstore.Entry, error) {
	if s.percent() < 15 {
		return burdockstore.Entry{}, errLost
	}
	return s.Store.Get(ctx, key)
}

// List implements burdockstore.Store.
func (s *faultyStore) List(ctx context.Context, prefix string) ([]burdockstore.Entry, burdockstore.Revision, error) {
	if s.percent() < 15 {
		return nil, 0, errLost
	}
	return s.Store.List(ctx, prefix)
}

// CompareAndSwap implements burdockstore.Store.
func (s *faultyStore) CompareAndSwap(ctx context.Context, key string, old burdockstore.Revision, value []byte) (burdockstore.Revision, error) {
	switch n := s.percent(); {
	case n < 20:
		return 0, errLost
	case n < 45:
		_, _ = s.Store.CompareAndSwap(ctx, key, old, value)
		return 0, errLost
	case n < 60:
		s.late.Add(1)
		go s.run(key, old, value, time.Duration(s.percent())*15*time.Millisecond)
		return 0, errLost
	case n < 75:
		time.Sleep(time.Duration(s.percent()) * time.Millisecond)
	}
	return s.Store.CompareAndSwap(ctx, key, old, value)
}

// run carries out a write after a delay.
func (s *faultyStore) run(key string, old burdockstore.Revision, value []byte, delay time.Duration) {
	defer s.late.Done()
	time.Sleep(delay)
	_, _ = s.Store.CompareAndSwap(context.Background(), key, old, value)
}

// editWriter writes the edits of operators.
type editWriter interface {
	Write(context.Context, burdocksync.Edit) (burdockconfig.Entry, error)
}

// marklessWriter is a faulty writer whose entries carry no mark of their writer, so it takes
// each conflict for another operator's edit.
type marklessWriter struct{ store burdockstore.Store }

// Write implements editWriter.
func (m marklessWriter) Write(ctx context.Context, edit burdocksync.Edit) (burdockconfig.Entry, error) {
	current, revision, err := burdocksync.Read(ctx, m.store, edit.Key)
	if err != nil {
		return current, err
	}
	if current.Version != edit.Base {
		return current, burdocksync.ErrRace.New("version %d", current.Version)
	}
	next := burdockconfig.Entry{Key: edit.Key, Version: current.Version + 1, Value: edit.Value}
	value, err := burdockconfig.Encode(next)
	if err != nil {
		return current, err
	}
	for range 6 {
		_, err = m.store.CompareAndSwap(ctx, burdockconfig.StorePrefix+edit.Key, revision, value)
		switch {
		case err == nil:
			return next, nil
		case errorx.IsOfType(err, burdockstore.ErrConflict):
			return current, burdocksync.ErrRace.New("conflict")
		}
		time.Sleep(100 * time.Millisecond)
	}
	return current, burdocksync.ErrOutcomeUnknown.Wrap(err, "no answer")
}

// history is one run of operators and processes against one store.
type history struct {
	began    time.Time
	server   *burdockfakestore.Server
	injector *burdockfault.Injector
	store    burdockstore.Store // only with the injector's faults
	faulty   *faultyStore
	writer   editWriter
	views    []*recordedView
	watchers []*burdocksync.Watcher

	mu  sync.Mutex
	ops []porcupine.Operation
}

// recordedView is the view of a process, with all entries that were ever in force in it.
type recordedView struct {
	view *burdockconfig.View
	mu   sync.Mutex
	seen map[string][]burdockconfig.Entry
}

func newRecordedView() *recordedView {
	v := &recordedView{view: burdockconfig.NewView(), seen: map[string][]burdockconfig.Entry{}}
	v.view.Subscribe(v.record)
	return v
}

func (v *recordedView) record(entries []burdockconfig.Entry, _ burdockconfig.Digest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range entries {
		v.seen[e.Key] = append(v.seen[e.Key], e)
	}
}

// pull merges the entries of another view, as processes do over the network.
func (v *recordedView) pull(from *recordedView) {
	if news, known := from.view.Since(v.view.Digest()); known {
		v.view.Merge(news)
		return
	}
	v.view.Merge(from.view.Differing(v.view.Buckets()))
}

func newHistory(t *testing.T, seed uint64) *history {
	t.Helper()
	clock := burdockclock.System()
	h := &history{began: time.Now(), server: burdockfakestore.New(clock)}
	h.injector = burdockfault.NewInjector(h.server)
	web := httptest.NewServer(h.injector)
	t.Cleanup(web.Close)
	h.store = burdockstore.NewHTTP([]string{strings.TrimPrefix(web.URL, "http://")})
	h.faulty = &faultyStore{Store: h.store, random: rand.New(rand.NewPCG(seed, 1))}
	h.writer = burdocksync.NewWriter(h.faulty)
	for range historyWatchers + historyFollowers {
		h.views = append(h.views, newRecordedView())
	}
	for _, v := range h.views[:historyWatchers] {
		w := burdocksync.NewWatcher(h.faulty, v.view, burdocksync.NewSource(clock), clock, zap.NewNop())
		w.Start()
		h.watchers = append(h.watchers, w)
	}
	return h
}

func (h *history) now() int64 { return int64(time.Since(h.began)) }

func (h *history) add(client int, in opInput, call int64, out opOutput) {
	op := porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: h.now()}
	if out.outcome == unknown {
		op.Return = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

// operator repeatedly reads a key and edits it.
type operator struct {
	history *history
	number  int
	random  *rand.Rand
	done    *sync.WaitGroup
}

func (o *operator) run() {
	defer o.done.Done()
	for i := range historyEdits {
		key := historyKeys[o.random.IntN(len(historyKeys))]
		if base, ok := o.read(key); ok {
			o.write(key, base, fmt.Sprintf("operator %d edit %d", o.number, i))
		}
	}
}

func (o *operator) read(key string) (burdockid.Version, bool) {
	call := o.history.now()
	e, _, err := burdocksync.Read(context.Background(), o.history.faulty, key)
	if err != nil {
		return 0, false
	}
	o.history.add(o.number, opInput{key: key}, call, opOutput{readDone, register{e.Version, string(e.Value)}})
	return e.Version, true
}

func (o *operator) write(key string, base burdockid.Version, value string) {
	in := opInput{key: key, write: true, base: base, value: value}
	call := o.history.now()
	e, err := o.history.writer.Write(context.Background(), burdocksync.Edit{Key: key, Value: []byte(value), Base: base})
	if out := outcomeOf(err); out != nothingDone {
		o.history.add(o.number, in, call, opOutput{out, register{e.Version, value}})
	}
}

func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return applied
	case errorx.IsOfType(err, burdocksync.ErrRace):
		return lostRace
	case errorx.IsOfType(err, burdocksync.ErrOutcomeUnknown):
		return unknown
	default:
		return nothingDone
	}
}

// faultScheduler changes the faults of the store at random, and lets views pull from
// each other.
type faultScheduler struct {
	history *history
	random  *rand.Rand
	// restores also resets the store to older states.
	restores bool
	stop     chan struct{}
	done     chan struct{}
}

func (c *faultScheduler) run() {
	defer close(c.done)
	defer c.history.injector.Set(burdockfault.Setting{})
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(20+c.random.IntN(80)) * time.Millisecond):
		}
		c.applyRandomFault()
	}
}

func (c *faultScheduler) applyRandomFault() {
	views := c.history.views
	views[c.random.IntN(len(views))].pull(views[c.random.IntN(len(views))])
	switch n := c.random.IntN(40); {
	case n == 0:
		c.history.injector.Set(burdockfault.Setting{Mode: burdockfault.Down})
	case n == 1:
		c.history.injector.Set(burdockfault.Setting{DelayMillis: 100})
	case n == 2 && c.restores:
		c.history.server.Restore()
	case n == 3 && c.restores:
		c.history.server.Snapshot()
	case n < 10:
		c.history.injector.Set(burdockfault.Setting{})
	}
}

// execute runs all operators under faults and waits until the processes hold the same
// as the store.
func (h *history) execute(t *testing.T, seed uint64, restores bool) {
	t.Helper()
	c := &faultScheduler{history: h, random: rand.New(rand.NewPCG(seed, 2)), restores: restores, stop: make(chan struct{}), done: make(chan struct{})}
	go c.run()
	var done sync.WaitGroup
	done.Add(historyOperators)
	for i := range historyOperators {
		go (&operator{history: h, number: i, random: rand.New(rand.NewPCG(seed, uint64(10+i))), done: &done}).run()
	}
	done.Wait()
	h.faulty.late.Wait()
	close(c.stop)
	<-c.done
	h.waitConverged(t)
	for _, w := range h.watchers {
		w.Close()
	}
}

// waitConverged waits until the store and all views hold the same.
func (h *history) waitConverged(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(historyLimit)
	for !h.converged() {
		if time.Now().After(deadline) {
			t.Fatalf("the store and all views did not converge within %v", historyLimit)
		}
		for _, v := range h.views {
			v.pull(h.views[0])
		}
		time.Sleep(pollPause)
	}
}

func (h *history) converged() bool {
	stored, _, err := h.store.List(context.Background(), burdockconfig.StorePrefix)
	if err != nil {
		return false
	}
	whole := burdockconfig.NewView()
	for _, s := range stored {
		e, err := burdockconfig.Decode(s)
		if err != nil {
			return false
		}
		whole.Merge([]burdockconfig.Entry{e})
	}
	for _, v := range h.views {
		if v.view.Digest() != whole.Digest() {
			return false
		}
	}
	return true
}

// count returns the number of operations with an outcome.
func (h *history) count(want outcome) int {
	n := 0
	for _, op := range h.ops {
		if op.Output.(opOutput).outcome == want {
			n++
		}
	}
	return n
}

func (h *history) check() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(registerModel, h.ops, historyLimit)
}

// checkForward checks that no view went back to an older version. With oneValue it also
// checks that all views saw the same value for each version, that it is the accepted one,
// and that no accepted version is missing in the end.
func (h *history) checkForward(t *testing.T, oneValue bool) {
	t.Helper()
	type place struct {
		key     string
		version burdockid.Version
	}
	values := map[place]string{}
	for i, v := range h.views {
		for key, seen := range v.seen {
			for n, e := range seen {
				if n > 0 && (e.Version < seen[n-1].Version || oneValue && e.Version == seen[n-1].Version) {
					t.Errorf("view %d went from version %d to %d of %s", i, seen[n-1].Version, e.Version, key)
				}
				at := place{key, e.Version}
				if other, ok := values[at]; ok && oneValue && other != string(e.Value) {
					t.Errorf("%s version %d: got %q and %q", key, e.Version, other, e.Value)
				}
				values[at] = string(e.Value)
			}
		}
	}
	for _, op := range h.ops {
		in, out := op.Input.(opInput), op.Output.(opOutput)
		if value, ok := values[place{in.key, out.version}]; oneValue && out.outcome == applied && ok && value != in.value {
			t.Errorf("%s version %d: in force %q, accepted %q", in.key, out.version, value, in.value)
		}
		if last, _ := h.views[0].view.Get(in.key); oneValue && out.outcome == applied && last.Version < out.version {
			t.Errorf("%s: version %d in the end, version %d was accepted", in.key, last.Version, out.version)
		}
	}
}

// Five operators edit two profiles while a third of the store's answers are lost, before or
// after the effect or with the effect delayed, and the store is slow and down at times. The
// reported outcomes must be linearizable without losing an accepted edit, and no process may
// go back to an older version.
func TestHistoriesFitOneOrder(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			h := newHistory(t, seed)
			h.execute(t, seed, false)
			if got := h.check(); got != porcupine.Ok {
				t.Errorf("history: got %s, want %s", got, porcupine.Ok)
			}
			h.checkForward(t, true)
			t.Logf("reads %d, applied %d, races %d, unknown %d", h.count(readDone), h.count(applied), h.count(lostRace), h.count(unknown))
		})
	}
}

// Like TestHistoriesFitOneOrder, but the writer sets no marks, so it reports an edit whose
// answer was lost as a lost race against itself. The check must detect it.
func TestCheckFindsWriterWithoutMarks(t *testing.T) {
	t.Parallel()
	found := 0
	for seed := uint64(1); seed <= 2; seed++ {
		h := newHistory(t, seed)
		h.writer = marklessWriter{store: h.faulty}
		h.execute(t, seed, false)
		if h.check() == porcupine.Illegal {
			found++
		}
	}
	if found == 0 {
		t.Error("the check accepted every history of a writer without marks")
	}
}

// Like TestHistoriesFitOneOrder, but the store also restarts from older states and loses
// accepted edits. No process may go back, and in the end the store and all processes must
// hold the same.
func TestRestartsFromOlderStates(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			h := newHistory(t, seed)
			h.execute(t, seed, true)
			h.checkForward(t, false)
		})
	}
}
