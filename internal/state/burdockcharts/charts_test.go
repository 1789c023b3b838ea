package burdockcharts

import (
	"fmt"
	"io/fs"
	"testing"

	"github.com/joomcode/errorx"

	"burdockbend.example/burdockbend/internal/state/burdockchart"
)

func TestAllChartsLoad(t *testing.T) {
	errs := map[string]error{}
	_, errs["request.chart"] = loadFrom("request.chart", requestStates, requestEvents)
	_, errs["upstream.chart"] = loadFrom("upstream.chart", upstreamStates, upstreamEvents)
	_, errs["stop.chart"] = loadFrom("stop.chart", stopStates, stopEvents)
	_, errs["configuration.chart"] = loadFrom("configuration.chart", configurationStates, configurationEvents)
	names, err := fs.Glob(files, "*.chart")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		err, loaded := errs[name]
		if !loaded {
			t.Errorf("%s: no machine uses this chart", name)
		}
		if err != nil {
			t.Errorf("%s:\n%v", name, err)
		}
	}
}

// Guards against running a request twice: the agent writes it to the upstream, loses
// the connection and refuses it, so the caller gets "not run" and sends it again. After
// the handover a request must not end as refused.
func TestHandedOverRequestIsNeverRefused(t *testing.T) {
	var walk func(m RequestMachine, handedOver bool, depth int)
	walk = func(m RequestMachine, handedOver bool, depth int) {
		if handedOver && m.State() == RequestRefused {
			t.Fatal("a request was refused after the handover")
		}
		if m.Final() || depth == 0 {
			return
		}
		for _, event := range requestEvents {
			next := m
			if moved, err := next.Fire(event); moved && err == nil {
				walk(next, handedOver || event == RequestEventHandOver, depth-1)
			}
		}
	}
	const maxDepth = 8
	walk(NewRequest(), false, maxDepth)
}

// Guards against sending new requests to an upstream that is leaving. The membership
// list may lag behind and probes may still pass, so no event leads back from leaving.
func TestLeavingUpstreamNeverReturns(t *testing.T) {
	for _, event := range upstreamEvents {
		m := NewUpstream()
		if _, err := m.Fire(UpstreamEventLeave); err != nil {
			t.Fatal(err)
		}
		if _, err := m.Fire(event); err != nil {
			t.Fatal(err)
		}
		if got := m.State(); got != UpstreamLeaving && got != UpstreamGone {
			t.Errorf("after leave and %s: got %s, want leaving or gone", event, got)
		}
	}
}

func ExampleNewRequest() {
	m := NewRequest()
	for _, event := range []RequestEvent{RequestEventEnqueue, RequestEventStart, RequestEventHandOver} {
		if _, err := m.Fire(event); err != nil {
			fmt.Println(err)
		}
	}
	_, err := m.Fire(RequestEventRefuse)
	fmt.Println(m.State(), errorx.IsOfType(err, burdockchart.NotAllowed))
	// Output: handedOver true
}

func BenchmarkRequest(b *testing.B) {
	b.ReportAllocs()
	path := []RequestEvent{
		RequestEventEnqueue, RequestEventStart, RequestEventHandOver, RequestEventAnswerBegins, RequestEventAnswerEnds,
	}
	for b.Loop() {
		m := NewRequest()
		for _, event := range path {
			if _, err := m.Fire(event); err != nil {
				b.Fatal(err)
			}
		}
	}
}
