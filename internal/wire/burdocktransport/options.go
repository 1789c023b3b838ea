package burdocktransport

import "connectrpc.com/connect"

// compression is the one algorithm that the RPC library offers by itself.
const compression = "gzip"

// ClientOptions returns what every client of the system's own processes sets.
//
// Load: a message for each token of each stream. Harm: with the library's
// default each token is compressed by itself, which costs several times what
// passing it on does and makes it longer, not shorter.
func ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{connect.WithAcceptCompression(compression, nil, nil)}
}

// HandlerOptions returns what every handler of the system's own processes
// sets. Without an algorithm a message can't unfold to more than was sent.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithCompression(compression, nil, nil)}
}
