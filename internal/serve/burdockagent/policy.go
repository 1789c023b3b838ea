package burdockagent

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdockfleet"
)

// policy is what the profile in force says to this agent.
type policy struct {
	digest  burdockconfig.Digest
	service burdockid.Service
	stop    burdockprofile.Stop
	queue   burdockqueue.Config
	classes map[string]burdockqueue.Class
	usual   burdockqueue.Class // for a request that names none
}

// slotsPerKept is how many slots there are for each one that is kept for the
// most urgent class. One in eight lets a burst of urgent work start at once;
// docs/design/queue.md has what other numbers do.
const slotsPerKept = 8

func policyOf(cfg Config, fleet *burdockfleet.Snapshot) policy {
	service := cfg.Service
	if u, ok := fleet.Upstreams[cfg.Upstream]; ok {
		service = u.Service
	}
	profile := fleet.Profile(service)
	p := policy{
		digest:  fleet.Digest,
		service: service,
		stop:    profile.Stop,
		classes: map[string]burdockqueue.Class{},
		queue: burdockqueue.Config{
			Slots:        cfg.Slots,
			MaxQueued:    profile.Queue.MaxQueued,
			Shares:       map[burdockid.Customer]float64{},
			DefaultShare: profile.DefaultShare,
		},
	}
	for i, class := range profile.Classes {
		p.classes[class.Name] = burdockqueue.Class(i)
		p.queue.Classes = append(p.queue.Classes, burdockqueue.ClassConfig{
			Name:          class.Name,
			MaxStarvation: class.MaxStarvationMillis,
			MaxWait:       class.MaxWaitMillis,
		})
	}
	if len(p.queue.Classes) > 1 {
		p.queue.Classes[0].ReservedSlots = cfg.Slots / slotsPerKept
	}
	for _, share := range profile.Shares {
		p.queue.Shares[share.Customer] = share.Share
	}
	p.usual = p.classes[profile.DefaultClass]
	return p
}

// class returns the class that a request names, or the default: entry and
// agent may hold the profile in different versions for a moment.
func (p policy) class(name string) burdockqueue.Class {
	if class, ok := p.classes[name]; ok {
		return class
	}
	return p.usual
}

// mostLeft bounds the time left of a request, as profiles do. Beyond some 292 years a span does
// not fit the standard library's type, and would count as passed.
const mostLeft = 24 * burdockclock.Hour

// deadline converts the time left of a request to an instant; 0 is none.
func deadline(now, left burdockclock.Millis) burdockclock.Millis {
	if left <= 0 {
		return 0
	}
	return now + min(left, mostLeft)
}
