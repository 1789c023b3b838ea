package burdockchart

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockgolden"
	"github.com/joomcode/errorx"
)

type (
	doorState string
	doorEvent string
)

func loadDoor(t testing.TB) Typed[doorState, doorEvent] {
	t.Helper()
	chart, err := Load(os.DirFS("testdata"), "door.chart")
	if err != nil {
		t.Fatal(err)
	}
	typed, err := Bind(chart, []doorState{"closed", "opened", "removed"}, []doorEvent{"open", "close", "remove"})
	if err != nil {
		t.Fatal(err)
	}
	return typed
}

func ExampleMachine_Fire() {
	chart, err := Load(os.DirFS("testdata"), "door.chart")
	if err != nil {
		fmt.Println(err)
		return
	}
	typed, err := Bind(chart, []doorState{"closed", "opened", "removed"}, []doorEvent{"open", "close", "remove"})
	if err != nil {
		fmt.Println(err)
		return
	}
	machine := typed.Start()
	moved, _ := machine.Fire("open")
	fmt.Println(machine.State(), moved)
	_, err = machine.Fire("remove")
	fmt.Println(machine.State(), errorx.IsOfType(err, NotAllowed))
	// Output:
	// opened true
	// opened true
}

func TestAllFindingsAreReported(t *testing.T) {
	_, err := Load(os.DirFS("testdata"), "bad.chart")
	if err == nil {
		t.Fatal("bad.chart was accepted")
	}
	burdockgolden.Compare(t, "bad", err.Error()+"\n")
}

func TestLimits(t *testing.T) {
	var many strings.Builder
	many.WriteString("chart many\ninitial s0\n")
	for i := range maxStates + 1 {
		fmt.Fprintf(&many, "rest s%d\nevent e%d\n", i, i)
	}
	cases := []struct{ name, text, want string }{
		{"long file", strings.Repeat("#", maxBytes+1), "too long"},
		{"many states", many.String(), "one rest too many"},
		{"many events", many.String(), "one event too many"},
		{"unknown initial", "chart c\ninitial b\nrest a\n", "c:2: b: unknown state"},
		{"empty", "", "chart: is missing"},
	}
	for _, c := range cases {
		if _, err := Parse("c", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want %q", c.name, err, c.want)
		}
	}
}

func TestMachineFollowsChart(t *testing.T) {
	machine := loadDoor(t).Start()
	steps := []struct {
		event   doorEvent
		moved   bool
		state   doorState
		errType *errorx.Type
	}{
		{"close", false, "closed", nil},
		{"open", true, "opened", nil},
		{"remove", false, "opened", NotAllowed},
		{"paint", false, "opened", UnknownEvent},
		{"close", true, "closed", nil},
		{"remove", true, "removed", nil},
		{"open", false, "removed", nil},
	}
	for i, s := range steps {
		moved, err := machine.Fire(s.event)
		if moved != s.moved || machine.State() != s.state {
			t.Errorf("step %d: got %v in %s, want %v in %s", i, moved, machine.State(), s.moved, s.state)
		}
		if failed := err != nil; failed != (s.errType != nil) || failed && !errorx.IsOfType(err, s.errType) {
			t.Errorf("step %d: got error %v, want type %v", i, err, s.errType)
		}
	}
	if !machine.Final() {
		t.Error("Final() = false after remove")
	}
}

func TestZeroMachineAllowsNothing(t *testing.T) {
	var machine Machine[doorState, doorEvent]
	if _, err := machine.Fire("open"); !errorx.IsOfType(err, UnknownEvent) {
		t.Errorf("Fire on a zero machine: got %v", err)
	}
	if got := machine.State(); got != "" || machine.Final() {
		t.Errorf("zero machine: state %q, final %v", got, machine.Final())
	}
}

func TestBindReportsDifferences(t *testing.T) {
	chart := loadDoor(t).Chart()
	_, err := Bind(chart, []doorState{"closed", "opened", "ajar"}, []doorEvent{"open", "close", "remove"})
	for _, want := range []string{`state "ajar"`, `state "removed"`} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Bind error = %v, want it to contain %s", err, want)
		}
	}
}

func TestJournalKeepsLatestEntries(t *testing.T) {
	j := NewJournal(2)
	for _, event := range []string{"a", "b", "c"} {
		j.Add(Entry{Event: event})
	}
	got := j.Entries()
	if want := []Entry{{Event: "b"}, {Event: "c"}}; !reflect.DeepEqual(got, want) {
		t.Errorf("Entries() = %v, want %v", got, want)
	}
}

// FuzzParse checks that Parse does not panic, and that a machine of an accepted chart
// stays within its transition table.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"testdata/door.chart", "testdata/bad.chart"} {
		text, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		chart, err := Parse("fuzz", text)
		if err != nil {
			return
		}
		machine := Typed[doorState, doorEvent]{chart: chart}.Start()
		for range 3 {
			for _, event := range chart.Events() {
				if _, err := machine.Fire(doorEvent(event)); errorx.IsOfType(err, UnknownEvent) {
					t.Errorf("event %q of the chart: %v", event, err)
				}
			}
		}
	})
}
