package burdockrank

import (
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/state/burdockfleet"
)

// LeaseStore is what the duty of a group needs of the configuration store. The
// methods are those of burdockstore.Store.
type LeaseStore interface {
	Acquire(ctx context.Context, name, holder string, ttl burdockclock.Millis) (burdockstore.Lease, error)
	Fence(ctx context.Context, name string) (burdockid.Fence, error)
	Release(ctx context.Context, name, holder string) error
}

// Assignment is a place in a group; the zero value is none. A machine that was made
// for one seat knows nothing that holds for another.
type Assignment struct {
	Group string
	Rank  burdockid.Rank
	Ranks int
}

// Directory tells who is in which group.
type Directory interface {
	// Assignment returns the place of the upstream beside this agent.
	Assignment() Assignment
	// Agent returns the IP:port of the agent of a rank, or "".
	Agent(group string, rank burdockid.Rank) string
	// Refresh asks for the addresses of a group's agents to be read again, since
	// one is missing or doesn't answer. It doesn't wait.
	Refresh(group string)
	// Reload reads the addresses of a group's agents and waits for them. Without an
	// answer those known before stand.
	Reload(ctx context.Context, group string)
	// Experts returns how the upstream's service weighs even ranks against
	// moves of experts.
	Experts() burdockprofile.Experts
}

// fleetDirectory reads the operators' membership.
type fleetDirectory struct {
	fleet    *burdockfleet.Fleet
	upstream burdockid.Upstream
}

// NewFleetDirectory returns the directory that the operators' membership is.
func NewFleetDirectory(fleet *burdockfleet.Fleet, upstream burdockid.Upstream) Directory {
	return fleetDirectory{fleet, upstream}
}

// Assignment implements Directory.
func (d fleetDirectory) Assignment() Assignment {
	fleet := d.fleet.Now()
	u, ok := fleet.Upstreams[d.upstream]
	if !ok || u.Group == "" {
		return Assignment{}
	}
	return Assignment{Group: u.Group, Rank: u.Rank, Ranks: len(groupOf(fleet, u))}
}

// Agent implements Directory.
func (d fleetDirectory) Agent(_ string, rank burdockid.Rank) string {
	fleet := d.fleet.Now()
	for _, u := range groupOf(fleet, fleet.Upstreams[d.upstream]) {
		if u.Rank == rank {
			return u.Agent
		}
	}
	return ""
}

// Refresh implements Directory. The fleet follows the membership by itself.
func (d fleetDirectory) Refresh(string) {}

// Reload implements Directory.
func (d fleetDirectory) Reload(context.Context, string) {}

// Experts implements Directory.
func (d fleetDirectory) Experts() burdockprofile.Experts {
	fleet := d.fleet.Now()
	return fleet.Profile(fleet.Upstreams[d.upstream].Service).Experts
}

// groupOf returns the members of an upstream's group.
func groupOf(fleet *burdockfleet.Snapshot, of burdockmember.Upstream) []burdockmember.Upstream {
	var members []burdockmember.Upstream
	for _, u := range fleet.Members[of.Service] {
		if u.Group == of.Group {
			members = append(members, u)
		}
	}
	return members
}
