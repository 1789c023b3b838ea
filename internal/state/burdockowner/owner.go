// Package burdockowner assigns idempotency keys to agents. The keys of a service are
// hashed to slots. Each slot has one owner, an agent, and only the owner runs requests
// with these keys. It is recorded in the configuration, where it is called the key's home.
//
// Ownership has no lease, so requests with keys are served during an outage of the store.
// An owner loses a slot only in three cases: it hands the slot over, a new process of
// the same upstream takes its place, or operators remove its upstream from the fleet
// because the VM no longer exists.
package burdockowner

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

// Prefix is the prefix of the configuration keys of slot owners.
const Prefix = "keyHome/"

// Owner is the owner of one slot.
type Owner struct {
	Upstream    burdockid.Upstream    `json:"upstream"`
	Incarnation burdockid.Incarnation `json:"incarnation"`
	// CompleteSince is the wall-clock time since which every run of the slot's keys
	// is in the owner's ledger; 0 for the first owner.
	CompleteSince burdockclock.Millis `json:"sinceMillis"`
	// HandedOverBy is the incarnation that handed over its ledger records; empty if the
	// owner took over without them.
	HandedOverBy burdockid.Incarnation `json:"from,omitempty"`
}

// VersionedOwner is an owner with the version of its configuration entry.
type VersionedOwner struct {
	Owner
	Version burdockid.Version
}

// Owners has the owners of one service's slots.
type Owners map[burdockledger.Slot]VersionedOwner

// Key returns the configuration key of a slot's owner.
func Key(service burdockid.Service, slot burdockledger.Slot) string {
	return fmt.Sprintf("%s%s/%d", Prefix, service, slot)
}

// Parse decodes and validates the configuration entry of a slot's owner.
func Parse(e burdockconfig.Entry) (burdockid.Service, burdockledger.Slot, VersionedOwner, error) {
	service, number, ok := strings.Cut(strings.TrimPrefix(e.Key, Prefix), "/")
	slot, err := strconv.Atoi(number)
	// Each slot has exactly one key. If 017 were accepted as 17, two entries could
	// contain the slot's owner, and processes that receive them in different order
	// would disagree.
	canonical := Key(burdockid.Service(service), burdockledger.Slot(slot)) == e.Key
	if !ok || err != nil || slot < 0 || slot >= burdockledger.SlotCount || !canonical {
		return "", 0, VersionedOwner{}, burdockconfig.ErrMalformed.New("key %q does not contain a valid slot", e.Key)
	}
	owner := VersionedOwner{Version: e.Version}
	if err := json.Unmarshal(e.Value, &owner.Owner); err != nil {
		return "", 0, VersionedOwner{}, burdockconfig.ErrMalformed.Wrap(err, "%s", e.Key)
	}
	if owner.Upstream == "" || owner.Incarnation == "" || owner.CompleteSince < 0 {
		return "", 0, VersionedOwner{}, burdockconfig.ErrMalformed.New("%s: the value contains no valid owner", e.Key)
	}
	return burdockid.Service(service), burdockledger.Slot(slot), owner, nil
}

// Encode returns the value of the configuration entry of an owner.
func Encode(o Owner) ([]byte, error) { return json.Marshal(o) }

// Rank returns the position of an upstream, from 0, in the order of preference that a
// slot has for the members. The order is the same in every process.
func Rank(service burdockid.Service, slot burdockledger.Slot, members []burdockid.Upstream, u burdockid.Upstream) int {
	self := candidate{u, weight(service, slot, u)}
	rank := 0
	for _, m := range members {
		if compare(candidate{m, weight(service, slot, m)}, self) < 0 {
			rank++
		}
	}
	return rank
}

// Order returns the members in the slot's order of preference. An agent that leaves
// calls it once for each slot. Each weight is computed only once, because otherwise the
// order for a service of 633 replicas takes seconds of CPU time.
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

// candidate is a member with its weight for a slot.
type candidate struct {
	upstream burdockid.Upstream
	weight   uint64
}

// compare orders candidates by preference: highest weight first, then by name.
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
