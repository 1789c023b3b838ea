// Command without removes each safeguard in turn from a copy of the source and runs
// the tests that cover it. They must fail: a test that passes without the safeguard
// doesn't cover it.
//
// Run it from the root of the repository:
//
//	cd tools && go run ./without [-only NAME]
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// safeguard is one case of the case file: a replacement of source text that disables
// the safeguard, and the tests that must then fail.
type safeguard struct {
	name    string
	file    string
	pkg     string
	test    string
	old     string
	changed string
}

const (
	caseFile = "without/safeguards.txt"
	// testTimeout ends a test that hangs without its safeguard.
	testTimeout = 150 * time.Second
)

func main() {
	only := flag.String("only", "", "run the cases whose name contains this")
	flag.Parse()
	if err := run(*only); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(only string) error {
	text, err := os.ReadFile(caseFile)
	if err != nil {
		return err
	}
	safeguards, err := parse(string(text))
	if err != nil {
		return err
	}
	// All cases share one copy, since the build cache depends on the directory.
	dir, err := os.MkdirTemp("", "without-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := copyTree("..", dir); err != nil {
		return err
	}
	var passed []string
	for _, s := range safeguards {
		if !strings.Contains(s.name, only) {
			continue
		}
		failed, err := s.failsWithout(dir)
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		verdict := "fails, as it must"
		if !failed {
			verdict = "PASSES WITHOUT IT"
			passed = append(passed, s.name)
		}
		fmt.Printf("%-44s %-44s %s\n", s.name, s.test, verdict)
	}
	if len(passed) > 0 {
		return errors.New("tests that pass without their safeguard: " + strings.Join(passed, ", "))
	}
	return nil
}

// parse reads the case file: a line "== name", lines "file", "package" and
// "test", then the text to replace after "--- old" and its replacement after
// "--- new".
func parse(text string) ([]safeguard, error) {
	var list []safeguard
	var block *string
	for i, line := range strings.Split(text, "\n") {
		word, rest, _ := strings.Cut(line, " ")
		switch {
		case word == "==":
			list = append(list, safeguard{name: rest})
			block = nil
		case strings.HasPrefix(line, "#") && block == nil, strings.TrimSpace(line) == "" && block == nil:
		case len(list) == 0:
			return nil, fmt.Errorf("%s:%d: %q stands before the first case", caseFile, i+1, line)
		case line == "--- old":
			block = &list[len(list)-1].old
		case line == "--- new":
			block = &list[len(list)-1].changed
		case block != nil:
			*block += line + "\n"
		case word == "file":
			list[len(list)-1].file = rest
		case word == "package":
			list[len(list)-1].pkg = rest
		case word == "test":
			list[len(list)-1].test = rest
		default:
			return nil, fmt.Errorf("%s:%d: unknown word %q", caseFile, i+1, word)
		}
	}
	return list, nil
}

// failsWithout reports whether the tests fail without the safeguard.
func (s safeguard) failsWithout(dir string) (bool, error) {
	path := filepath.Join(dir, s.file)
	original, err := os.ReadFile(path)
	if err != nil {
		return false, err
	}
	defer func() { _ = os.WriteFile(path, original, 0o600) }()
	if err := s.disable(path); err != nil {
		return false, err
	}
	build := exec.Command("go", "build", "./...")
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return false, fmt.Errorf("does not build: %s", out)
	}
	cmd := exec.Command("go", "test", "-count=1", "-timeout", testTimeout.String(), "-run", "^("+s.test+")$", s.pkg)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	if strings.Contains(string(out), "no tests to run") {
		return false, fmt.Errorf("no test %s in %s", s.test, s.pkg)
	}
	return err != nil, nil
}

func (s safeguard) disable(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	old, changed := strings.TrimSuffix(s.old, "\n"), strings.TrimSuffix(s.changed, "\n")
	old, changed = strings.TrimRight(old, "\n"), strings.TrimRight(changed, "\n")
	if n := strings.Count(string(data), old); n != 1 {
		return fmt.Errorf("the text to replace stands %d times in %s", n, s.file)
	}
	return os.WriteFile(path, []byte(strings.Replace(string(data), old, changed, 1)), 0o600)
}

// copyTree copies the tracked files and the untracked ones that git doesn't ignore.
func copyTree(from, to string) error {
	cmd := exec.Command("git", "ls-files", "-z", "--cached", "--others", "--exclude-standard")
	cmd.Dir = from
	out, err := cmd.Output()
	if err != nil {
		return err
	}
	for name := range strings.SplitSeq(strings.TrimSuffix(string(out), "\x00"), "\x00") {
		data, err := os.ReadFile(filepath.Join(from, name))
		if errors.Is(err, os.ErrNotExist) {
			continue // deleted in the work tree
		}
		if err != nil {
			return err
		}
		if err := os.MkdirAll(filepath.Dir(filepath.Join(to, name)), 0o700); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, name), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}
