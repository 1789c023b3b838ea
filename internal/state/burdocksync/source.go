package burdocksync

import (
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
)

// Source records from where, and when, a process last received its configuration.
type Source struct {
	clock burdockclock.Clock

	mu      sync.Mutex
	machine burdockcharts.ConfigurationMachine
	storeAt burdockclock.Millis // last answer of the store, on the boot clock; 0 for never
	peerAt  burdockclock.Millis
	// verifiedAt is when this process last received an answer that shows that it is not
	// partitioned; 0 for never.
	verifiedAt burdockclock.Millis
}

// verifiedTTL is how long a process counts as verified after its last contact. It is several
// times the pull interval and longer than a watch of a slow store takes, but far shorter
// than the time after which another process takes over the roles of a silent one.
const verifiedTTL = 15 * burdockclock.Second

// NewSource returns a source without any contact yet.
func NewSource(clock burdockclock.Clock) *Source {
	return &Source{clock: clock, machine: burdockcharts.NewConfiguration()}
}

// SourceState is the state of a Source as shown in the state dump.
type SourceState struct {
	State          burdockcharts.ConfigurationState `json:"state"`
	StoreAgoMillis burdockclock.Millis              `json:"storeAgoMillis"`
	PeerAgoMillis  burdockclock.Millis              `json:"peerAgoMillis"`
	Verified       bool                             `json:"verified"`
}

// State returns the current state. The times since the last contact are -1 for never.
func (s *Source) State() SourceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return SourceState{
		State:          s.machine.State(),
		StoreAgoMillis: s.elapsed(s.storeAt),
		PeerAgoMillis:  s.elapsed(s.peerAt),
		Verified:       s.verifiedAt > 0 && s.clock.Boot()-s.verifiedAt <= verifiedTTL,
	}
}

func (s *Source) elapsed(at burdockclock.Millis) burdockclock.Millis {
	if at == 0 {
		return -1
	}
	return s.clock.Boot() - at
}

// Ready reports whether the process has a configuration.
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

// Verified reports whether the process has, within verifiedTTL, received an answer from the
// store, or an exchange with a process that was itself verified.
//
// It protects against a process that is suspended or partitioned while others take over
// its roles, and that resumes in the belief that it still has them: one key slot would have
// two owners. The boot clock goes on while a VM is suspended, so a process that resumes is
// not verified, and processes suspended with it can't verify it. It first has to receive
// what changed.
func (s *Source) Verified() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verifiedAt > 0 && s.clock.Boot()-s.verifiedAt <= verifiedTTL
}

// markVerified records contact with the store or with a verified process.
func (s *Source) markVerified() {
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
