package burdockload

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/standin/burdockfakeengine"
	"github.com/joomcode/errorx"
)

func testConfig() Config {
	return Config{
		Rate: 200, Duration: 300 * time.Millisecond, Seed: 7, Tokens: 3, StreamTokens: 1000, Model: "m",
		PlainPath: "/licence/17", Mix: Mix{Streamed: 1, Whole: 1, Plain: 1}, Timeout: 10 * time.Second,
	}
}

func scheduledCalls(cfg Config) []call {
	var calls []call
	s := newSchedule(cfg)
	for c, ok := s.next(); ok; c, ok = s.next() {
		calls = append(calls, c)
	}
	return calls
}

func TestScheduleFollowsRateMixAndSeed(t *testing.T) {
	cfg := testConfig()
	cfg.Duration = time.Minute
	calls := scheduledCalls(cfg)
	if got, want := float64(len(calls)), cfg.Rate*cfg.Duration.Seconds(); math.Abs(got-want) > 0.05*want {
		t.Errorf("calls in a minute: got %v, want about %v", got, want)
	}
	kinds := map[kind]int{}
	for _, c := range calls {
		kinds[c.kind]++
	}
	for k, n := range kinds {
		if got, want := float64(n), float64(len(calls))/3; math.Abs(got-want) > 0.1*want {
			t.Errorf("calls of kind %v: got %v, want about %v", k, got, want)
		}
	}
	again := scheduledCalls(cfg)
	if got, want := fmt.Sprint(again), fmt.Sprint(calls); got != want {
		t.Error("the same seed gave a different schedule")
	}
	cfg.Requests = 10
	if got, want := len(scheduledCalls(cfg)), 10; got != want {
		t.Errorf("calls limited by Requests: got %d, want %d", got, want)
	}
}

// The counts of caller and engine agree: each call of the schedule reaches the engine
// once and is reported as answered.
func TestRunSendsItsScheduleOnce(t *testing.T) {
	engine := burdockfakeengine.New(burdockfakeengine.Config{})
	server := httptest.NewServer(engine)
	defer server.Close()
	cfg := testConfig()
	result, err := Run(context.Background(), cfg, server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := result.Answered, len(scheduledCalls(cfg)); got != want {
		t.Errorf("answered: got %d, want %d; failures %v", got, want, result.Failures)
	}
	if got, want := engine.Runs().Finished, len(scheduledCalls(cfg)); got != want {
		t.Errorf("finished at the engine: got %d, want %d", got, want)
	}
	if got, want := result.Tokens, result.FirstToken.TotalCount()*int64(cfg.Tokens); got != want {
		t.Errorf("tokens: got %d, want %d", got, want)
	}
	if got, want := result.BetweenTokens.TotalCount(), result.Tokens-result.FirstToken.TotalCount(); got != want {
		t.Errorf("gaps: got %d, want %d", got, want)
	}
}

// A call can be refused, get no answer, or get an answer that breaks off. The three
// must stay distinct: only a refusal states that nothing was run.
func TestEndingsAreDistinguished(t *testing.T) {
	cases := map[string]struct {
		answer func(http.ResponseWriter)
		want   ending
	}{
		"refused": {func(w http.ResponseWriter) {
			w.Header().Set("Burdock-Not-Run", "true")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"error":{"code":"busy"}}`)
		}, endingRefused},
		"unknown": {func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadGateway) }, endingUnknown},
		"closed":  {func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, endingUnknown},
		"cut": {func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, "data: {}\n\n")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, endingCut},
		"error event": {func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, "data: {\"error\":{\"code\":\"answerCut\"}}\n\n")
		}, endingCut},
		"no end mark": {func(w http.ResponseWriter) { _, _ = io.WriteString(w, "data: {}\n\n") }, endingCut},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { tc.answer(w) }))
			defer server.Close()
			c := newClient(testConfig(), server.Listener.Addr().String())
			defer c.close()
			if got := c.send(context.Background(), call{kind: kindStreamed}, time.Now()).ending; got != tc.want {
				t.Errorf("ending: got %v, want %v", got, tc.want)
			}
		})
	}
}

func TestStreamsStayOpenUntilRunEnds(t *testing.T) {
	engine := burdockfakeengine.New(burdockfakeengine.Config{Step: time.Millisecond})
	server := httptest.NewServer(engine)
	defer server.Close()
	cfg := testConfig()
	cfg.Rate, cfg.Streams = 0, 5
	result, err := Run(context.Background(), cfg, server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := result.Answered, cfg.Streams; got != want {
		t.Errorf("streams: got %d, want %d; failures %v", got, want, result.Failures)
	}
	if result.Tokens == 0 {
		t.Error("the streams returned no tokens")
	}
}

func TestCommandRefusesBadArguments(t *testing.T) {
	for _, args := range []string{"", "10.0.0.7:80", "localhost:80", "-mix streamed=x 127.0.0.1:1", "-mix none=1 127.0.0.1:1",
		"-rate 1e9 127.0.0.1:1", "-duration 100h 127.0.0.1:1", "-compare 10.0.0.7:80 127.0.0.1:1", "-turns 0 127.0.0.1:1"} {
		err := Command(io.Discard).ParseAndRun(context.Background(), strings.Fields(args))
		if !errorx.IsOfType(err, errorx.IllegalArgument) {
			t.Errorf("burdock load %s: got error %v, want IllegalArgument", args, err)
		}
	}
}

func TestCompareSendsSameCallsToBoth(t *testing.T) {
	var out bytes.Buffer
	var engines []*burdockfakeengine.Server
	args := []string{"-rate", "100", "-duration", "200ms", "-turns", "2", "-tokens", "2"}
	for _, flag := range []string{"-compare", ""} {
		engine := burdockfakeengine.New(burdockfakeengine.Config{})
		server := httptest.NewServer(engine)
		defer server.Close()
		engines = append(engines, engine)
		if flag != "" {
			args = append(args, flag)
		}
		args = append(args, server.Listener.Addr().String())
	}
	if err := Command(&out).ParseAndRun(context.Background(), args); err != nil && !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	if got, want := engines[0].Runs().Finished, engines[1].Runs().Finished; got != want || got == 0 {
		t.Errorf("finished calls: got %d and %d, want equal and above 0", got, want)
	}
	if !strings.Contains(out.String(), " over ") {
		t.Errorf("no ratios in:\n%s", out.String())
	}
}
