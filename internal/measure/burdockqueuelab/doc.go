// Package burdockqueuelab simulates the queue of package burdockqueue in front of a
// model of one engine, and compares it with first come, first served and with plain
// priority on the same seeded arrivals.
//
// Callers hang up at their deadline under every policy. A refused caller retries
// after the reported time if that is before its deadline and it has attempts left.
package burdockqueuelab
