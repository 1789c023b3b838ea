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
}

// NewSource returns a source that has heard of nothing yet.
func NewSource(clock burdockclock.Clock) *Source {
	return &Source{clock: clock, machine: burdockcharts.NewConfiguration()}
}

// SourceState is what a dump shows of a source.
type SourceState struct {
	State          burdockcharts.ConfigurationState `json:"state"`
	StoreAgoMillis burdockclock.Millis              `json:"storeAgoMillis"`
	PeerAgoMillis  burdockclock.Millis              `json:"peerAgoMillis"`
}

// State returns where the configuration is from. A span is -1 for never.
func (s *Source) State() SourceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return SourceState{State: s.machine.State(), StoreAgoMillis: s.ago(s.storeAt), PeerAgoMillis: s.ago(s.peerAt)}
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
