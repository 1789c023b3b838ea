package burdockgrouplab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
)

func ExampleCommand() {
	var table bytes.Buffer
	args := []string{"--ranks", "4", "--load-millis", "50", "--changes", "5", "--seed", "1"}
	if err := Command(&table).ParseAndRun(context.Background(), args); err != nil {
		fmt.Println(err)
	}
	head, _, _ := strings.Cut(table.String(), "\n")
	fmt.Println(strings.Join(strings.Fields(head), " "))
	// Output: way lead steps lost, mean p50 p99 ms to force orders
}

func TestCommandReportsAllFindings(t *testing.T) {
	err := Command(io.Discard).ParseAndRun(context.Background(), []string{"--ranks", "0", "--changes", "0"})
	for _, want := range []string{"--ranks: is 0", "--changes: is 0"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want it to have %q", err, want)
		}
	}
}

// A map change needs three rounds. The group loses steps if the switch lead is shorter
// than these rounds take, and none if it is longer.
func TestLeadLongerThanRoundsLosesNoStep(t *testing.T) {
	cfg := settings{ranks: 8, step: 4.5, delay: 1.5, tail: 0.3, load: 50, seed: 1}.config()
	const changes, short, long = 20, 1, 8
	near, err := MeasureArmAhead(cfg, changes, short, short)
	if err != nil {
		t.Fatal(err)
	}
	far, err := MeasureArmAhead(cfg, changes, long, long)
	if err != nil {
		t.Fatal(err)
	}
	if near.Mean() <= 0 || far.Mean() != 0 {
		t.Errorf("steps lost: %.2f with lead %d, %.2f with lead %d; want more than 0, and 0", near.Mean(), short, far.Mean(), long)
	}
}

// The network is slower than the maximum switch lead allows for, so nearly every change
// fails, and each attempt holds the ranks that were armed in time. The group must keep
// running with its old map and lose only a few steps.
func TestFailingChangeDoesNotHoldGroup(t *testing.T) {
	cfg := settings{ranks: 16, step: 4.5, delay: 1.5, tail: 3, load: 10, seed: 1}.config()
	cfg.Controllers, cfg.Lead, cfg.MaxLead = 1, 1, 1
	w := NewWorld(cfg)
	w.Want([]byte("first"))
	if !w.Settle() {
		t.Fatal(w.Failures())
	}
	lost, begun := w.lost, w.now
	w.Want([]byte("second"))
	const span = 10_000
	w.Run(span)
	const maxShare = 0.2 // 0.47 without a pause between attempts
	if got := float64(w.lost-lost) / float64(w.now-begun); got > maxShare {
		t.Errorf("held for %.2f of the time, want at most %.2f", got, maxShare)
	}
}
