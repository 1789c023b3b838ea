package burdocksettings

import "burdockbend.example/burdockbend/internal/base/burdockclock"

// Defaults of the keys that a settings file may leave out.
const (
	defaultLogLevel = "info"

	// A request's header contains a key and a few ids, for which a quarter of
	// net/http's default is ample. Each open connection may use that much memory.
	defaultMaxHeaderBytes = 256 << 10
	// The longest prompt in use is far below this. A body stays in memory until the
	// request is placed, so this limits the memory that one sender can take.
	defaultMaxBodyBytes = 8 << 20
	// A slower sender occupies a connection without making use of it.
	defaultReadHeaderTimeoutMillis = 5 * burdockclock.Second
	defaultBodyTimeoutMillis       = 30 * burdockclock.Second
	// Longer than the idle timeout of common clients and load balancers. The client
	// then closes first, and none of its requests arrives on a connection that the
	// server is closing.
	defaultIdleTimeoutMillis = 2 * burdockclock.Minute
	// A receiver that reads nothing for this long is considered gone.
	defaultWriteStallMillis = 30 * burdockclock.Second
	defaultMaxConnections   = 4096

	// Twice the default deadline of a class. A stop ends as soon as no request is in
	// flight, so a long limit costs nothing.
	defaultDrainGraceMillis = 10 * burdockclock.Minute
	// The typical batch size of a small replica. Further requests would queue inside
	// the engine, where the agent can neither reorder nor refuse them.
	defaultSlots = 16
)

// SetDefaults sets the values of the keys that a file may leave out.
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

// SetDefaults sets the values of the keys that a file may leave out.
func (e *Entry) SetDefaults() {
	e.Common.SetDefaults()
	e.DrainGraceMillis = defaultDrainGraceMillis
}

// SetDefaults sets the values of the keys that a file may leave out.
func (a *Agent) SetDefaults() {
	a.Common.SetDefaults()
	a.Slots = defaultSlots
	a.DrainGraceMillis = defaultDrainGraceMillis
}
