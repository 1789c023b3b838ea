package burdockpromise

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
)

const (
	centreModels  = 6 // two in each data centre
	centreCount   = 3
	centreCallers = 9
	centreTokens  = 20
	centreWarmUp  = 4 * time.Second
	centreOutage  = 4 * time.Second
	// centreProbe is the pause between two urgent requests that measure latency.
	centreProbe = 50 * time.Millisecond
	// baselineFactor times the baseline is the highest latency of an urgent request
	// that counts as recovered.
	baselineFactor = 2
	// recoveryProbes is the number of consecutive probes that must meet it.
	recoveryProbes = 10
)

// urgentProbe is the result of one urgent request.
type urgentProbe struct {
	at    time.Time
	took  time.Duration
	whole bool
}

// urgentProbes sends urgent requests one after another.
type urgentProbes struct {
	fleet *burdockprograms.Fleet
	stop  chan struct{}
	done  sync.WaitGroup
	all   []urgentProbe
	sent  []burdockprograms.Sent
}

func startProbes(f *burdockprograms.Fleet) *urgentProbes {
	p := &urgentProbes{fleet: f, stop: make(chan struct{})}
	p.done.Add(1)
	go p.run()
	return p
}

func (p *urgentProbes) run() {
	defer p.done.Done()
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(centreProbe):
		}
		call := burdockprograms.Chat("urgent", 1, true)
		call.Header = map[string]string{"Burdock-Class": "urgent"}
		began := time.Now()
		answer := p.fleet.Send(context.Background(), p.fleet.Entries[0], call)
		p.all = append(p.all, urgentProbe{at: began, took: time.Since(began), whole: answer.WholeStream("urgent", 1)})
		p.sent = append(p.sent, burdockprograms.Sent{Call: call, Prompt: "urgent", Tokens: 1, Answer: answer})
	}
}

func (p *urgentProbes) end() {
	close(p.stop)
	p.done.Wait()
}

// baseline returns the median latency of the probes before an instant.
func (p *urgentProbes) baseline(before time.Time) time.Duration {
	var took []time.Duration
	for _, probe := range p.all {
		if probe.at.Before(before) {
			took = append(took, probe.took)
		}
	}
	slices.Sort(took)
	return took[len(took)/2]
}

// recoveryAfter returns the time from an instant to the first of recoveryProbes
// consecutive probes with latencies near the baseline, and whether there were such.
func (p *urgentProbes) recoveryAfter(at time.Time, baseline time.Duration) (time.Duration, bool) {
	consecutive, since := 0, time.Time{}
	for _, probe := range p.all {
		switch {
		case probe.at.Before(at):
		case !probe.whole || probe.took > baselineFactor*baseline:
			consecutive = 0
		default:
			if consecutive == 0 {
				since = probe.at
			}
			consecutive++
		}
		if consecutive == recoveryProbes {
			return since.Sub(at), true
		}
	}
	return 0, false
}

// outcomes counts requests by outcome.
type outcomes struct{ whole, notRun, unknown int }

// checkOutcomes compares each outcome with the runs that the engines counted: one for
// a whole answer, none for "not run", at most one for an unknown outcome. Each run must
// belong to one of the requests.
func checkOutcomes(t *testing.T, f *burdockprograms.Fleet, sent []burdockprograms.Sent) outcomes {
	t.Helper()
	runs := map[burdockid.Request]int{}
	for _, a := range f.Agents {
		for id, n := range a.Upstream.Runs().Started {
			runs[id] += n
		}
	}
	var e outcomes
	for _, s := range sent {
		id := burdockid.Request(s.Answer.Header.Get("Burdock-Request-Id"))
		n := runs[id]
		delete(runs, id)
		switch {
		case id == "":
			t.Errorf("%s: status %d err %v without a request id, want an answer or an error", s.Prompt, s.Answer.Status, s.Answer.Err)
		case s.Answer.WholeStream(s.Prompt, s.Tokens):
			e.whole++
			if n != 1 {
				t.Errorf("%s whole: got %d runs, want 1", id, n)
			}
		case s.Answer.NotRun():
			e.notRun++
			if n != 0 {
				t.Errorf("%s not run: got %d runs, want 0", id, n)
			}
		default:
			e.unknown++
			if n > 1 {
				t.Errorf("%s unknown: got %d runs, want 1 at most", id, n)
			}
		}
	}
	if len(runs) != 0 {
		t.Errorf("runs without a request: got %d, want none", len(runs))
	}
	return e
}

// outcomeCounts returns the entry's request counts by outcome.
func outcomeCounts(e *burdockprograms.Entry) map[string]int {
	var dump struct {
		Entry struct{ Accounts map[string]int }
	}
	burdockprograms.GetJSON("http://"+e.Admin+"/state", &dump)
	return dump.Entry.Accounts
}

// All agents of a data centre are killed at the same moment under load and restarted at
// the same moment. Each caller must get one whole answer or one correct error: requests that
// ran there have an unknown outcome, those not yet admitted are offered elsewhere. The
// entry's counts must match the engines'. The engines keep running, to count the runs.
func TestDataCentreLostAndBack(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{
		Models: centreModels, Entries: 1, Slots: 4, Step: 5 * time.Millisecond,
	})
	load := f.StartLoad(centreCallers, burdockprograms.StreamedChats(centreTokens))
	probes := startProbes(f)
	time.Sleep(centreWarmUp)
	lost := time.Now()
	for i := 0; i < len(f.Agents); i += centreCount {
		f.Agents[i].Kill()
	}
	time.Sleep(centreOutage)
	back := time.Now()
	for i := 0; i < len(f.Agents); i += centreCount {
		f.StartAgent(t, f.Agents[i])
	}
	f.WaitReady(t)
	time.Sleep(centreOutage)
	sent := load.Stop()
	probes.end()
	sent = append(sent, probes.sent...)
	e := checkOutcomes(t, f, sent)
	if e.whole == 0 || e.unknown+e.notRun > len(sent)/2 {
		t.Errorf("got %+v of %d, want most of them whole", e, len(sent))
	}
	counts := outcomeCounts(f.Entries[0])
	if got, want := counts["answered"], e.whole; got != want {
		t.Errorf("answered, as counted by the entry: got %d, want %d (%v)", got, want, counts)
	}
	total := 0
	for _, n := range counts {
		total += n
	}
	if got, want := total, len(sent); got != want {
		t.Errorf("requests counted by the entry: got %d, want %d (%v)", got, want, counts)
	}
	baseline := probes.baseline(lost)
	afterLoss, recovered := probes.recoveryAfter(lost, baseline)
	afterReturn, recoveredAgain := probes.recoveryAfter(back, baseline)
	t.Logf("requests %d, ended %+v; baseline latency of urgent requests %v, recovered %v after the loss (%v), %v after the return (%v)",
		len(sent), e, baseline, afterLoss, recovered, afterReturn, recoveredAgain)
}
