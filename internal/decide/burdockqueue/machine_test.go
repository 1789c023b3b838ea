package burdockqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// model is what a caller knows: each request is in at most one of the sets,
// and ends exactly once.
type model struct {
	queued, running map[burdockid.Request]bool
	offered, ended  int
}

func (m *model) apply(t *rapid.T, events []Event) {
	for _, e := range events {
		switch e := e.(type) {
		case Started:
			if !m.queued[e.ID] {
				t.Fatalf("Started{%s}, want only queued work started", e.ID)
			}
			delete(m.queued, e.ID)
			m.running[e.ID] = true
		case Dropped:
			if !m.queued[e.ID] {
				t.Fatalf("Dropped{%s}, want only queued work dropped", e.ID)
			}
			if e.Reason == ReasonNone || e.RetryAfter <= 0 {
				t.Fatalf("Dropped = %+v, want a reason and a time to come back", e)
			}
			delete(m.queued, e.ID)
			m.ended++
		}
	}
}

func drawConfig(t *rapid.T) Config {
	classes := rapid.IntRange(1, 3).Draw(t, "classes")
	cfg := Config{
		Slots:       rapid.IntRange(0, 5).Draw(t, "slots"),
		MaxQueued:   rapid.IntRange(0, 30).Draw(t, "maxQueued"),
		InitialRate: rapid.SampledFrom([]float64{0, 10, 1000}).Draw(t, "rate"),
		Shares:      map[burdockid.Customer]float64{"a": 1, "b": 5, "c": 0.1, "d": 0},
	}
	for i := range classes {
		cfg.Classes = append(cfg.Classes, ClassConfig{
			Name:          fmt.Sprint(i),
			MaxStarvation: rapid.SampledFrom([]burdockclock.Millis{0, 1, 500}).Draw(t, "starvation"),
			MaxWait:       rapid.SampledFrom([]burdockclock.Millis{0, 100, 5000}).Draw(t, "wait"),
			KeptSlots:     rapid.IntRange(0, 3).Draw(t, "kept"),
		})
	}
	return cfg
}

func drawWork(t *rapid.T, now burdockclock.Millis, n int) Work {
	w := Work{
		ID:       burdockid.Request(fmt.Sprint("r", n)),
		Customer: burdockid.Customer(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "customer")),
		Class:    Class(rapid.IntRange(-1, 3).Draw(t, "class")),
		Cost:     burdockid.Tokens(rapid.SampledFrom([]int{-1, 0, 1, 30, 400, 9000}).Draw(t, "cost")),
	}
	if rapid.Bool().Draw(t, "hasDeadline") {
		w.Deadline = now + burdockclock.Millis(rapid.IntRange(-10, 10000).Draw(t, "deadline"))
	}
	return w
}

// Any order of offers, ends, cancels, waits, new profiles and the start of a
// stop, under any profile. The caller must see each request end once and no
// event for work that it does not have queued; the queue's own invariants are
// asserted after each step.
func TestAnyOrderOfCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := burdockclock.Millis(1000)
		q := New(drawConfig(t), rand.New(rand.NewPCG(1, 2)))
		m := model{queued: map[burdockid.Request]bool{}, running: map[burdockid.Request]bool{}}
		pickOf := func(set map[burdockid.Request]bool) burdockid.Request {
			for n := range m.offered {
				id := burdockid.Request(fmt.Sprint("r", (n*7+m.offered)%m.offered))
				if set[id] {
					return id
				}
			}
			return "unknown"
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				w := drawWork(t, now, m.offered)
				m.offered++
				switch d := q.Offer(now, w).(type) {
				case Start:
					m.running[w.ID] = true
				case Wait:
					m.queued[w.ID] = true
				case Refuse:
					m.ended++
					if d.Reason == ReasonNone || d.RetryAfter <= 0 {
						t.Fatalf("Refuse = %+v, want a reason and a time to come back", d)
					}
				}
			},
			"finish": func(t *rapid.T) {
				id := pickOf(m.running)
				q.Finish(now, id, burdockid.Tokens(rapid.IntRange(0, 12000).Draw(t, "served")))
				if m.running[id] {
					delete(m.running, id)
					m.ended++
				}
			},
			"cancel": func(t *rapid.T) {
				id := pickOf(rapid.SampledFrom([]map[burdockid.Request]bool{m.queued, m.running}).Draw(t, "set"))
				q.Cancel(now, id)
				if m.running[id] || m.queued[id] {
					m.ended++
				}
				delete(m.running, id)
				delete(m.queued, id)
			},
			"wake": func(t *rapid.T) {
				if at, ok := q.WakeAt(); ok {
					now = max(now, at)
				}
			},
			"pass": func(t *rapid.T) { now += burdockclock.Millis(rapid.IntRange(0, 3000).Draw(t, "span")) },
			"setBack": func(t *rapid.T) {
				m.apply(t, q.Next(now-500))
			},
			"reconfigure": func(t *rapid.T) {
				before := q.Load()
				q.Reconfigure(now, drawConfig(t))
				if got, want := q.Load().Queued, before.Queued; got != want {
					t.Fatalf("Queued after Reconfigure = %d, want %d", got, want)
				}
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "really") == 0 {
					q.Drain(now)
				}
			},
			"": func(t *rapid.T) {
				m.apply(t, q.Next(now))
				q.Check()
				load := q.Load()
				if load.Queued != len(m.queued) || load.Running != len(m.running) {
					t.Fatalf("Load() = %+v, want %d queued and %d running", load, len(m.queued), len(m.running))
				}
				if got, want := m.offered, m.ended+len(m.queued)+len(m.running); got != want {
					t.Fatalf("offered = %d, want %d", got, want)
				}
				if at, ok := q.WakeAt(); ok && at <= now-500 {
					t.Fatalf("WakeAt() = %d at %d, want later", at, now)
				}
			},
		})
	})
}
