package burdockcharts

import (
	"fmt"
	"io/fs"
	"testing"

	"github.com/joomcode/errorx"

	"burdockbend.example/burdockbend/internal/state/burdockchart"
)

func TestAllChartsLoad(t *testing.T) {
	checks := map[string]error{}
	_, checks["request.chart"] = loadFrom("request.chart", requestStates, requestEvents)
	_, checks["upstream.chart"] = loadFrom("upstream.chart", upstreamStates, upstreamEvents)
	_, checks["stop.chart"] = loadFrom("stop.chart", stopStates, stopEvents)
	_, checks["configuration.chart"] = loadFrom("configuration.chart", configurationStates, configurationEvents)
	names, err := fs.Glob(files, "*.chart")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		err, tried := checks[name]
		if !tried {
			t.Errorf("%s: no machine is made from it", name)
		}
		if err != nil {
			t.Errorf("%s:\n%v", name, err)
		}
	}
}

// A caller was told "not run", sent the letter again and got it twice: the
// agent had written the first one to the upstream, then lost the connection
// and refused. Once handed over, a request must not end as refused.
func TestRequestHandedOverIsNeverRefused(t *testing.T) {
	var walk func(m RequestMachine, handedOver bool, depth int)
	walk = func(m RequestMachine, handedOver bool, depth int) {
		if handedOver && m.State() == RequestRefused {
			t.Fatal("a request was refused after it was handed over")
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
	const longest = 8
	walk(NewRequest(), false, longest)
}

// An entry sent new work to an upstream that had said it was leaving, since
// the membership list lagged and probes still passed. Leaving has no way back.
func TestLeavingUpstreamOnlyGoes(t *testing.T) {
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
