package burdockagent

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/state/burdockowner"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
	"github.com/anishathalye/porcupine"
)

var (
	historySeeds    = flag.Int("histories", 2, "number of seeds of TestKeyHistories")
	historyDuration = flag.Duration("historyTime", 2*time.Second, "minimum duration of the calls for each seed")
)

const (
	historyCallers = 8
	historyKeys    = 6
	// repeatPeriod is how long callers repeat a key. It is well within the window that
	// the ledger assumes.
	repeatPeriod = burdockledger.RepeatWindow / 10
	checkTimeout = time.Minute
	callTimeout  = 5 * time.Second
	callPause    = 10 // maximum in milliseconds
	// maxExtension and maxExtendedOperations bound how long a history goes on after its minimum
	// duration until each result of coveredResults has occurred. A busy machine makes a
	// dozen calls that run in two seconds, of which one in ten loses its answer.
	maxExtension          = time.Minute
	maxExtendedOperations = 10_000
	coveragePoll          = 10 * time.Millisecond
)

// Checks that each key runs at most once, that all its answers are the same and that
// "not run" is true. Callers repeat keys, with the same request and with a different one,
// at several agents in parallel. Meanwhile agents are killed and replaced without their
// records or stopped as planned, messages between agents arrive late or twice, and the
// store executes writes but loses the replies.
func TestKeyHistories(t *testing.T) {
	for seed := range uint64(*historySeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			h := recordHistory(t, seed, keepRecords)
			if result := h.check(); result != porcupine.Ok {
				t.Errorf("check of %d operations: got %v, want %v", len(h.operations), result, porcupine.Ok)
			}
			h.checkNotRun(t)
			h.checkCoverage(t)
		})
	}
}

// Checks that TestKeyHistories can fail: if agents drop the records that are handed over
// to them, the check finds a key that ran twice.
func TestKeyHistoriesDetectLostRecords(t *testing.T) {
	const seeds = 20
	for seed := range uint64(seeds) {
		if recordHistory(t, seed, dropRecords).check() == porcupine.Illegal {
			return
		}
	}
	t.Errorf("got %d legal histories although records were dropped, want an illegal one", seeds)
}

// callResult is the result of a call with a key, or a run at the engine.
type callResult int

const (
	resultRun        callResult = iota // the engine started to run it
	resultAnswered                     // the call got the answer of a run
	resultAnswerGone                   // it ran, but its answer is no longer kept
	resultNotRun
	resultKeyReused
	resultUnknown
)

// coveredResults are the results that each history must contain, because the checks depend
// on them.
var coveredResults = []callResult{resultRun, resultAnswered, resultNotRun, resultKeyReused, resultUnknown}

// keyedCall is the input of an operation: a call with a key, or a run.
type keyedCall struct {
	key  string
	body string
	id   burdockid.Request
}

// callOutcome is the output of an operation. Run is the number of the run, which the
// engine assigned.
type callOutcome struct {
	result callResult
	run    int
}

// keyState is the state of one key in the model.
type keyState struct {
	run  int // 0: it has not run
	body string
}

// keyModel is the sequential model of one key. The results "not run" and "unknown" don't
// change the state, because a run is an operation of its own that the engine records.
var keyModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		s, call, out := state.(keyState), input.(keyedCall), output.(callOutcome)
		switch out.result {
		case resultRun:
			return s.run == 0, keyState{run: out.run, body: call.body}
		case resultAnswered:
			return s.run == out.run && s.body == call.body, s
		case resultAnswerGone:
			return s.run != 0 && s.body == call.body, s
		case resultKeyReused:
			return s.run == 0 || s.body != call.body, s
		default:
			return true, s
		}
	},
}

func partitionByKey(operations []porcupine.Operation) [][]porcupine.Operation {
	parts := map[string][]porcupine.Operation{}
	for _, op := range operations {
		key := op.Input.(keyedCall).key
		parts[key] = append(parts[key], op)
	}
	var list [][]porcupine.Operation
	for _, part := range parts {
		list = append(list, part)
	}
	return list
}

// history records operations with timestamps from one counter.
type history struct {
	mu         sync.Mutex
	counter    int64
	runs       int
	operations []porcupine.Operation
}

func (h *history) nextTime() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counter++
	return h.counter
}

// recordRun records a run of the engine and returns its number.
func (h *history) recordRun(call keyedCall) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs++
	h.counter++
	h.operations = append(h.operations, porcupine.Operation{
		Input: call, Call: h.counter, Output: callOutcome{result: resultRun, run: h.runs}, Return: h.counter,
	})
	return h.runs
}

func (h *history) recordCall(caller int, call keyedCall, at int64, out callOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counter++
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: caller, Input: call, Call: at, Output: out, Return: h.counter,
	})
}

// counts returns the number of operations by result.
func (h *history) counts() map[callResult]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := map[callResult]int{}
	for _, op := range h.operations {
		counts[op.Output.(callOutcome).result]++
	}
	return counts
}

// missingResults returns the results that the checks depend on and that have not occurred.
func (h *history) missingResults() []callResult {
	counts := h.counts()
	return slices.DeleteFunc(slices.Clone(coveredResults), func(r callResult) bool { return counts[r] > 0 })
}

// size returns the number of operations.
func (h *history) size() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.operations)
}

