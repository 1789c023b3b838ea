package burdockprograms

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Process is a started program.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *tail
	exit chan struct{}
	err  error
}

// start starts a program. With wantAddress it returns the program's first line of output,
// which states its address.
func start(t testing.TB, name, program string, wantAddress bool, args ...string) (*Process, string) {
	t.Helper()
	p := newProcess(name, program, args...)
	p.cmd.Stderr = p.log
	var stdout io.Reader
	if wantAddress {
		pipe, err := p.cmd.StdoutPipe()
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		stdout = pipe
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	t.Cleanup(func() { p.finish(t) })
	address := ""
	if wantAddress {
		line, err := bufio.NewReader(stdout).ReadString('\n')
		if err != nil {
			t.Fatalf("%s printed no address: %v\n%s", name, err, p.log)
		}
		address = strings.TrimSpace(line)
	}
	go p.run()
	return p, address
}

func newProcess(name, program string, args ...string) *Process {
	return &Process{Name: name, cmd: exec.Command(program, args...), log: &tail{}, exit: make(chan struct{})}
}

// StartHosted starts an entry or agent for the users' platform with a settings file, which
// the environment variable names. It logs to standard output.
func StartHosted(t testing.TB, name, variable, settings string) *Process {
	t.Helper()
	p := newProcess(name, filepath.Join(Build(t), hostedProgram))
	p.cmd.Env = append(os.Environ(), variable+"="+settings)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	t.Cleanup(func() { p.finish(t) })
	go p.run()
	return p
}

func (p *Process) run() {
	p.err = p.cmd.Wait()
	close(p.exit)
}

// finish kills the process at the end of its test, and prints its log if the test failed.
func (p *Process) finish(t testing.TB) {
	p.Kill()
	if t.Failed() {
		t.Logf("log of %s:\n%s", p.Name, p.log)
	}
}

// Kill kills the process with SIGKILL, which simulates the loss of its VM, and waits for
// its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exit
}

// Pid returns the process's ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Freeze suspends the process with SIGSTOP until Thaw is called.
func (p *Process) Freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a suspended process.
func (p *Process) Thaw() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate requests a planned stop with SIGTERM.
func (p *Process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Wait waits until the process has ended and returns its exit status. The test fails if
// that takes longer than timeout.
func (p *Process) Wait(t testing.TB, timeout time.Duration) int {
	t.Helper()
	select {
	case <-p.exit:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		t.Fatalf("%s did not end within %v", p.Name, timeout)
		return -1
	}
}

// Log returns the end of the process's log.
func (p *Process) Log() string { return p.log.String() }

// tailBytes is the minimum number of recent bytes kept of a longer log.
const tailBytes = 64 << 10

// tail is an io.Writer that keeps the end of what is written to it.
type tail struct {
	mu  sync.Mutex
	buf []byte
}

// Write implements io.Writer.
func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buf = append(t.buf, b...)
	if len(t.buf) > 2*tailBytes {
		t.buf = bytes.Clone(t.buf[len(t.buf)-tailBytes:])
	}
	return len(b), nil
}

// String returns the kept bytes.
func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.buf)
}

// waitUp waits until a started process answers on its admin address. A SIGTERM that
// arrives before the program has installed its signal handler kills it instead of causing
// a planned stop.
func waitUp(t testing.TB, name, admin string) {
	t.Helper()
	Eventually(t, name+" is up", func() bool {
		status, _ := Get("http://" + admin + "/healthz")
		return status == http.StatusOK
	})
}
