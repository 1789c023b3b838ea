package burdockload

import (
	"net/netip"
	"time"

	"github.com/joomcode/errorx"
)

// Bounds of one run, so that a slip of the pen can't flood an address or run
// for good.
const (
	maxRate     = 20000
	maxDuration = time.Hour
	maxRequests = 10_000_000
	maxStreams  = 4096
	maxTokens   = 100_000
	maxTurns    = 100
)

// Mix is how the kinds of calls share the load, as weights.
type Mix struct {
	Streamed float64 // chat, answered token by token
	Whole    float64 // chat, answered at once
	Plain    float64 // a call of a plain service
}

func (m Mix) total() float64 { return m.Streamed + m.Whole + m.Plain }

// Config says what a run sends.
type Config struct {
	// Rate is calls a second, on the average; 0 sends none beside the streams.
	Rate float64
	// Duration is the time in which calls begin.
	Duration time.Duration
	// Requests bounds how many calls begin; 0 leaves it to the duration.
	Requests int
	// Streams is how many streams are kept open beside the calls.
	Streams int
	// Seed fixes arrivals, kinds, classes and keys.
	Seed uint64
	Mix  Mix
	// Tokens is how long the answer of a chat is; StreamTokens that of a stream
	// that is kept open.
	Tokens       int
	StreamTokens int
	// Prompt is the length of a prompt in words.
	Prompt    int
	Model     string
	PlainPath string
	// Classes are drawn from for each call; with none the header is left out.
	Classes []string
	// Keys are those of customers, drawn from for each call.
	Keys []string
	// Idempotent is the part of calls that carry an idempotency key.
	Idempotent float64
	// Timeout is how long a call may take.
	Timeout time.Duration
}

// check returns what is wrong with a run, as one error.
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

// checkAddress refuses an address beyond this machine, unless any may be
// driven: a load that is sent to a wrong address looks like an attack there.
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
