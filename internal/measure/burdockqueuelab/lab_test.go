package burdockqueuelab

import (
	"bytes"
	"context"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockgolden"
)

// testConfig returns the command's defaults with a shorter duration.
func testConfig(scenario string, seed uint64) config {
	return config{
		scenario: scenario, seed: seed, slots: 16, rate: 3556, knee: 1,
		duration: 3 * burdockclock.Minute, maxQueued: 256, estimateError: 0.3,
		reservedSlots: 2, starvation: 5 * burdockclock.Second, maxAttempts: 4,
	}
}

func runScenario(t *testing.T, cfg config, p policy) *result {
	t.Helper()
	l, err := newLab(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return l.run(p)
}

func urgentInTime(r *result) float64 {
	s := r.summarise(ofClass(0))
	return s.percentOf(s.inTime)
}

func goodput(r *result) float64 {
	return r.percentOfCapacity(r.summarise(allRequests).goodTokens)
}

func atLeast(t *testing.T, what string, got, want float64) {
	t.Helper()
	if got < want {
		t.Errorf("%s = %.2f, want at least %.2f", what, got, want)
	}
}

func atMost(t *testing.T, what string, got, want float64) {
	t.Helper()
	if got > want {
		t.Errorf("%s = %.2f, want at most %.2f", what, got, want)
	}
}

// checkSeeds runs one scenario with burdockqueue under three seeds. Under any load,
// every request must be started or refused before its caller hangs up.
func checkSeeds(t *testing.T, scenario string, check func(r *result)) {
	t.Helper()
	for seed := uint64(1); seed <= 3; seed++ {
		r := runScenario(t, testConfig(scenario, seed), fairQueue{})
		all := r.summarise(allRequests)
		atMost(t, "hung up before an answer or refusal, %", all.percentOf(all.unanswered), 0)
		check(r)
	}
}

// The load is twice the capacity throughout. Urgent requests must be answered in time,
// and the engine must not spend its slots on answers that come too late.
func TestSaturation(t *testing.T) {
	checkSeeds(t, "saturation", func(r *result) {
		atLeast(t, "urgent in time, %", urgentInTime(r), 99)
		atLeast(t, "goodput, % of capacity", goodput(r), 95)
	})
}

// One customer sends 20 times its share, which brings the load to about 1.5 times the
// capacity. The other customers stay within their shares and must not be affected;
// the heavy customer gets the remaining capacity.
func TestSkew(t *testing.T) {
	checkSeeds(t, "skew", func(r *result) {
		others := r.summarise(func(req *request) bool { return req.work.Customer != r.lab.scenario.heavyCustomer })
		heavyCustomer := r.summarise(ofCustomer(r.lab.scenario.heavyCustomer))
		atLeast(t, "others in time, %", others.percentOf(others.inTime), 97)
		atLeast(t, "urgent in time, %", urgentInTime(r), 99)
		atLeast(t, "goodput, % of capacity", goodput(r), 95)
		atMost(t, "heavy customer's tokens, % of capacity", r.percentOfCapacity(heavyCustomer.goodTokens), 50)
	})
}

// Three seconds of three times the capacity hit an engine whose slots are taken by
// long requests. Urgent requests must not wait for these to finish.
func TestBurst(t *testing.T) {
	checkSeeds(t, "burst", func(r *result) {
		atLeast(t, "urgent in time, %", urgentInTime(r), 99.5)
	})
}

// The engine's rate falls to 0.3 for a third of the time. Some urgent answers can't
// finish in time then, even on an idle engine; the others must, and slots must not be
// spent on answers that come too late.
func TestSlow(t *testing.T) {
	checkSeeds(t, "slow", func(r *result) {
		all := r.summarise(allRequests)
		atLeast(t, "urgent in time, %", urgentInTime(r), 88)
		atMost(t, "tokens of interrupted answers, % of capacity", r.percentOfCapacity(all.wastedTokens), 3)
	})
}

// Requests of 8000 tokens take all four slots for half a minute each, and a short
// urgent request must be answered within two seconds. It needs a free slot, which no
// order of the queue provides: plain priority answers less than half of them in time.
func TestMixed(t *testing.T) {
	checkSeeds(t, "mixed", func(r *result) {
		atLeast(t, "urgent in time, %", urgentInTime(r), 99)
	})
}

// The load is below capacity. The queue must not refuse or delay requests that the
// engine can serve in time without it.
func TestSteady(t *testing.T) {
	checkSeeds(t, "steady", func(r *result) {
		all := r.summarise(allRequests)
		atLeast(t, "in time, %", all.percentOf(all.inTime), 99.9)
	})
}

// All callers return after an outage: requests for a minute of the engine's capacity
// arrive within half a second. The engine must stay busy with requests that can
// finish in time until the backlog is served.
func TestReturn(t *testing.T) {
	checkSeeds(t, "return", func(r *result) {
		all := r.summarise(allRequests)
		atMost(t, "tokens of interrupted answers, % of capacity", r.percentOfCapacity(all.wastedTokens), 1)
		atLeast(t, "goodput, % of capacity", goodput(r), 88)
	})
}

// With the same seed, all policies must get the same arrivals and each run must give
// the same figures; otherwise the policies can't be compared.
func TestRunIsReproducible(t *testing.T) {
	cfg := testConfig("burst", 7)
	first := goodput(runScenario(t, cfg, fairQueue{}))
	runScenario(t, cfg, firstCome{})
	if got, want := goodput(runScenario(t, cfg, fairQueue{})), first; got != want {
		t.Errorf("goodput of the second run = %v, want %v", got, want)
	}
}

func TestCommandGolden(t *testing.T) {
	var got bytes.Buffer
	args := []string{"--scenario", "skew", "--seed", "3", "--duration", "30s"}
	if err := Command(&got).ParseAndRun(context.Background(), args); err != nil {
		t.Fatal(err)
	}
	burdockgolden.Compare(t, "skew", got.String())
}

func TestCommandRefusesUnknownScenario(t *testing.T) {
	err := Command(&bytes.Buffer{}).ParseAndRun(context.Background(), []string{"--scenario", "nosuch"})
	if err == nil {
		t.Error("error = nil, want one that names the scenarios")
	}
}
