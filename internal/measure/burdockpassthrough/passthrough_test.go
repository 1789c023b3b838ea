package burdockpassthrough

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/standin/burdockfakeengine"
)

func TestForwardsStreamUnchanged(t *testing.T) {
	engine := httptest.NewServer(burdockfakeengine.New(burdockfakeengine.Config{}))
	defer engine.Close()
	hop := httptest.NewServer(NewHandler(engine.Listener.Addr().String()))
	defer hop.Close()
	var bodies []string
	for _, base := range []string{engine.URL, hop.URL} {
		res, err := http.Post(base+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"m","stream":true,"messages":[]}`))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		bodies = append(bodies, describe(res, body))
	}
	if got, want := bodies[1], bodies[0]; got != want {
		t.Errorf("through the hop: got %q, want %q", got, want)
	}
}

func describe(res *http.Response, body []byte) string {
	return res.Status + " " + res.Header.Get("Content-Type") + " " + string(body)
}

func TestAbortedAnswerIsAborted(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer engine.Close()
	hop := httptest.NewServer(NewHandler(engine.Listener.Addr().String()))
	defer hop.Close()
	res, err := http.Get(hop.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if body, err := io.ReadAll(res.Body); err == nil {
		t.Errorf("an aborted answer was forwarded as complete: %q", body)
	}
}
