// Package burdockledger decides whether a request with an idempotency key may run.
// Each key has one owner, the only agent that may run it. The owner's ledger records
// which keys it has let run.
//
// The package does no I/O: time is passed in. A Ledger is not safe for concurrent
// use; callers hold a lock around each call.
package burdockledger

import (
	"encoding/hex"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"github.com/cespare/xxhash/v2"
)

// SlotCount is the number of slots that the keys of a service are divided into. Each
// slot has one owner. With more replicas than slots, some replicas own none.
const SlotCount = 256

// Slot is the number of a slot, from 0.
type Slot int

// Key is a hash of a customer and an idempotency key. Two customers may use the same
// key for different requests.
type Key [2]uint64

// KeyOf returns the key under which a ledger records a request.
func KeyOf(customer burdockid.Customer, key burdockid.IdempotencyKey) Key {
	text := string(customer) + "\x00" + string(key)
	return Key{xxhash.Sum64String(text), xxhash.Sum64String("burdock\x00" + text)}
}

// SlotOf returns the slot that k belongs to.
func SlotOf(k Key) Slot { return Slot(k[0] % SlotCount) }

const (
	uuidLength       = 36
	uuidVersionIndex = 14
	uuidTimeOctets   = 6
	uuidVersion7     = '7'
)

// uuidGroups are the lengths of the groups between a UUID's dashes.
var uuidGroups = [...]int{8, 4, 4, 4, 12}

// CreationTime returns when a key was created, on the wall clock of its creator. Only
// a time-ordered UUID (version 7) contains this time. Keys that merely look similar
// are not interpreted: a time read out of a customer's own numbers could make an old
// key look new, and its request would run again.
func CreationTime(key burdockid.IdempotencyKey) (burdockclock.Millis, bool) {
	octets, ok := uuidOctets(string(key))
	if !ok || key[uuidVersionIndex] != uuidVersion7 {
		return 0, false
	}
	var millis burdockclock.Millis
	for _, octet := range octets[:uuidTimeOctets] {
		millis = millis<<8 | burdockclock.Millis(octet)
	}
	return millis, true
}

// uuidOctets returns the octets of a UUID in its canonical text form.
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
