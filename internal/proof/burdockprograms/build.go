// Package burdockprograms starts the built programs as separate processes on
// loopback, for tests: stand-ins, agents and entries, which can be killed,
// frozen, stopped and started again.
package burdockprograms

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
)

// Names of the programs.
const (
	entryProgram   = "burdock-entry"
	agentProgram   = "burdock-agent"
	standinProgram = "burdock-standin"
	// OperatorProgram is the operators' command line.
	OperatorProgram = "burdock"
)

var (
	buildOnce sync.Once
	buildDir  string
	buildErr  error
)

// Build returns the directory that holds the built programs. They are built
// once for each test binary, with the race detector where the tests use it.
func Build(t testing.TB) string {
	t.Helper()
	buildOnce.Do(build)
	if buildErr != nil {
		t.Fatalf("build the programs: %v", buildErr)
	}
	return buildDir
}

// CleanUp removes the built programs. A TestMain calls it at its end.
func CleanUp() {
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
}

func build() {
	buildDir, buildErr = os.MkdirTemp("", "burdock-programs-")
	if buildErr != nil {
		return
	}
	_, file, _, _ := runtime.Caller(0)
	root := filepath.Join(filepath.Dir(file), "..", "..", "..")
	if buildErr = track(root); buildErr != nil {
		return
	}
	args := []string{"build", "-o", buildDir + string(filepath.Separator)}
	if raceEnabled {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "./cmd/...")...)
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	if err != nil {
		_, _ = os.Stderr.Write(out)
		buildErr = err
	}
}

// track looks at every file that the programs are built from.
//
// Failure: a change of the product alone, in a package that a test does not
// import, and a run of that test. Symptom: the go command finds the test
// unchanged and prints the result of the run before the change. It does count
// the files that a test looked at, so looking at them is enough.
func track(root string) error {
	for _, dir := range []string{"cmd", "internal", "go.mod", "go.sum"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			_, err = os.Stat(path)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}
