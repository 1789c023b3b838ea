// Package burdockqueuelab measures the queue of burdockqueue against a model of
// one engine, beside first come, first served and plain priority, on the same
// seeded arrivals.
//
// Callers wait until their deadline and then hang up, whatever the policy. One
// that is refused comes back after the time it was told, as long as that is
// before its deadline.
package burdockqueuelab
