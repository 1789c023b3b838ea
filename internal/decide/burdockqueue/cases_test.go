package burdockqueue

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

var update = flag.Bool("update", false, "rewrite the answers in the case files")

// Each file in testdata is a test case. It begins with a comment on the expected behaviour,
// followed by one call per line, "TIME CALL key=value ...". Each call is followed by its
// answer and the events of the next Dispatch, each after "->".
func TestCases(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("case files = %v (%v), want some", files, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := runCase(t, string(want))
			if *update {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			if got != string(want) {
				t.Errorf("answers of %s differ, got:\n%s", file, got)
			}
		})
	}
}

// fields are the key=value pairs of one line.
type fields map[string]string

func (f fields) number(key string) int64 {
	n, err := strconv.ParseInt(f[key], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (f fields) millis(key string) burdockclock.Millis { return burdockclock.Millis(f.number(key)) }

func parseLine(line string) (words []string, values fields) {
	values = fields{}
	for _, word := range strings.Fields(line) {
		if key, value, ok := strings.Cut(word, "="); ok {
			values[key] = value
			continue
		}
		words = append(words, word)
	}
	return words, values
}

// runCase returns the text of the case with the actual answers of the queue.
func runCase(t *testing.T, text string) string {
	t.Helper()
	var out strings.Builder
	cfg := Config{Shares: map[burdockid.Customer]float64{}}
	var q *Queue
	for _, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		words, values := parseLine(line)
		if len(words) > 0 && words[0] == "->" {
			continue
		}
		fmt.Fprintln(&out, line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		if words[0] == "set" && len(words) > 1 {
			cfg = Config{Shares: map[burdockid.Customer]float64{}}
			continue
		}
		if words[0] == "set" {
			setConfig(&cfg, values)
			continue
		}
		if q == nil {
			q = New(cfg, rand.New(rand.NewPCG(1, 1)))
		}
		now, err := strconv.ParseInt(words[0], 10, 64)
		if err != nil {
			t.Fatalf("line %q: want a time first", line)
		}
		call(t, &out, q, burdockclock.Millis(now), words[1], values, cfg)
		q.CheckInvariants()
	}
	return out.String()
}

// setConfig applies one "set" line: the engine, the next class, or a share. The line
// "set none" begins another configuration.
func setConfig(cfg *Config, f fields) {
	switch {
	case f["class"] != "":
		cfg.Classes = append(cfg.Classes, ClassConfig{
			Name: f["class"], MaxStarvation: f.millis("starvation"), MaxWait: f.millis("wait"), ReservedSlots: int(f.number("kept")),
			MaxRunning: int(f.number("running")), NewestFirst: f["newest"] != "",
		})
	case f["customer"] != "":
		cfg.Shares[burdockid.Customer(f["customer"])] = float64(f.number("share"))
	default:
		cfg.Slots, cfg.MaxQueued = int(f.number("slots")), int(f.number("queued"))
		cfg.InitialRate = float64(f.number("rate"))
	}
}

func call(t *testing.T, out *strings.Builder, q *Queue, now burdockclock.Millis, name string, f fields, cfg Config) {
	t.Helper()
	id := burdockid.Request(f["id"])
	switch name {
	case "offer":
		fmt.Fprintln(out, "->", describe(q.Offer(now, Request{
			ID: id, Customer: burdockid.Customer(f["of"]), Class: Class(f.number("in")),
			Cost: burdockid.Tokens(f.number("cost")), Deadline: f.millis("deadline"),
		})))
	case "finish":
		q.Finish(now, id, burdockid.Tokens(f.number("served")))
	case "cancel":
		q.Cancel(now, id)
	case "drain":
		q.Drain(now)
	case "reconfigure":
		q.Reconfigure(now, cfg)
	case "load":
		fmt.Fprintf(out, "-> %+v\n", q.Load())
	case "wake":
		at, ok := q.WakeAt()
		fmt.Fprintln(out, "->", at, ok)
	default:
		t.Fatalf("unknown call %q", name)
	}
	for _, e := range q.Dispatch(now) {
		fmt.Fprintln(out, "->", describe(e))
	}
}

func describe(answer any) string {
	switch a := answer.(type) {
	case Start:
		return "start"
	case Wait:
		return fmt.Sprintf("wait, position %d, expected %d ms", a.Position, a.Expected)
	case Refuse:
		return fmt.Sprintf("refuse, %s, come back after %d ms", a.Reason, a.RetryAfter)
	case Started:
		return fmt.Sprintf("%s starts", a.ID)
	case Dropped:
		return fmt.Sprintf("%s is dropped, %s, come back after %d ms", a.ID, a.Reason, a.RetryAfter)
	}
	return fmt.Sprintf("unknown answer %T", answer)
}
