// Package burdockid holds the named types for ids and units that every other
// package shares. docs/GLOSSARY.md defines the terms.
package burdockid

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// DataCentre names one data centre of a site, such as "gua-hall-a".
type DataCentre string

// VM names one virtual machine of the fleet.
type VM string

// Customer names one customer.
type Customer string

// Upstream names one back end: a replica of a model or of a plain service.
type Upstream string

// Service names what a caller asks for: a model or a plain service.
type Service string

// Profile names a profile of settings that operators define.
type Profile string

// Request identifies one request on each of its hops.
type Request string

// PromptPart identifies a part of a prompt that several requests may share.
type PromptPart string

// Clone returns a copy that doesn't hold on to the memory of a longer string.
func (p PromptPart) Clone() PromptPart { return PromptPart(strings.Clone(string(p))) }

// IdempotencyKey is a caller's key that identifies repeats of one request.
type IdempotencyKey string

// Incarnation identifies one run of a process on a VM.
type Incarnation string

// Version is the version of one configuration key. It only increases.
type Version uint64

// Fence is a fencing token. An order with a lower one than already seen is rejected.
type Fence uint64

// Tokens counts prompt or output tokens.
type Tokens int64

// Group is the name of a lock-stepped group of engines.
type Group string

// Rank numbers a member of a lock-stepped group, from 0.
type Rank int

// Step numbers a step of a lock-stepped group.
type Step uint64

// Since returns the number of steps from earlier to s, or 0 if s is not after earlier. Steps
// are unsigned, so a plain difference would wrap around.
func (s Step) Since(earlier Step) Step {
	if s <= earlier {
		return 0
	}
	return s - earlier
}

// Expert numbers an expert of one layer, from 0.
type Expert int

// MapVersion numbers an expert map of one group. It only increases.
type MapVersion uint64

const randomBytes = 12

// NewRequest returns a request id that can't be guessed.
func NewRequest() Request { return Request(randomHex()) }

// NewIncarnation returns an id for a process that has just started.
func NewIncarnation() Incarnation { return Incarnation(randomHex()) }

func randomHex() string {
	var b [randomBytes]byte
	// crypto/rand.Read never returns an error; it ends the process instead.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
