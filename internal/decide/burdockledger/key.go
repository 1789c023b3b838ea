// Package burdockledger decides whether a request with an idempotency key may
// run. The agent that is the home of a key is the only one to run it, and its
// ledger remembers which keys it has let run.
//
// The package is pure: time is passed in. A Ledger is not safe for concurrent
// use; its owner holds a lock around each call.
package burdockledger

import (
	"encoding/hex"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"github.com/cespare/xxhash/v2"
)

// Slots is how many parts the keys of a service are divided into. Each part
// has one home. Services with more replicas than that have replicas that are
// the home of none.
const Slots = 256

// Slot numbers one part of a service's keys, from 0.
type Slot int

// Key is the hash of a customer's idempotency key. Two customers may use the
// same key for different requests.
type Key [2]uint64

// KeyOf returns the key that a ledger keeps.
func KeyOf(customer burdockid.Customer, key burdockid.IdempotencyKey) Key {
	text := string(customer) + "\x00" + string(key)
	return Key{xxhash.Sum64String(text), xxhash.Sum64String("burdock\x00" + text)}
}

// SlotOf returns the part of the service's keys that k belongs to.
func SlotOf(k Key) Slot { return Slot(k[0] % Slots) }

const (
	uuidLength      = 36
	uuidVersionAt   = 14
	uuidTimeDigits  = 12
	uuidTimeOrdered = '7'
)

// Birth returns when a key was made, on the wall clock of whoever made it. A
// time-ordered UUID (version 7) says so; other keys do not.
func Birth(key burdockid.IdempotencyKey) (burdockclock.Millis, bool) {
	s := string(key)
	if len(s) != uuidLength || s[uuidVersionAt] != uuidTimeOrdered || strings.Count(s, "-") != 4 {
		return 0, false
	}
	digits := s[0:8] + s[9:13]
	b, err := hex.DecodeString(digits)
	if err != nil || len(digits) != uuidTimeDigits {
		return 0, false
	}
	var at burdockclock.Millis
	for _, octet := range b {
		at = at<<8 | burdockclock.Millis(octet)
	}
	return at, true
}
