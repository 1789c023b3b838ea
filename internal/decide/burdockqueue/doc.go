// Package burdockqueue decides what happens to each request that is offered to one
// engine: start it, queue it, or refuse it at once.
//
// It is meant for an engine with continuous batching, which runs several requests
// concurrently, and for load that exceeds the engine's capacity for minutes on end. It
// uses no sockets, goroutines or clock: the caller passes in the time and acts on the
// returned decisions.
//
// The class of the next request is chosen by the first of these rules that applies:
//
//   - a class that has had queued requests for its MaxStarvation without a start gets one
//     start;
//   - otherwise, the most urgent class with queued requests and a slot it may use is next.
//
// Within the class, the customer with the least service so far is next, measured in tokens
// over its share (start-time fair queueing), and of its requests the oldest, or the
// newest if the class is configured so.
package burdockqueue
