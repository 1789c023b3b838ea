package burdockhostedproof

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"burdockbend.example/burdockbend/platform/burdockfakeplatform"
)

// The bound on the requests from one entry to an upstream that has refused it and asked for a
// pause, from pauseSlack after the refusal to the end of the pause.
const (
	maxInPause = 2
	pauseSlack = 500 * time.Millisecond
)

// Guards against requests to an upstream that has asked the entry for a pause.
func TestPauseThatAnUpstreamAsksForIsKept(t *testing.T) {
	s := startSite(t, 3, 4, nil)
	l := s.startLoad(12, *seedFlag)
	s.replicas[0].AskForPause(2500 * time.Millisecond)
	s.replicas[1].AskForPause(1300 * time.Millisecond)
	time.Sleep(8 * time.Second)
	replies := l.stop()
	check(t, *seedFlag, replies)
	for i := range 2 {
		checkPauses(t, s.replicas[i], "replica-"+strconv.Itoa(i), replies, nil)
	}
}

// Guards against pauses and leaving upstreams that are forgotten while entries are slow, freeze,
// are killed and stopped, and the configuration changes.
func TestFaultsKeepPausesAndLeaving(t *testing.T) {
	s := startSite(t, 4, 4, nil)
	l := s.startLoad(12, *seedFlag)
	f := newFaults(t, s)
	p := &pauser{replicas: s.replicas[:2], random: rand.New(rand.NewPCG(*seedFlag, 2)), stop: make(chan struct{})}
	p.done.Add(1)
	go p.run()
	f.injectFor(*timeFlag / 2)
	s.replicas[2].Leave()
	f.injectFor(*timeFlag / 2)
	close(p.stop)
	p.done.Wait()
	replies := l.stop()
	check(t, *seedFlag, replies)
	t.Logf("faults: %v", f.counts)
	for i := range p.replicas {
		checkPauses(t, s.replicas[i], "replica-"+strconv.Itoa(i), replies, f.disturbed)
	}
	checkLeaving(t, s.replicas[2], "replica-2", replies, f.disturbed)
}

// pauser makes replicas refuse and ask for pauses at random times.
type pauser struct {
	replicas []*burdockfakeplatform.Replica
	random   *rand.Rand
	stop     chan struct{}
	done     sync.WaitGroup
}

func (p *pauser) run() {
	defer p.done.Done()
	for {
		for _, r := range p.replicas {
			r.AskForPause(time.Duration(p.random.IntN(4)) * 900 * time.Millisecond)
		}
		select {
		case <-p.stop:
			return
		case <-time.After(time.Duration(500+p.random.IntN(2500)) * time.Millisecond):
		}
	}
}

// checkPauses fails the test for each entry that sent a replica too many requests in one of
// the pauses that it had asked for. A pause in which the entry was disturbed doesn't count.
func checkPauses(t *testing.T, replica *burdockfakeplatform.Replica, id string, replies []reply, disturbed map[string][]time.Time) {
	t.Helper()
	entryOf := map[string]string{}
	for _, r := range replies {
		entryOf[r.id] = r.entry
	}
	byEntry := map[string][]burdockfakeplatform.Arrival{}
	for _, a := range replica.Arrivals() {
		byEntry[entryOf[a.ID]] = append(byEntry[entryOf[a.ID]], a)
	}
	for entry, arrivals := range byEntry {
		most := 0
		for i, refused := range arrivals {
			end := refused.At.Add(refused.Pause)
			if refused.Pause == 0 || anyBetween(disturbed[entry], refused.At, end) {
				continue
			}
			in := 0
			for _, later := range arrivals[i+1:] {
				if later.At.After(refused.At.Add(pauseSlack)) && later.At.Before(end) {
					in++
				}
			}
			most = max(most, in)
		}
		t.Logf("%s from %s: %d requests, at most %d in one pause", id, entry, len(arrivals), most)
		if most > maxInPause {
			t.Errorf("seed %d: requests of %s to %s in a pause: got %d, want %d at most", *seedFlag, entry, id, most, maxInPause)
		}
	}
}

// anyBetween reports whether any of the times lies between two others.
func anyBetween(times []time.Time, from, to time.Time) bool {
	for _, at := range times {
		if !at.Before(from) && !at.After(to) {
			return true
		}
	}
	return false
}