// endWhenCovered ends the calls once they have lasted for historyDuration and each result
// that the checks depend on has occurred. How many calls fit into a time depends on the
// machine.
func (h *history) endWhenCovered(end context.CancelFunc) {
	defer end()
	time.Sleep(*historyDuration)
	deadline, maxSize := time.Now().Add(maxExtension), h.size()+maxExtendedOperations
	for len(h.missingResults()) > 0 && time.Now().Before(deadline) && h.size() < maxSize {
		time.Sleep(coveragePoll)
	}
}

func (h *history) check() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(keyModel, h.operations, checkTimeout)
}

// checkNotRun checks that no request with the result "not run" ran, at any time.
func (h *history) checkNotRun(t *testing.T) {
	t.Helper()
	ran := map[burdockid.Request]bool{}
	for _, op := range h.operations {
		if op.Output.(callOutcome).result == resultRun {
			ran[op.Input.(keyedCall).id] = true
		}
	}
	for _, op := range h.operations {
		call := op.Input.(keyedCall)
		if op.Output.(callOutcome).result == resultNotRun && ran[call.id] {
			t.Errorf("%s of key %s: got not run, but it ran", call.id, call.key)
		}
	}
}

// checkCoverage logs the number of operations by result, and fails if a result that the
// checks depend on never occurred.
func (h *history) checkCoverage(t *testing.T) {
	t.Helper()
	counts := h.counts()
	t.Logf("runs %d, answered %d, ran %d, not run %d, reused %d, unknown %d",
		counts[resultRun], counts[resultAnswered], counts[resultAnswerGone], counts[resultNotRun], counts[resultKeyReused], counts[resultUnknown])
	for _, missing := range h.missingResults() {
		t.Errorf("result %d: got none, want some", missing)
	}
}

// keyCaller makes calls with keys until its context ends.
type keyCaller struct {
	number  int
	cluster *cluster
	history *history
	random  *rand.Rand
}

func (c *keyCaller) run(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	for n := 0; ctx.Err() == nil; n++ {
		c.callOnce(burdockid.Request(fmt.Sprint("caller ", c.number, " call ", n)))
		time.Sleep(time.Duration(c.random.IntN(callPause)) * time.Millisecond)
	}
}

// callOnce makes and records one call.
func (c *keyCaller) callOnce(id burdockid.Request) {
	c.cluster.calls.RLock()
	defer c.cluster.calls.RUnlock()
	call := keyedCall{
		key:  c.cluster.key(c.random.IntN(historyKeys)),
		body: fmt.Sprintf(`"letter %d"`, c.random.IntN(4)/3), // one in four has a different body
		id:   id,
	}
	at := c.history.nextTime()
	c.history.recordCall(c.number, call, at, c.send(call))
}

// send offers a call to the owner of its key, or sometimes to any agent, as an entry with
// an outdated configuration does.
func (c *keyCaller) send(call keyedCall) callOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	target := c.cluster.members[c.random.IntN(len(c.cluster.members))]
	slot := burdockledger.SlotOf(burdockledger.KeyOf(historyCustomer, burdockid.IdempotencyKey(call.key)))
	owners := target.fleet().Now().KeyOwners[historyService]
	for _, m := range c.cluster.members {
		if c.random.IntN(8) > 0 && owners[slot].Upstream == m.name {
			target = m
		}
	}
	stream, err := target.client.Run(ctx, connect.NewRequest(&burdockwire.RunRequest{
		RequestId: string(call.id), Upstream: string(target.name), Customer: historyCustomer,
		IdempotencyKey: call.key, Method: http.MethodPost, Path: "/letters", Body: []byte(call.body),
		Headers:    []*burdockwire.Header{{Name: "Idempotency-Key", Value: call.key}},
		CostTokens: 1,
	}))
	if err != nil {
		return callOutcome{result: resultUnknown}
	}
	defer func() { _ = stream.Close() }()
	return readOutcome(stream)
}

func readOutcome(stream *connect.ServerStreamForClient[burdockwire.RunEvent]) callOutcome {
	var body []byte
	for stream.Receive() {
		switch e := stream.Msg().GetEvent().(type) {
		case *burdockwire.RunEvent_Chunk:
			body = append(body, e.Chunk.GetData()...)
		case *burdockwire.RunEvent_End:
			var run int
			if json.Unmarshal(body, &run) != nil {
				run = -1 // no run has this number
			}
			return callOutcome{result: resultAnswered, run: run}
		case *burdockwire.RunEvent_Refused:
			if e.Refused.GetReason() == burdockwire.RefusedReason_REFUSED_REASON_KEY_REUSED {
				return callOutcome{result: resultKeyReused}
			}
			return callOutcome{result: resultNotRun}
		case *burdockwire.RunEvent_Cut:
			if e.Cut.GetReason() == burdockwire.CutReason_CUT_REASON_ANSWER_GONE {
				return callOutcome{result: resultAnswerGone}
			}
		}
	}
	return callOutcome{result: resultUnknown}
}

// recordHistory records the calls of several callers at a cluster under faults.
func recordHistory(t *testing.T, seed uint64, handover handoverMode) *history {
	t.Helper()
	h := &history{}
	c := startCluster(t, seed, handover, h)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.endWhenCovered(cancel)
	var done sync.WaitGroup
	for i := range historyCallers {
		done.Add(1)
		go (&keyCaller{number: i, cluster: c, history: h, random: rand.New(rand.NewPCG(seed, uint64(i)))}).run(ctx, &done)
	}
	c.injectFaults(ctx)
	done.Wait()
	c.close()
	return h
}

// allSlotsOwned reports whether every slot has an owner.
func allSlotsOwned(owners burdockowner.Owners) bool { return len(owners) == burdockledger.SlotCount }
