package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// hosted is a process of the project with its addresses.
type hosted struct {
	name    string
	callers string // of an entry
	ready   string // of an entry
	cmd     *exec.Cmd
	done    chan struct{}
}

// Ports are taken from below the range from which the kernel takes those of outgoing
// connections, so that none of these gets a port before its process listens there.
const (
	firstPort = 12000
	lastPort  = 30000
	portTries = 200
)

// freePort returns a port of the loopback interface on which nothing listens and which no
// other process of this case has.
func (w *world) freePort() (int, error) {
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if w.ports[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		w.ports[port] = true
		return port, nil
	}
	return 0, errors.New("no free port")
}

// startEntry starts an entry with the settings of an entry VM of a small deployment, as
// deploy/settings.toml has them.
func (w *world) startEntry(name string) (*hosted, error) {
	callers, err1 := w.freePort()
	ready, err2 := w.freePort()
	if err := errors.Join(err1, err2); err != nil {
		return nil, err
	}
	h := &hosted{name: name, callers: fmt.Sprint("127.0.0.1:", callers), ready: fmt.Sprint("127.0.0.1:", ready)}
	text := fmt.Sprintf("callerListen = %q\nreadyListen = %q\nmemoryMB = 284\nlinkMbps = 1000\n", h.callers, h.ready)
	return h, w.startHosted(h, text)
}

// startAgent starts the agent beside a replica.
func (w *world) startAgent(name string, p *replica) (*hosted, error) {
	h := &hosted{name: name}
	text := fmt.Sprintf("upstreamAddress = %q\nupstreamService = %q\nmemoryMB = 152\nlinkMbps = 20\n", p.address, p.service)
	return h, w.startHosted(h, text)
}

func (w *world) startHosted(h *hosted, text string) error {
	peer, err1 := w.freePort()
	admin, err2 := w.freePort()
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	text += fmt.Sprintf("vm = %q\ndataCentre = \"hall-a\"\nip = \"127.0.0.1\"\npeerPort = %d\nadminPort = %d\nstoreAddress = %q\nstoreHistoryMillis = 20000\ngraceMillis = %d\n",
		h.name, peer, admin, w.store.address, grace.Milliseconds())
	settings := filepath.Join(w.dir, h.name+".toml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.dir, h.name+".log"))
	if err != nil {
		return err
	}
	words := strings.Fields(w.command)
	h.cmd = exec.Command(words[0], words[1:]...)
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BURDOCKBEND_BOOT=" + settings}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.done = make(chan struct{})
	w.processes = append(w.processes, h)
	go h.run()
	return nil
}

func (h *hosted) run() {
	_ = h.cmd.Wait()
	close(h.done)
}

// terminate sends SIGTERM, as the platform does for a planned stop.
func (h *hosted) terminate() { _ = h.cmd.Process.Signal(syscall.SIGTERM) }

// kill ends the process at the end of the case.
func (h *hosted) kill() {
	_ = h.cmd.Process.Kill()
	<-h.done
}

func (h *hosted) ended() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// isReady asks the entry as the platform does.
func (h *hosted) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// waitReady waits until the entry is ready.
func (h *hosted) waitReady() error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if h.ended() {
			return fmt.Errorf("%s has ended", h.name)
		}
		if h.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s did not get ready", h.name)
}
