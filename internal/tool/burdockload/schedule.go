package burdockload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// kind is the type of request that a call sends.
type kind int

const (
	kindStreamed kind = iota
	kindWhole
	kindPlain
)

// call is one call of a run.
type call struct {
	// offset is when the call is due, measured from the start of the run.
	offset         time.Duration
	kind           kind
	tokens         int
	prompt         string
	class          string
	customerKey    string // sent as the bearer token
	idempotencyKey burdockid.IdempotencyKey
}

// schedule generates the calls of a run. It is deterministic: equal configurations
// with equal seeds give equal schedules.
type schedule struct {
	cfg    Config
	random *rand.Rand
	offset time.Duration
	count  int
}

// scheduleRandomStream selects the random sequence of the calls; the streams use the
// sequences that follow it.
const scheduleRandomStream = 1

func newSchedule(cfg Config) *schedule {
	return &schedule{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, scheduleRandomStream))}
}

// next returns the next call of the run, or false at its end.
//
// The gaps are exponential, so calls arrive in bursts, as from many independent
// callers. They don't wait for earlier answers: as in production, a server that slows
// down still receives calls at the full rate.
func (s *schedule) next() (call, bool) {
	if s.cfg.Rate <= 0 || (s.cfg.Requests > 0 && s.count >= s.cfg.Requests) {
		return call{}, false
	}
	s.offset += time.Duration(s.random.ExpFloat64() / s.cfg.Rate * float64(time.Second))
	if s.offset >= s.cfg.Duration {
		return call{}, false
	}
	s.count++
	c := drawCall(s.cfg, s.random, fmt.Sprintf("call %d-%d", s.cfg.Seed, s.count))
	c.offset = s.offset
	return c, true
}

// drawCall draws all properties of a call except its start time.
func drawCall(cfg Config, random *rand.Rand, name string) call {
	c := call{
		kind:        drawKind(cfg.Mix, random),
		tokens:      cfg.Tokens,
		prompt:      uniquePrompt(name, cfg.Prompt),
		class:       pick(cfg.Classes, random),
		customerKey: pick(cfg.Keys, random),
	}
	if random.Float64() < cfg.Idempotent {
		c.idempotencyKey = burdockid.IdempotencyKey(name)
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

// uniquePrompt returns a prompt that starts with name, so that a prefix cache can't
// serve one call from another.
func uniquePrompt(name string, words int) string {
	return name + strings.Repeat(" gain", max(0, words-2))
}
