package burdockpathlab

import (
	"bytes"
	"context"
	"io"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/measure/burdockpassthrough"
	"burdockbend.example/burdockbend/internal/standin/burdockfakeengine"
	"github.com/VictoriaMetrics/metrics"
)

func TestParseMetricsReadsProcessMetrics(t *testing.T) {
	var exported bytes.Buffer
	metrics.WriteProcessMetrics(&exported)
	r, err := parseMetrics(&exported)
	if err != nil {
		t.Fatal(err)
	}
	if r.memory < 1<<20 {
		t.Errorf("resident memory: got %d, want more than a megabyte", r.memory)
	}
	if _, err := parseMetrics(strings.NewReader("process_cpu_seconds_total 1\n")); err == nil {
		t.Error("metrics without resident memory: got no error, want one")
	}
}

// bareHop runs the command of the bare hop, which prints its addresses to w.
type bareHop struct {
	w      io.Writer
	target string
}

func (h bareHop) run(ctx context.Context) {
	_ = burdockpassthrough.Command(h.w).ParseAndRun(ctx, []string{"-target", h.target})
}

// The command runs with a bare hop in place of entry and agent. It must print every path
// and every phase.
func TestCommandMeasuresEachPath(t *testing.T) {
	engine := httptest.NewServer(burdockfakeengine.New(burdockfakeengine.Config{Step: time.Millisecond}))
	defer engine.Close()
	address := engine.Listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	go bareHop{w, address}.run(ctx)
	line := make([]byte, 256)
	n, err := r.Read(line)
	if err != nil {
		t.Fatal(err)
	}
	addresses := strings.Fields(string(line[:n]))
	var out bytes.Buffer
	args := []string{"-engine", address, "-entry", addresses[0], "-passthrough", addresses[0],
		"-entry-admin", addresses[1], "-agent-admin", addresses[1], "-passthrough-admin", addresses[1],
		"-turn", "200ms", "-turns", "1", "-rates", "100", "-streams", "4"}
	if err := Command(&out).ParseAndRun(ctx, args); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"streams alone", "requests alone", "requests beside streams", pathDirect, pathPassthrough, pathBalancer, "for each token", "resident memory"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in:\n%s", want, out.String())
		}
	}
}
