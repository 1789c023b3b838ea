package burdockqueue

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// model is the state that a caller can derive: each request is in at most one of the sets
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
				t.Fatalf("Started{%s}, want only queued requests started", e.ID)
			}
			delete(m.queued, e.ID)
			m.running[e.ID] = true
		case Dropped:
			if !m.queued[e.ID] {
				t.Fatalf("Dropped{%s}, want only queued requests dropped", e.ID)
			}
			if e.Reason == ReasonNone || e.RetryAfter <= 0 {
				t.Fatalf("Dropped = %+v, want a reason and a RetryAfter", e)
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
		Shares:      map[burdockid.Customer]float64{"a": 1, "b": 5, "c": 0.1, "d": 0, "f": math.NaN(), "g": math.Inf(1)},
	}
	for i := range classes {
		cfg.Classes = append(cfg.Classes, ClassConfig{
			Name:          fmt.Sprint(i),
			MaxStarvation: rapid.SampledFrom([]burdockclock.Millis{0, 1, 500}).Draw(t, "starvation"),
			MaxWait:       rapid.SampledFrom([]burdockclock.Millis{0, 100, 5000}).Draw(t, "wait"),
			ReservedSlots: rapid.IntRange(0, 3).Draw(t, "kept"),
			MaxRunning:    rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "maxRunning"),
			NewestFirst:   rapid.Bool().Draw(t, "newestFirst"),
		})
	}
	return cfg
}

func drawWork(t *rapid.T, now burdockclock.Millis, n int) Request {
	req := Request{
		ID:       burdockid.Request(fmt.Sprint("r", n)),
		Customer: burdockid.Customer(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g"}).Draw(t, "customer")),
		Class:    Class(rapid.IntRange(-1, 3).Draw(t, "class")),
		Cost:     burdockid.Tokens(rapid.SampledFrom([]int{-1, 0, 1, 30, 400, 9000, math.MaxInt64}).Draw(t, "cost")),
	}
	if rapid.Bool().Draw(t, "hasDeadline") {
		req.Deadline = now + burdockclock.Millis(rapid.IntRange(-10, 10000).Draw(t, "deadline"))
	}
	return req
}

// Runs random sequences of offers, finishes, cancels, delays, reconfigurations and drains
// under random configurations. Each request must end exactly once, and events must refer
// to queued requests only. The queue's invariants are checked after each step.
func TestRandomCallSequences(t *testing.T) {
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
				req := drawWork(t, now, m.offered)
				m.offered++
				switch d := q.Offer(now, req).(type) {
				case Start:
					m.running[req.ID] = true
				case Wait:
					m.queued[req.ID] = true
				case Refuse:
					m.ended++
					if d.Reason == ReasonNone || d.RetryAfter <= 0 {
						t.Fatalf("Refuse = %+v, want a reason and a RetryAfter", d)
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
				before := q.State().Now
				m.apply(t, q.Dispatch(now-500))
				if got := q.State().Now; got < before {
					t.Fatalf("Now = %d after %d, want it not to go back", got, before)
				}
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
				m.apply(t, q.Dispatch(now))
				q.CheckInvariants()
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

// Customers stay backlogged, with random shares, costs and estimation errors. Whatever ends
// first, the service over share of two customers must not differ by more than the sum of
// their bounds.
func TestSharesWhileBacklogged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []burdockid.Customer{"a", "b", "c"}
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		cfg := Config{Slots: slots, MaxQueued: 1000, Shares: map[burdockid.Customer]float64{}}
		for _, name := range names {
			cfg.Shares[name] = rapid.SampledFrom([]float64{0.5, 1, 3}).Draw(t, "share")
		}
		q := New(cfg, rand.New(rand.NewPCG(1, 2)))
		now, n := burdockclock.Millis(1000), 0
		requests := map[burdockid.Request]Request{}
		// service is the tokens served to ended requests plus the cost of running ones.
		service := map[burdockid.Customer]float64{}
		var running []Request
		greatest := 1.0
		offer := func(name burdockid.Customer) {
			n++
			req := Request{ID: burdockid.Request(fmt.Sprint(n)), Customer: name, Cost: burdockid.Tokens(rapid.IntRange(1, 500).Draw(t, "cost"))}
			requests[req.ID] = req
			greatest = max(greatest, float64(req.Cost))
			if _, ok := q.Offer(now, req).(Start); ok {
				running = append(running, req)
			}
		}
		for range slots {
			offer("other")
		}
		for range 60 {
			now += 10
			for _, name := range names {
				if f := q.classes[0].flows[name]; f == nil || f.queued < 2 {
					offer(name)
				}
			}
			i := rapid.IntRange(0, len(running)-1).Draw(t, "ends")
			ended := running[i]
			served := burdockid.Tokens(rapid.IntRange(0, 1000).Draw(t, "served"))
			greatest = max(greatest, float64(served))
			service[ended.Customer] += float64(served - ended.Cost)
			running = append(running[:i], running[i+1:]...)
			q.Finish(now, ended.ID, served)
			for _, e := range q.Dispatch(now) {
				req := requests[e.(Started).ID]
				running = append(running, req)
				service[req.Customer] += float64(req.Cost)
			}
			q.CheckInvariants()
			bound := float64(slots) * greatest
			for i, a := range names {
				for _, b := range names[:i] {
					got := math.Abs(service[a]/cfg.Shares[a] - service[b]/cfg.Shares[b])
					if want := bound/cfg.Shares[a] + bound/cfg.Shares[b]; got > want {
						t.Fatalf("customers %s and %s differ by %.0f tokens over share, want at most %.0f", a, b, got, want)
					}
				}
			}
		}
	})
}
