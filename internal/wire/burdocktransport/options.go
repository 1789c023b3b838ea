package burdocktransport

import "connectrpc.com/connect"

// compression is the one algorithm that the RPC library offers by itself.
const compression = "gzip"

const (
	// messageSlack covers what a message holds beside a caller's body and
	// headers, and the largest one without either: the memory of one slot of
	// idempotency keys, 16384 lines of about 70 bytes.
	messageSlack = 4 << 20
	// maxAnswerBytes bounds one message that another process answers with. The
	// largest is a whole configuration, some hundreds of keys of which few have
	// more than some kilobytes.
	maxAnswerBytes = 64 << 20
)

// ClientOptions returns what every client of the system's own processes sets.
//
// Load: a message for each token of each stream. Harm: with the library's
// default each token is compressed by itself, which costs several times what
// passing it on does and makes it longer, not shorter.
func ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithAcceptCompression(compression, nil, nil),
		connect.WithReadMaxBytes(maxAnswerBytes),
	}
}

// HandlerOptions returns what every handler of the system's own processes
// sets, for processes that pass on bodies and headers up to a size.
//
// Failure: a peer of another version, or a stranger where plain TCP is
// accepted, sends a message without end. Symptom: memory runs out. A message
// is read whole before it is looked at, so its length is bounded first; without
// an algorithm for compression it can't unfold to more than was sent.
func HandlerOptions(body int64, header int) []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCompression(compression, nil, nil),
		connect.WithReadMaxBytes(int(body) + header + messageSlack),
	}
}
