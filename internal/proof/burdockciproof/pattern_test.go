// Package burdockciproof tests the scripts of CI.
package burdockciproof

import (
	"os"
	"os/exec"
	"strings"
	"testing"
)

const knownRed = `test: TestKnownRedSample/red_one
command: go test
seen: nothing

test: TestKnownRedSample/group/red.two
issue: 1

test: TestKnownRedOther
issue: 1

test: review/1/run.sh
issue: 1
`

// sampleFlag makes the sample tests run.
const sampleFlag = "BURDOCK_CI_SAMPLE"

func pattern(t *testing.T, list string) string {
	t.Helper()
	cmd := exec.Command("bash", "../../../.ci/pattern")
	cmd.Stdin = strings.NewReader(list)
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(string(out))
}

// Guards against known red subtests that CI neither runs apart nor passes over.
func TestPatternNamesKnownRedTestsAndNoOthers(t *testing.T) {
	if os.Getenv(sampleFlag) != "" {
		t.Skip("runs the samples")
	}
	red := pattern(t, knownRed)
	if got, want := red, `^TestKnownRedSample$/^red_one$|^TestKnownRedSample$/^group$/^red\.two$|^TestKnownRedOther$`; got != want {
		t.Errorf("pattern: got %s, want %s", got, want)
	}
	names := []string{"TestKnownRedSample/red_one", "TestKnownRedSample/group/red.two", "TestKnownRedOther"}
	others := []string{"TestKnownRedSample/green", "TestKnownRedSample/red_one_more", "TestKnownRedSample/group/redxtwo", "TestKnownRedOtherToo"}
	checkRuns(t, "-test.run="+red, names, others)
	checkRuns(t, "-test.skip="+red, others, names)
	if got := pattern(t, "test: review/1/run.sh\n"); got != "" {
		t.Errorf("pattern without Go tests: got %q, want none", got)
	}
}

// checkRuns runs the sample tests with a flag, and checks which of them run.
func checkRuns(t *testing.T, flag string, want, wantNot []string) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self, flag, "-test.v")
	cmd.Env = append(os.Environ(), sampleFlag+"=1")
	out, err := cmd.Output()
	if err != nil {
		t.Fatalf("%s: %v\n%s", flag, err, out)
	}
	for _, name := range want {
		if !strings.Contains(string(out), "--- PASS: "+name+" ") {
			t.Errorf("%s: %s did not run", flag, name)
		}
	}
	for _, name := range wantNot {
		if strings.Contains(string(out), "--- PASS: "+name+" ") {
			t.Errorf("%s: %s ran", flag, name)
		}
	}
}

func onlyAsSample(t *testing.T) {
	t.Helper()
	if os.Getenv(sampleFlag) == "" {
		t.Skip("a sample for the test of the pattern")
	}
}

func TestKnownRedSample(t *testing.T) {
	onlyAsSample(t)
	for _, name := range []string{"red_one", "red_one_more", "green"} {
		t.Run(name, func(*testing.T) {})
	}
	t.Run("group", func(t *testing.T) {
		for _, name := range []string{"red.two", "redxtwo"} {
			t.Run(name, func(*testing.T) {})
		}
	})
}

func TestKnownRedOther(t *testing.T) { onlyAsSample(t) }

func TestKnownRedOtherToo(t *testing.T) { onlyAsSample(t) }
