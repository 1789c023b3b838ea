// Command standin plays one case of the review: it starts the project's processes, plays
// their clients, replicas and the platform's store, and checks one rule.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	maxCaseTime  = 110 * time.Second
	noTrouble    = "0"
	troubleInEnv = "TROUBLE"
)

// Bounds of the deployments' sheets.
const (
	grace        = 8 * time.Second
	drainTime    = 2 * time.Second
	stableWindow = 3 * time.Second
)

// errNotRun means that a case could not show anything.
var errNotRun = errors.New("the case could not run")

// world is what one case consists of.
type world struct {
	rec       *record
	store     *store
	dir       string // for settings and logs
	command   string // that starts a process of the project
	trouble   bool
	ports     map[int]bool // given out
	processes []*hosted
	replicas  []*replica
}

// cases holds what each case plays. It reports how often the rule was broken.
var cases = map[string]func(*world) (int, error){
	"twice":   playTwice,
	"silence": playSilence,
	"drain":   playDrain,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	file := flag.String("record", "record.txt", "the file for the record")
	command := flag.String("command", "target/burdock-hosted", "the command of the deploy file")
	keep := flag.String("logs", "", "a folder that keeps settings and logs; default: a temporary one")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitNotRun
	}
	rec, err := newRecord(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	w := &world{rec: rec, dir: *keep, command: *command, trouble: os.Getenv(troubleInEnv) != noTrouble, ports: map[int]bool{}}
	defer w.close()
	go w.watchTime()
	broken, err := w.play(play)
	switch {
	case err != nil:
		rec.verdict("not run: %v", err)
		return exitNotRun
	case broken > 0:
		rec.verdict("BROKEN: %d times", broken)
		return exitBroken
	}
	rec.verdict("held")
	return exitHeld
}

func (w *world) play(play func(*world) (int, error)) (int, error) {
	if w.dir == "" {
		dir, err := os.MkdirTemp("", "review-")
		if err != nil {
			return 0, err
		}
		w.dir = dir
		defer func() { _ = os.RemoveAll(dir) }()
	}
	s, err := startStore()
	if err != nil {
		return 0, err
	}
	w.store = s
	w.rec.now("trouble: %t; the platform's store at %s", w.trouble, s.address)
	return play(w)
}

// watchTime ends the case when it takes too long or is told to stop.
func (w *world) watchTime() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(maxCaseTime):
	}
	w.close()
	os.Exit(exitNotRun)
}

// close ends everything that the case has started.
func (w *world) close() {
	for _, h := range w.processes {
		h.kill()
	}
	for _, p := range w.replicas {
		p.stop()
	}
	if w.store != nil {
		w.store.close()
	}
}

// addReplica starts a replica and writes its entry into the store.
func (w *world) addReplica(p *replica) error {
	if err := p.start(); err != nil {
		return err
	}
	w.replicas = append(w.replicas, p)
	at := w.store.put("servers/"+p.id, p.registration("ready"))
	w.rec.at(at, "replica %s of %s at %s is ready", p.id, p.service, p.address)
	return nil
}

// checkProcesses returns an error if a process has ended that was not stopped.
func (w *world) checkProcesses() error {
	for _, h := range w.processes {
		if h.ended() {
			return fmt.Errorf("%w: %s has ended", errNotRun, h.name)
		}
	}
	return nil
}
