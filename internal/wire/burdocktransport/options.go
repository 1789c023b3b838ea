package burdocktransport

import "connectrpc.com/connect"

// compression is the only algorithm that the RPC library enables by default.
const compression = "gzip"

const (
	// messageOverhead covers what a message contains besides a caller's body and headers.
	// It also covers the largest message without these: the records of one slot of
	// idempotency keys, 16384 lines of about 70 bytes.
	messageOverhead = 4 << 20
	// maxAnswerBytes bounds one message of an answer from another process. The largest
	// is a whole configuration: some hundreds of keys, few of which exceed some kilobytes.
	maxAnswerBytes = 64 << 20
)

// MaxResponseHeader bounds the head of a response in bytes, interim ones included. It is several
// times the size that the platform allows callers to send; without a bound of ours, net/http takes
// 10 MiB for each request.
const MaxResponseHeader = 64 << 10

// ClientOptions returns the options of all RPC clients for entries and agents.
//
// They disable compression. Streams send one message per token, and by default the library
// compresses each message separately, which costs several times as much as forwarding it
// and makes it longer.
func ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithAcceptCompression(compression, nil, nil),
		connect.WithReadMaxBytes(maxAnswerBytes),
	}
}

// HandlerOptions returns the options of all RPC handlers of entries and agents, for bodies
// and headers of callers up to the given sizes in bytes.
//
// They bound the memory of one message. A peer of another version, or an unknown client
// where plain TCP is accepted, could send a message without end until memory runs out. A
// message is read completely before it is checked, so its length is limited first. Without
// compression it can't expand to more than was sent.
func HandlerOptions(body int64, header int) []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCompression(compression, nil, nil),
		connect.WithReadMaxBytes(int(body) + header + messageOverhead),
	}
}
