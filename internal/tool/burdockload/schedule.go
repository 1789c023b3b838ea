package burdockload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// kind is what a call asks for.
type kind int

const (
	kindStreamed kind = iota
	kindWhole
	kindPlain
)

// call is one call of a run.
type call struct {
	// at is when it begins, from the start of the run.
	at     time.Duration
	kind   kind
	tokens int
	prompt string
	class  string
	key    string // of the customer
	repeat burdockid.IdempotencyKey
}

// schedule draws the calls of a run. It is pure: one seed gives one schedule.
type schedule struct {
	cfg    Config
	random *rand.Rand
	at     time.Duration
	n      int
}

// scheduleStream tells the random numbers of calls from those of streams.
const scheduleStream = 1

func newSchedule(cfg Config) *schedule {
	return &schedule{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, scheduleStream))}
}

// next returns the next call of the run, or false at its end.
//
// The gaps are exponential, so calls arrive as those of many independent
// callers do, and bunch. They don't wait for answers: a server that slows down
// gets no relief, which is what its callers would see.
func (s *schedule) next() (call, bool) {
	if s.cfg.Rate <= 0 || (s.cfg.Requests > 0 && s.n >= s.cfg.Requests) {
		return call{}, false
	}
	s.at += time.Duration(s.random.ExpFloat64() / s.cfg.Rate * float64(time.Second))
	if s.at >= s.cfg.Duration {
		return call{}, false
	}
	s.n++
	c := draw(s.cfg, s.random, fmt.Sprintf("call %d-%d", s.cfg.Seed, s.n))
	c.at = s.at
	return c, true
}

// draw draws all of a call but its time.
func draw(cfg Config, random *rand.Rand, name string) call {
	c := call{
		kind:   drawKind(cfg.Mix, random),
		tokens: cfg.Tokens,
		prompt: promptOf(name, cfg.Prompt),
		class:  pick(cfg.Classes, random),
		key:    pick(cfg.Keys, random),
	}
	if random.Float64() < cfg.Idempotent {
		c.repeat = burdockid.IdempotencyKey(name)
	}
	return c
}

func drawKind(m Mix, random *rand.Rand) kind {
	x := random.Float64() * m.total()
	switch {
	case x < m.Streamed:
		return kindStreamed
	case x < m.Streamed+m.Whole:
		return kindWhole
	default:
		return kindPlain
	}
}

func pick(list []string, random *rand.Rand) string {
	if len(list) == 0 {
		return ""
	}
	return list[random.IntN(len(list))]
}

// promptOf returns a prompt that begins differently for each name, so that no
// cache of prefixes serves one call from another.
func promptOf(name string, words int) string {
	return name + strings.Repeat(" gain", max(0, words-2))
}
