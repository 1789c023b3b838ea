package burdocksettings

import "burdockbend.example/burdockbend/internal/base/burdockclock"

// The values of keys that a settings file leaves out.
const (
	defaultLogLevel = "info"

	// A header holds a key and a few ids: a quarter of net/http's default
	// is plenty, and each open connection may cost that much.
	defaultMaxHeaderBytes = 256 << 10
	// The longest prompt in use is far below this; a body is held in memory
	// while a request is placed, so the limit bounds what one sender costs.
	defaultMaxBodyBytes = 8 << 20
	// A sender slower than this holds a connection for nothing.
	defaultReadHeaderTimeoutMillis = 5 * burdockclock.Second
	defaultBodyTimeoutMillis       = 30 * burdockclock.Second
	// Longer than the idle time of usual clients and balancers, so that the
	// client closes first and none of its requests meets a closing connection.
	defaultIdleTimeoutMillis = 2 * burdockclock.Minute
	// A reader that takes nothing for so long is taken for gone.
	defaultWriteStallMillis = 30 * burdockclock.Second
	defaultMaxConnections   = 4096

	// Twice the deadline of a class that states none: a stop ends as soon as
	// nothing is in flight, so a long bound costs nothing.
	defaultDrainGraceMillis = 10 * burdockclock.Minute
	// The usual batch of a small replica; more would wait inside the engine,
	// where the agent can neither order nor refuse it.
	defaultSlots = 16
)

// SetDefaults fills in what holds when a file leaves a key out.
func (c *Common) SetDefaults() {
	c.LogLevel = defaultLogLevel
	c.Limits = Limits{
		MaxHeaderBytes:          defaultMaxHeaderBytes,
		MaxBodyBytes:            defaultMaxBodyBytes,
		ReadHeaderTimeoutMillis: defaultReadHeaderTimeoutMillis,
		BodyTimeoutMillis:       defaultBodyTimeoutMillis,
		IdleTimeoutMillis:       defaultIdleTimeoutMillis,
		WriteStallMillis:        defaultWriteStallMillis,
		MaxConnections:          defaultMaxConnections,
	}
}

// SetDefaults fills in what holds when a file leaves a key out.
func (e *Entry) SetDefaults() {
	e.Common.SetDefaults()
	e.DrainGraceMillis = defaultDrainGraceMillis
}

// SetDefaults fills in what holds when a file leaves a key out.
func (a *Agent) SetDefaults() {
	a.Common.SetDefaults()
	a.Slots = defaultSlots
	a.DrainGraceMillis = defaultDrainGraceMillis
}
