package burdockload

import (
	"net/netip"
	"time"

	"github.com/joomcode/errorx"
)

// Limits of one run, so that a mistyped flag can't flood an address or run without
// end.
const (
	maxRate     = 20000
	maxDuration = time.Hour
	maxRequests = 10_000_000
	maxStreams  = 4096
	maxTokens   = 100_000
	maxTurns    = 100
)

// Mix holds the weights of the kinds of calls.
type Mix struct {
	Streamed float64 // chat with a streamed answer
	Whole    float64 // chat with an unstreamed answer
	Plain    float64 // call to a plain service
}

func (m Mix) total() float64 { return m.Streamed + m.Whole + m.Plain }

// Config describes the calls that a run sends.
type Config struct {
	// Rate is the mean number of calls per second; 0 sends only the streams.
	Rate float64
	// Duration is how long new calls are started.
	Duration time.Duration
	// Requests limits the number of calls; 0 means that only Duration limits it.
	Requests int
	// Streams is the number of streams that are kept open in addition to the calls.
	Streams int
	// Seed determines arrivals, kinds, classes and keys.
	Seed uint64
	Mix  Mix
	// Tokens is the length of a chat's answer; StreamTokens is that of a stream that
	// is kept open.
	Tokens       int
	StreamTokens int
	// Prompt is the length of a prompt in words.
	Prompt    int
	Model     string
	PlainPath string
	// Classes are the priority classes, one drawn at random for each call. When empty,
	// the header is omitted.
	Classes []string
	// Keys are customers' API keys, one drawn at random for each call.
	Keys []string
	// Idempotent is the fraction of calls that carry an idempotency key, from 0 to 1.
	Idempotent float64
	// Timeout limits each call.
	Timeout time.Duration
}

// check returns an error for the first invalid field.
func (c Config) check() error {
	switch {
	case c.Rate < 0 || c.Rate > maxRate:
		return errorx.IllegalArgument.New("the rate must be from 0 to %d calls a second", maxRate)
	case c.Duration <= 0 || c.Duration > maxDuration:
		return errorx.IllegalArgument.New("the duration must be above 0 and at most %v", maxDuration)
	case c.Requests < 0 || c.Requests > maxRequests:
		return errorx.IllegalArgument.New("the number of requests must be from 0 to %d", maxRequests)
	case c.Streams < 0 || c.Streams > maxStreams:
		return errorx.IllegalArgument.New("the number of streams must be from 0 to %d", maxStreams)
	case c.Rate == 0 && c.Streams == 0:
		return errorx.IllegalArgument.New("neither a rate nor streams are given")
	case c.Tokens < 1 || c.Tokens > maxTokens || c.StreamTokens < 1 || c.StreamTokens > maxTokens:
		return errorx.IllegalArgument.New("the tokens of an answer must be from 1 to %d", maxTokens)
	case c.Mix.Streamed < 0 || c.Mix.Whole < 0 || c.Mix.Plain < 0 || c.Mix.total() <= 0:
		return errorx.IllegalArgument.New("the mix must hold no negative weight and at least one above 0")
	case c.Idempotent < 0 || c.Idempotent > 1:
		return errorx.IllegalArgument.New("the part with an idempotency key must be from 0 to 1")
	case c.Timeout <= 0:
		return errorx.IllegalArgument.New("the timeout must be above 0")
	}
	return nil
}

// checkAddress rejects an address outside this machine unless anyAddress is set: load
// sent to a wrong address looks like an attack there.
func checkAddress(address string, anyAddress bool) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return errorx.IllegalArgument.New("%q is not an IP number and port", address)
	}
	if !anyAddress && !parsed.Addr().IsLoopback() {
		return errorx.IllegalArgument.New("%s is not on this machine; -any-address allows it", address)
	}
	return nil
}
