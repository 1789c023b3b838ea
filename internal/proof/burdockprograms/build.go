// Package burdockprograms starts the built programs as separate processes on loopback,
// for tests. Tests can kill, suspend, stop and restart the stand-ins, agents and entries.
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
	hostedProgram  = "burdock-hosted"
	// OperatorProgram is the operators' command-line tool.
	OperatorProgram = "burdock"
)

var (
	buildOnce sync.Once
	buildDir  string
	buildErr  error
)

// Build returns the directory of the built programs. They are built once per test
// process, with the race detector if the tests run with it.
func Build(t testing.TB) string {
	t.Helper()
	buildOnce.Do(build)
	if buildErr != nil {
		t.Fatalf("build the programs: %v", buildErr)
	}
	return buildDir
}

// CleanUp removes the built programs. TestMain calls it after the tests.
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
	if buildErr = statSources(root); buildErr != nil {
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

// statSources calls os.Stat for every file that the programs are built from, so that the
// go command's test cache depends on them.
//
// Otherwise, after a change in a package that the test does not import, go test takes the
// test for unchanged and prints the cached result from before the change. The cache does
// take into account the files that a test has opened or examined with Stat.
func statSources(root string) error {
	for _, dir := range []string{"cmd", "internal", "platform", "go.mod", "go.sum"} {
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
