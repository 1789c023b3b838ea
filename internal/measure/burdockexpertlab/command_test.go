package burdockexpertlab

import (
	"bytes"
	"context"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"burdockbend.example/burdockbend/internal/base/burdockgolden"
)

const smallGroup = "--ranks 8 --experts 32 --layers 2 --steps 120 --timer 20"

func runCommand(t *testing.T, line string) (string, error) {
	t.Helper()
	var b bytes.Buffer
	err := Command(&b).ParseAndRun(context.Background(), strings.Fields(line))
	return b.String(), err
}

func TestReportGolden(t *testing.T) {
	got, err := runCommand(t, "--drift swap --weight 1:4 --seed 5 "+smallGroup)
	if err != nil {
		t.Fatal(err)
	}
	burdockgolden.Compare(t, "swap", got)
}

func TestPlotIsWellFormed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plot.svg")
	if _, err := runCommand(t, "--drift slow --plot "+path+" "+smallGroup); err != nil {
		t.Fatal(err)
	}
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	curves := 0
	for d := xml.NewDecoder(f); ; {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if start, ok := token.(xml.StartElement); ok && start.Name.Local == "polyline" {
			curves++
		}
	}
	if want := 4; curves != want {
		t.Errorf("curves = %d, want %d", curves, want)
	}
}

func TestAllBadSettingsAreReported(t *testing.T) {
	_, err := runCommand(t, "--ranks 0 --steps -1")
	var findings *burdockfinding.Error
	if !errors.As(err, &findings) || len(findings.Findings) != 2 {
		t.Errorf("error = %v, want two findings", err)
	}
	for _, line := range []string{"--weight 4", "--weight 0:1", "--drift tide"} {
		if _, err := runCommand(t, line); err == nil {
			t.Errorf("%s: no error, want one", line)
		}
	}
}

// On a small group, the planner must keep the median skew within 5% of the lower bound
// with at most a fifth of the moves of solving after each step. Under pure noise it
// must not move anything.
func TestPlannerTargets(t *testing.T) {
	const fifth = 0.2
	cfg := DefaultConfig()
	cfg.Ranks, cfg.Experts, cfg.Layers, cfg.Steps = 16, 64, 2, 240
	cfg.Sweep = false
	rep := Run(cfg)
	planned, always := rep.Policies[0], rep.always()
	if got, want := planned.SkewP50, 1.05*rep.Bound.SkewP50; got > want {
		t.Errorf("slow: p50 of skew = %.4f, want at most %.4f", got, want)
	}
	if got, want := float64(planned.Moves), fifth*float64(always.Moves); got > want {
		t.Errorf("slow: moves = %g, want at most %g", got, want)
	}
	cfg.Drift = Noise
	if got := Run(cfg).Policies[0].Moves; got != 0 {
		t.Errorf("noise: moves = %d, want 0", got)
	}
}
