package burdockplace

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// For any order of requests, answers, reports and changes of members: a choice is a
// member that is allowed, one is found whenever one exists, and the request counts
// stay consistent.
func TestPlacerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Config{}, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		now := burdockclock.Second
		var sent []burdockid.Upstream
		any := func(t *rapid.T) burdockid.Upstream {
			return rapid.SampledFrom(testMembers(12)).Draw(t, "upstream").Upstream
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { now += burdockclock.Millis(rapid.IntRange(0, 60_000).Draw(t, "ms")) },
			"members": func(t *rapid.T) {
				// Members change rarely, because building the table is slow.
				if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
					return
				}
				p.SetMembers(now, testMembers(12)[:rapid.IntRange(0, 12).Draw(t, "n")])
			},
			"weight": func(t *rapid.T) {
				p.SetWeight(any(t), rapid.SampledFrom([]float64{0, 0.25, 1}).Draw(t, "weight"))
			},
			"choose": func(t *rapid.T) {
				excluded := any(t)
				req := Request{
					Prefix:  rapid.SliceOfN(rapid.Uint64Range(0, 3), 0, 8).Draw(t, "prefix"),
					Attempt: rapid.IntRange(0, 5).Draw(t, "attempt"),
					Exclude: func(u burdockid.Upstream) bool { return u == excluded },
				}
				choice, ok := p.Choose(now, req)
				if want := hasAllowedMember(p, excluded); ok != want {
					t.Fatalf("Choose found an upstream: %t, want %t", ok, want)
				}
				if ok {
					checkChoice(t, p, choice, excluded)
					p.Sent(now, choice.Upstream, 1)
					sent = append(sent, choice.Upstream)
				}
			},
			"done": func(*rapid.T) {
				if len(sent) > 0 {
					p.Done(now, sent[0], 1)
					sent = sent[1:]
				}
			},
			"report": func(t *rapid.T) {
				p.Report(now, any(t), Report{Running: rapid.IntRange(0, 40).Draw(t, "running"), Slots: 8})
			},
			"": func(*rapid.T) {
				for i := range p.members {
					p.members[i].verify()
				}
			},
		})
	})
}

func hasAllowedMember(p *Placer, excluded burdockid.Upstream) bool {
	for _, m := range p.members {
		if m.weight > 0 && m.upstream != excluded {
			return true
		}
	}
	return false
}

func checkChoice(t *rapid.T, p *Placer, choice Choice, excluded burdockid.Upstream) {
	m := p.lookup(choice.Upstream)
	if m == nil || m.weight == 0 || choice.Upstream == excluded {
		t.Fatalf("chose %q, want a member that is allowed", choice.Upstream)
	}
	if choice.Candidates < 1 || choice.Candidates > maxCandidates {
		t.Fatalf("candidates = %d, want 1 to %d", choice.Candidates, maxCandidates)
	}
}
