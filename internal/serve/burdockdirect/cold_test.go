package burdockdirect

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdocksharedrate"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// coldService configures a fixture's service with a rate for cold upstreams.
func (f *fixture) coldService(rate float64) {
	cfg := *f.site.Now().Config
	cfg.Version++
	cfg.Services = map[burdockid.Service]burdocksite.Service{"s": {Name: "s", ColdRate: rate}}
	f.site.SetConfig(cfg)
}

// chosen returns how many of n requests at the same instant are placed on an upstream.
func (p *pool) chosen(f *fixture, n int, u burdockid.Upstream) int {
	found := 0
	route := &f.site.Now().Config.Routes[1]
	for range n {
		if target, _, ok := p.choose(f.entry.now(), &request{route: route}, nil, ""); ok && target.ID == u {
			found++
		}
	}
	return found
}

// An upstream that has just started looks idle, and placement prefers it. More requests
// than it accepts while it is cold crash it; the rest must go to the others.
func TestColdUpstreamGetsItsRate(t *testing.T) {
	f := newFixture(t, testTimeout)
	f.coldService(10)
	f.entry.SetEntries(burdocksharedrate.Listing{All: []burdockid.VM{"a", "b", "c", "d"}, Self: "a"})
	p := f.entry.pool("s")
	f.site.PutUpstream(burdocksite.Upstream{ID: "warm", Service: "s", Address: "10.0.0.1:80"})
	f.site.PutUpstream(burdocksite.Upstream{ID: "cold", Service: "s", Address: "10.0.0.2:80", ColdFor: 60_000})
	if got, most := p.chosen(f, 100, "cold"), 2; got > most {
		t.Errorf("requests at once to a cold upstream: got %d of 100, want %d at most", got, most)
	}
	f.site.PutUpstream(burdocksite.Upstream{ID: "cold", Service: "s", Address: "10.0.0.2:80", ColdFor: 0, StartedAt: 7})
	f.site.DropUpstream("cold")
	f.site.PutUpstream(burdocksite.Upstream{ID: "cold", Service: "s", Address: "10.0.0.2:80"})
	if got, least := p.chosen(f, 100, "cold"), 20; got < least {
		t.Errorf("requests once it is warm: got %d of 100, want %d at least", got, least)
	}
}

// All upstreams are cold and have had their requests. Another one can't be served, and its
// caller must be told at once.
func TestAllColdIsRefused(t *testing.T) {
	f := newFixture(t, testTimeout)
	f.coldService(1)
	p := f.entry.pool("s")
	f.site.PutUpstream(burdocksite.Upstream{ID: "cold", Service: "s", Address: "10.0.0.2:80", ColdFor: 60_000})
	if got, most := p.chosen(f, 20, "cold"), 1; got > most {
		t.Errorf("requests at once: got %d of 20, want %d at most", got, most)
	}
}
