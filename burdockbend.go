// Package burdockbend balances requests across model replicas and plain
// services. It starts the two processes of a fleet from their settings: an
// entry, which callers speak to, and the agent beside one upstream.
//
// The programs in cmd are thin wrappers around New. docs/DEVELOPERS.md shows a
// request's way through the packages behind it.
package burdockbend

import (
	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"burdockbend.example/burdockbend/internal/serve/burdockprocess"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

// Process is a running entry or agent.
type Process interface {
	// Ready returns why the process should get no work, or "".
	Ready() string
	// PeerAddress is where the system's other processes reach it.
	PeerAddress() string
	// AdminAddress is where operators reach it.
	AdminAddress() string
	// Stop is the planned stop. It returns when nothing is in flight, or at the
	// end of the grace time.
	Stop()
}

// Option sets one thing about a process.
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

// ErrNoRole says that New was given neither an entry's settings nor an agent's.
var ErrNoRole = errorx.NewNamespace("burdockbend").NewType("noRole")

// WithEntry asks for an entry with the settings in data. The file is named in
// findings.
func WithEntry(file string, data []byte) Option {
	return func(o *options) { o.role, o.file, o.data = roleEntry, file, data }
}

// WithAgent asks for an agent with the settings in data. The file is named in
// findings.
func WithAgent(file string, data []byte) Option {
	return func(o *options) { o.role, o.file, o.data = roleAgent, file, data }
}

// WithLog makes the log at the level that the settings name. Without it
// nothing is logged.
func WithLog(log func(level string) *zap.Logger) Option {
	return func(o *options) { o.log = log }
}

// New checks the settings and starts the process. Settings that are wrong give
// a *burdockfinding.Error with every finding and its place, and start nothing.
func New(opts ...Option) (Process, error) {
	o := options{log: func(string) *zap.Logger { return zap.NewNop() }}
	for _, opt := range opts {
		opt(&o)
	}
	switch o.role {
	case roleEntry:
		return o.entry()
	case roleAgent:
		return o.agent()
	default:
		return nil, ErrNoRole.New("want WithEntry or WithAgent")
	}
}

func (o options) entry() (Process, error) {
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

func (o options) agent() (Process, error) {
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
