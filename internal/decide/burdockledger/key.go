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

// SlotCount is how many parts the keys of a service are divided into. Each part
// has one home. Services with more replicas than that have replicas that are
// the home of none.
const SlotCount = 256

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
func SlotOf(k Key) Slot { return Slot(k[0] % SlotCount) }

const (
	uuidLength      = 36
	uuidVersionAt   = 14
	uuidTimeOctets  = 6
	uuidTimeOrdered = '7'
)

// uuidGroups are the lengths of the groups between a UUID's dashes.
var uuidGroups = [...]int{8, 4, 4, 4, 12}

// CreationTime returns when a key was made, on the wall clock of whoever made it. A
// time-ordered UUID (version 7) says so; other keys do not, also when they
// look much like one: a time read out of a customer's own numbers could make
// an old key look new, and run it again.
func CreationTime(key burdockid.IdempotencyKey) (burdockclock.Millis, bool) {
	octets, ok := uuidOctets(string(key))
	if !ok || key[uuidVersionAt] != uuidTimeOrdered {
		return 0, false
	}
	var at burdockclock.Millis
	for _, octet := range octets[:uuidTimeOctets] {
		at = at<<8 | burdockclock.Millis(octet)
	}
	return at, true
}

// uuidOctets returns the octets of a UUID in its usual text form.
func uuidOctets(s string) ([]byte, bool) {
	if len(s) != uuidLength {
		return nil, false
	}
	groups := strings.Split(s, "-")
	if len(groups) != len(uuidGroups) {
		return nil, false
	}
	for i, group := range groups {
		if len(group) != uuidGroups[i] {
			return nil, false
		}
	}
	octets, err := hex.DecodeString(strings.Join(groups, ""))
	return octets, err == nil
}
