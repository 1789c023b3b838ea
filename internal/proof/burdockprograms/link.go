package burdockprograms

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/standin/burdockstandin"
)

// Link is a stand-in for the network between the entries and one agent.
type Link struct {
	*Process
	Address string
	control string
}

func (f *Fleet) link(t testing.TB, target string) *Link {
	t.Helper()
	p, line := start(t, "link", f.program(standinProgram), true, "-kind", "link", "-target", target)
	address, control, _ := strings.Cut(line, " ")
	return &Link{Process: p, Address: address, control: control}
}

// Set sets the link's mode.
func (l *Link) Set(t testing.TB, mode burdockstandin.LinkMode) {
	t.Helper()
	body, err := json.Marshal(mode)
	if err != nil {
		t.Fatalf("encode mode: %v", err)
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+l.control+"/link", bytes.NewReader(body))
	if err != nil {
		t.Fatalf("build request: %v", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatalf("set the link: %v", err)
	}
	_ = res.Body.Close()
}
