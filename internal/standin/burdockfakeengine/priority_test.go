package burdockfakeengine

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/external/burdockengine"
)

// An engine that isn't told the priority of a request runs less urgent ones before it. The
// headers of the call belong to its sender, who may use them for another call.
func TestCallCarriesPriority(t *testing.T) {
	server := New(Config{})
	web := httptest.NewServer(server)
	defer web.Close()
	engine := burdockengine.NewHTTP(strings.TrimPrefix(web.URL, "http://"))
	header := http.Header{}
	for _, priority := range []*int{nil, new(0), new(9), new(9)} {
		answer, err := engine.Do(context.Background(), burdockengine.Call{Method: http.MethodGet, Path: "/", Header: header, Priority: priority})
		if err != nil {
			t.Fatal(err)
		}
		_ = answer.Body.Close()
	}
	if got, want := server.Runs().ByPriority, map[string]int{"0": 1, "9": 2}; !maps.Equal(got, want) {
		t.Errorf("requests by priority: got %v, want %v", got, want)
	}
	if len(header) > 0 {
		t.Errorf("headers of the call: got %v, want none added", header)
	}
}
