package burdockdirect

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

func streamRoute(name string, priority int) burdocksite.Route {
	return burdocksite.Route{
		Name: name, Host: "127.0.0.1", Prefix: "/" + name + "/", Timeout: testTimeout, Objective: 200, MaxEventGap: 100, Priority: priority,
		Stream: true, Resumable: true, MaxAttempts: 2, Shares: []burdocksite.Share{{Service: "s", Weight: 1}},
	}
}

func mixedConfig(routes ...burdocksite.Route) *burdocksite.Config {
	return &burdocksite.Config{Routes: routes, Services: map[burdockid.Service]burdocksite.Service{
		"s": {Name: "s", Engine: &burdocksite.Engine{Slots: 4, StepsPerEvent: 4, BaseStepMillis: 1}}, "plain": {Name: "plain"},
	}}
}

// A service without requests of mixed urgency must be served exactly as before.
func TestEnginePriorityOnlyForMixedUrgency(t *testing.T) {
	urgent, batch := streamRoute("urgent", 0), streamRoute("batch", 7)
	slower := streamRoute("slower", 0)
	slower.Objective = 1000
	plain := batch
	plain.Shares = []burdocksite.Share{{Service: "plain", Weight: 1}}
	noStream := batch
	noStream.Stream = false
	for name, c := range map[string]struct {
		cfg  *burdocksite.Config
		sent bool
	}{
		"no configuration": {nil, false},
		"one route":        {mixedConfig(batch), false},
		"equal routes":     {mixedConfig(urgent, urgent), false},
		"other service":    {mixedConfig(urgent, plain), false},
		"no stream":        {mixedConfig(urgent, noStream), false},
		"priorities":       {mixedConfig(urgent, batch), true},
		"objectives":       {mixedConfig(urgent, slower), true},
	} {
		got := enginePriority(c.cfg, "s", SharedAdmissionAuto, 7)
		if (got != nil) != c.sent || got != nil && *got != 7 {
			t.Errorf("%s: got %v, want sent %t", name, got, c.sent)
		}
	}
	if got := enginePriority(mixedConfig(plain, urgent), "plain", SharedAdmissionAuto, 7); got != nil {
		t.Errorf("plain service: got %d, want none", *got)
	}
	for class, want := range map[burdockqueue.Class]int{-1: 0, 0: 0, 9: 9, 40: 9} {
		if got := enginePriority(mixedConfig(urgent, batch), "s", SharedAdmissionAuto, class); *got != want {
			t.Errorf("class %d: got %d, want %d", class, *got, want)
		}
	}
}

// A priority of the caller's own would take the slots of more urgent callers.
func TestOfferStatesThePriority(t *testing.T) {
	u := newUpstream(t, answerOK)
	f := startFixture(t)
	f.site.SetConfig(*mixedConfig(streamRoute("urgent", 0), streamRoute("batch", 7)))
	f.put(u)
	for path, want := range map[string]string{"/urgent/": "0", "/batch/": "7"} {
		f.send(t, t.Context(), path, map[string]string{"X-Priority": "3"})
		u.mu.Lock()
		got := u.runs[len(u.runs)-1].Header.Get("X-Priority")
		u.mu.Unlock()
		if got != want {
			t.Errorf("priority of %s: got %q, want %q", path, got, want)
		}
	}
}
