// Package burdockqueue decides what happens to each request that is offered to
// one engine: start it, let it wait, or refuse it at once.
//
// It is made for an engine that batches continuously, so that several requests
// run beside each other, and for load that exceeds what the engine can serve
// for minutes on end. It holds no sockets, goroutines or clock: the caller
// hands in the time and acts on what is returned.
//
// The order of starts is set by three rules, the first one first:
//
//   - a class that has had queued work for its MaxStarvation without a start
//     gets one start;
//   - the most urgent class that has queued work and a slot it may take;
//   - within the class, the customer with the least service so far, measured
//     in tokens over its share (start-time fair queueing), oldest work first.
package burdockqueue
