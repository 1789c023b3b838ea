package burdocksync

import (
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
)

// Source tells where a process has its configuration from.
type Source struct {
	clock burdockclock.Clock

	mu      sync.Mutex
	machine burdockcharts.ConfigurationMachine
	storeAt burdockclock.Millis // last answer of the store, on the boot clock
	peerAt  burdockclock.Millis
	// verifiedAt is when this process last knew that it is not cut off.
	verifiedAt burdockclock.Millis
}

// verifiedFor is how long a process relies on having heard from others. It is
// several times the pull interval, longer than a watch of the store waits and
// a slow store adds, and far shorter than the time that a duty is left alone
// before another process takes it over.
const verifiedFor = 15 * burdockclock.Second

// NewSource returns a source that has heard of nothing yet.
func NewSource(clock burdockclock.Clock) *Source {
	return &Source{clock: clock, machine: burdockcharts.NewConfiguration()}
}

// SourceState is what a dump shows of a source.
type SourceState struct {
	State          burdockcharts.ConfigurationState `json:"state"`
	StoreAgoMillis burdockclock.Millis              `json:"storeAgoMillis"`
	PeerAgoMillis  burdockclock.Millis              `json:"peerAgoMillis"`
	Verified       bool                             `json:"verified"`
}

// State returns where the configuration is from. A span is -1 for never.
func (s *Source) State() SourceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return SourceState{
		State:          s.machine.State(),
		StoreAgoMillis: s.ago(s.storeAt),
		PeerAgoMillis:  s.ago(s.peerAt),
		Verified:       s.verifiedAt > 0 && s.clock.Boot()-s.verifiedAt <= verifiedFor,
	}
}

func (s *Source) ago(at burdockclock.Millis) burdockclock.Millis {
	if at == 0 {
		return -1
	}
	return s.clock.Boot() - at
}

// Ready reports whether the process has a configuration at all.
func (s *Source) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.State() != burdockcharts.ConfigurationStarting
}

// Current reports whether the store answers.
func (s *Source) Current() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.State() == burdockcharts.ConfigurationCurrent
}

// Verified reports whether the process has heard, within seconds, from the
// store, or from a process that was itself verified.
//
// Failure: a process is frozen, or cut off, while others take over its duties;
// then it wakes and believes it still holds them. Symptom: two homes of one
// key. The time counts while a VM is suspended, so a process that wakes is not
// verified, and those frozen with it can't verify it; it first has to hear of
// what changed.
func (s *Source) Verified() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verifiedAt > 0 && s.clock.Boot()-s.verifiedAt <= verifiedFor
}

// verify records that a verified process, or the store, was heard from.
func (s *Source) verify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verifiedAt = s.clock.Boot()
}

func (s *Source) fire(e burdockcharts.ConfigurationEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch e {
	case burdockcharts.ConfigurationEventReadStore:
		s.storeAt = s.clock.Boot()
	case burdockcharts.ConfigurationEventReadPeer:
		s.peerAt = s.clock.Boot()
	}
	if _, err := s.machine.Fire(e); err != nil {
		panic(err) // each event is handled or ignored in each state
	}
}
