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
	centreCentres = 3
	centreCallers = 9
	centreTokens  = 20
	centreBefore  = 4 * time.Second
	centreLost    = 4 * time.Second
	// centreProbe is how often one urgent request is sent to measure how it is
	// answered.
	centreProbe = 50 * time.Millisecond
	// usualFactor is how much slower than before an urgent answer may be to
	// count as answered as before.
	usualFactor = 2
	// steadyProbes in a row must be answered so.
	steadyProbes = 10
)

// urgentProbe is one urgent request and how it was answered.
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

// usual returns the median time of the probes before an instant.
func (p *urgentProbes) usual(before time.Time) time.Duration {
	var took []time.Duration
	for _, probe := range p.all {
		if probe.at.Before(before) {
			took = append(took, probe.took)
		}
	}
	slices.Sort(took)
	return took[len(took)/2]
}

// steadyAfter returns how long after an instant the first of a row of probes
// was sent that were all answered as before, and whether there was one.
func (p *urgentProbes) steadyAfter(at time.Time, usual time.Duration) (time.Duration, bool) {
	row, since := 0, time.Time{}
	for _, probe := range p.all {
		switch {
		case probe.at.Before(at):
		case !probe.whole || probe.took > usualFactor*usual:
			row = 0
		default:
			if row == 0 {
				since = probe.at
			}
			row++
		}
		if row == steadyProbes {
			return since.Sub(at), true
		}
	}
	return 0, false
}

// endings counts how requests ended.
type endings struct{ whole, notRun, unknown int }

// checkEndings compares each ending with what the engines ran: a whole answer
// of one run, "not run" of none, and nothing of more than one. Each run
// belongs to a caller that got one of these.
func checkEndings(t *testing.T, f *burdockprograms.Fleet, sent []burdockprograms.Sent) endings {
	t.Helper()
	runs := map[burdockid.Request]int{}
	for _, a := range f.Agents {
		for id, n := range a.Upstream.Runs().Started {
			runs[id] += n
		}
	}
	var e endings
	for _, s := range sent {
		id := burdockid.Request(s.Answer.Header.Get("Burdock-Request-Id"))
		n := runs[id]
		delete(runs, id)
		switch {
		case id == "":
			t.Errorf("%s: status %d err %v without an id, want an answer or an error", s.Prompt, s.Answer.Status, s.Answer.Err)
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
		t.Errorf("runs of requests that nobody sent: got %d, want none", len(runs))
	}
	return e
}

// accountsOf returns an entry's own accounts.
func accountsOf(e *burdockprograms.Entry) map[string]int {
	var dump struct {
		Entry struct{ Accounts map[string]int }
	}
	burdockprograms.GetJSON("http://"+e.Admin+"/state", &dump)
	return dump.Entry.Accounts
}

// Each caller gets one whole answer or one true error while all agents of a
// data centre are killed at the same moment under load, and come back at the
// same moment. What ran there has an unknown outcome, what was on its way is
// offered elsewhere, and the entry's accounts agree with the engines' counts.
// The engines live on, since nobody else could tell what ran.
func TestDataCentreLostAndBack(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{
		Models: centreModels, Entries: 1, Slots: 4, Step: 5 * time.Millisecond,
	})
	load := f.StartLoad(centreCallers, burdockprograms.StreamedChats(centreTokens))
	probes := startProbes(f)
	time.Sleep(centreBefore)
	lost := time.Now()
	for i := 0; i < len(f.Agents); i += centreCentres {
		f.Agents[i].Kill()
	}
	time.Sleep(centreLost)
	back := time.Now()
	for i := 0; i < len(f.Agents); i += centreCentres {
		f.StartAgent(t, f.Agents[i])
	}
	f.WaitReady(t)
	time.Sleep(centreLost)
	sent := load.Stop()
	probes.end()
	sent = append(sent, probes.sent...)
	e := checkEndings(t, f, sent)
	if e.whole == 0 || e.unknown+e.notRun > len(sent)/2 {
		t.Errorf("got %+v of %d, want most of them whole", e, len(sent))
	}
	accounts := accountsOf(f.Entries[0])
	if got, want := accounts["answered"], e.whole; got != want {
		t.Errorf("answered by the entry's accounts: got %d, want %d (%v)", got, want, accounts)
	}
	total := 0
	for _, n := range accounts {
		total += n
	}
	if got, want := total, len(sent); got != want {
		t.Errorf("requests in the entry's accounts: got %d, want %d (%v)", got, want, accounts)
	}
	usual := probes.usual(lost)
	afterLoss, steady := probes.steadyAfter(lost, usual)
	afterReturn, steadyAgain := probes.steadyAfter(back, usual)
	t.Logf("requests %d, ended %+v; urgent work usually answered in %v, as before %v after the loss (%v), %v after the return (%v)",
		len(sent), e, usual, afterLoss, steady, afterReturn, steadyAgain)
}
