// Package burdockhome says which agent is the home of which idempotency keys.
// Each slot of a service's keys has one home, which the configuration names;
// only the home lets a request with such a key run.
//
// A home keeps its slots without a lease: while the store is out, requests
// with keys go on. It loses them only by handing them over itself, to its own
// successor on the same VM, or when operators take its upstream out of the
// fleet, which says that the VM is gone.
package burdockhome

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"github.com/cespare/xxhash/v2"
)

// Prefix is where the homes lie in the configuration.
const Prefix = "keyHome/"

// Owner is the home of one slot.
type Owner struct {
	Upstream    burdockid.Upstream    `json:"upstream"`
	Incarnation burdockid.Incarnation `json:"incarnation"`
	// CompleteSince is the instant, on the wall clock, from which on the home's
	// ledger holds every run of the slot's keys; 0 for the first home.
	CompleteSince burdockclock.Millis `json:"sinceMillis"`
	// HandedOverBy is the incarnation that handed its memory over; empty when the home
	// took over without one.
	HandedOverBy burdockid.Incarnation `json:"from,omitempty"`
}

// VersionedOwner is a home with the version of its configuration entry.
type VersionedOwner struct {
	Owner
	Version burdockid.Version
}

// Owners are the homes of one service's slots.
type Owners map[burdockledger.Slot]VersionedOwner

// Key returns the configuration key of a slot's home.
func Key(service burdockid.Service, slot burdockledger.Slot) string {
	return fmt.Sprintf("%s%s/%d", Prefix, service, slot)
}

// Parse reads the home in a configuration entry.
func Parse(e burdockconfig.Entry) (burdockid.Service, burdockledger.Slot, VersionedOwner, error) {
	service, number, ok := strings.Cut(strings.TrimPrefix(e.Key, Prefix), "/")
	slot, err := strconv.Atoi(number)
	// A slot has one key. Were 017 taken for 17, two entries would name its home,
	// and processes that read them in different order would differ.
	canonical := Key(burdockid.Service(service), burdockledger.Slot(slot)) == e.Key
	if !ok || err != nil || slot < 0 || slot >= burdockledger.SlotCount || !canonical {
		return "", 0, VersionedOwner{}, burdockconfig.ErrMalformed.New("no slot in key %q", e.Key)
	}
	home := VersionedOwner{Version: e.Version}
	if err := json.Unmarshal(e.Value, &home.Owner); err != nil {
		return "", 0, VersionedOwner{}, burdockconfig.ErrMalformed.Wrap(err, "%s", e.Key)
	}
	if home.Upstream == "" || home.Incarnation == "" || home.CompleteSince < 0 {
		return "", 0, VersionedOwner{}, burdockconfig.ErrMalformed.New("%s: no home in the value", e.Key)
	}
	return burdockid.Service(service), burdockledger.Slot(slot), home, nil
}

// Encode returns the value of a home's configuration entry.
func Encode(h Owner) ([]byte, error) { return json.Marshal(h) }

// Rank returns the place of an upstream among the members in the order that a
// slot prefers, from 0. Every process comes to the same order.
func Rank(service burdockid.Service, slot burdockledger.Slot, members []burdockid.Upstream, u burdockid.Upstream) int {
	own := candidate{u, weight(service, slot, u)}
	rank := 0
	for _, m := range members {
		if compare(candidate{m, weight(service, slot, m)}, own) < 0 {
			rank++
		}
	}
	return rank
}

// Order returns the members in the order that a slot prefers. A leaving agent
// asks for it once for each slot; each weight is taken once, since a slot of a
// service of 633 replicas would else cost seconds of processor time.
func Order(service burdockid.Service, slot burdockledger.Slot, members []burdockid.Upstream) []burdockid.Upstream {
	candidates := make([]candidate, len(members))
	for i, m := range members {
		candidates[i] = candidate{m, weight(service, slot, m)}
	}
	slices.SortFunc(candidates, compare)
	ordered := make([]burdockid.Upstream, len(members))
	for i, c := range candidates {
		ordered[i] = c.upstream
	}
	return ordered
}

// candidate is a member with how much a slot prefers it.
type candidate struct {
	upstream burdockid.Upstream
	weight   uint64
}

// compare puts the candidate that a slot prefers first.
func compare(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.upstream, b.upstream))
}

func weight(service burdockid.Service, slot burdockledger.Slot, u burdockid.Upstream) uint64 {
	var text [64]byte
	buf := append(text[:0], service...)
	buf = append(buf, '/')
	buf = strconv.AppendInt(buf, int64(slot), 10)
	buf = append(buf, '/')
	buf = append(buf, u...)
	return xxhash.Sum64(buf)
}
