package burdockqueuelab

import (
	"bytes"
	"context"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockgolden"
)

// testConfig holds the command's defaults, for a shorter time.
func testConfig(scenario string, seed uint64) config {
	return config{
		scenario: scenario, seed: seed, slots: 16, rate: 3556, knee: 1,
		duration: 3 * burdockclock.Minute, maxQueued: 256, estimateError: 0.3,
		kept: 2, starvation: 5 * burdockclock.Second, maxAttempts: 4,
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
	return s.part(s.inTime)
}

func goodput(r *result) float64 {
	return r.ofCapacity(r.summarise(everyone).goodTokens)
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

// checkSeeds runs one scenario through the queue under three seeds. Nobody may
// be left without an answer until they hang up, whatever the load.
func checkSeeds(t *testing.T, scenario string, check func(r *result)) {
	t.Helper()
	for seed := uint64(1); seed <= 3; seed++ {
		r := runScenario(t, testConfig(scenario, seed), fair{})
		all := r.summarise(everyone)
		atMost(t, "hung up untold, %", all.part(all.untold), 0)
		check(r)
	}
}

// Callers ask for twice what the engine can serve, without end. Urgent callers
// must get their answers in time and the engine must not spend its slots on
// answers that come too late.
func TestSaturation(t *testing.T) {
	checkSeeds(t, "saturation", func(r *result) {
		atLeast(t, "urgent in time, %", urgentInTime(r), 99)
		atLeast(t, "goodput, % of capacity", goodput(r), 95)
	})
}

// One customer sends 20 times its share, together 1.5 times what the engine
// can serve. What the others ask for is within their shares, so they must not
// notice; the one customer gets what is left.
func TestSkew(t *testing.T) {
	checkSeeds(t, "skew", func(r *result) {
		others := r.summarise(func(req *request) bool { return req.work.Customer != r.lab.scenario.hog })
		hog := r.summarise(ofCustomer(r.lab.scenario.hog))
		atLeast(t, "others in time, %", others.part(others.inTime), 97)
		atLeast(t, "urgent in time, %", urgentInTime(r), 99)
		atLeast(t, "goodput, % of capacity", goodput(r), 95)
		atMost(t, "hog's tokens, % of capacity", r.ofCapacity(hog.goodTokens), 50)
	})
}

// Three seconds of three times the capacity meet an engine whose slots are held
// by long requests. Urgent callers must not wait for those to end.
func TestBurst(t *testing.T) {
	checkSeeds(t, "burst", func(r *result) {
		atLeast(t, "urgent in time, %", urgentInTime(r), 99.5)
	})
}

// The engine falls to 0.3 of its rate for a third of the time, so that some
// urgent answers cannot come in time even on an idle engine. The others must,
// and slots must not go to answers that come too late.
func TestSlow(t *testing.T) {
	checkSeeds(t, "slow", func(r *result) {
		all := r.summarise(everyone)
		atLeast(t, "urgent in time, %", urgentInTime(r), 88)
		atMost(t, "work for nobody, % of capacity", r.ofCapacity(all.wastedTokens), 3)
	})
}

// Prompts of 8000 tokens hold four slots for half a minute each; a short urgent
// reply may wait two seconds. It must find a slot, which no order of the queue
// gives: plain priority answers less than half of them in time.
func TestMixed(t *testing.T) {
	checkSeeds(t, "mixed", func(r *result) {
		atLeast(t, "urgent in time, %", urgentInTime(r), 99)
	})
}

// Load is below capacity. The queue must not refuse or delay what an engine
// without it would have served.
func TestSteady(t *testing.T) {
	checkSeeds(t, "steady", func(r *result) {
		all := r.summarise(everyone)
		atLeast(t, "in time, %", all.part(all.inTime), 99.9)
	})
}

// Callers come back all at once after an outage, with a minute of work within
// half a second. The engine must stay busy with work that is of use until the
// backlog is served.
func TestReturn(t *testing.T) {
	checkSeeds(t, "return", func(r *result) {
		all := r.summarise(everyone)
		atMost(t, "work for nobody, % of capacity", r.ofCapacity(all.wastedTokens), 1)
		atLeast(t, "goodput, % of capacity", goodput(r), 88)
	})
}

// The same seed must give the same arrivals to every policy and the same
// figures each time, or the policies could not be compared.
func TestSameSeedSameRun(t *testing.T) {
	cfg := testConfig("burst", 7)
	first := goodput(runScenario(t, cfg, fair{}))
	runScenario(t, cfg, firstCome{})
	if got, want := goodput(runScenario(t, cfg, fair{})), first; got != want {
		t.Errorf("goodput of the second run = %v, want %v", got, want)
	}
}

func TestCommandPrints(t *testing.T) {
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
