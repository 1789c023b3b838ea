// Package burdockbend balances requests across model replicas and plain
// services. It starts the two processes of a fleet from their settings: an
// entry, which callers connect to, and the agent that runs next to one upstream.
//
// The programs in cmd are thin wrappers around New. docs/DEVELOPERS.md shows a
// request's path through the packages behind it.
package burdockbend

import (
	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"burdockbend.example/burdockbend/internal/serve/burdockprocess"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

// Process is a running entry or agent.
type Process interface {
	// Ready returns why the process should receive no requests, or "" when it is ready.
	Ready() string
	// PeerAddress returns the address for the system's other processes.
	PeerAddress() string
	// AdminAddress returns the address for operators.
	AdminAddress() string
	// Stop drains the process. It returns when no request is in flight, or at the
	// end of the grace period.
	Stop()
}

// Option configures a process.
type Option func(*options)

type options struct {
	role role
	file string
	data []byte
	log  func(level string) *zap.Logger
}

type role int

const (
	roleNone role = iota
	roleEntry
	roleAgent
)

// ErrNoRole is returned by New when neither WithEntry nor WithAgent is given.
var ErrNoRole = errorx.NewNamespace("burdockbend").NewType("noRole")

// WithEntry selects an entry with the settings in data. Findings name file as their
// source.
func WithEntry(file string, data []byte) Option {
	return func(o *options) { o.role, o.file, o.data = roleEntry, file, data }
}

// WithAgent selects an agent with the settings in data. Findings name file as their
// source.
func WithAgent(file string, data []byte) Option {
	return func(o *options) { o.role, o.file, o.data = roleAgent, file, data }
}

// WithLog sets the function that creates the logger for the level in the settings.
// Without it nothing is logged.
func WithLog(log func(level string) *zap.Logger) Option {
	return func(o *options) { o.log = log }
}

// New validates the settings and starts the process. Invalid settings start nothing
// and return a *burdockfinding.Error with every finding and its position.
func New(opts ...Option) (Process, error) {
	o := options{log: func(string) *zap.Logger { return zap.NewNop() }}
	for _, opt := range opts {
		opt(&o)
	}
	switch o.role {
	case roleEntry:
		return o.startEntry()
	case roleAgent:
		return o.startAgent()
	default:
		return nil, ErrNoRole.New("want WithEntry or WithAgent")
	}
}

func (o options) startEntry() (Process, error) {
	settings, err := burdocksettings.LoadEntry(o.file, o.data)
	if err != nil {
		return nil, err
	}
	e, err := burdockprocess.StartEntry(settings, o.log(settings.LogLevel))
	if err != nil {
		return nil, err
	}
	return e, nil
}

func (o options) startAgent() (Process, error) {
	settings, err := burdocksettings.LoadAgent(o.file, o.data)
	if err != nil {
		return nil, err
	}
	a, err := burdockprocess.StartAgent(settings, o.log(settings.LogLevel))
	if err != nil {
		return nil, err
	}
	return a, nil
}
