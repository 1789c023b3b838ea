package burdockagent

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdockfleet"
)

// policy contains the settings of the profile in force that apply to this agent.
type policy struct {
	digest       burdockconfig.Digest
	service      burdockid.Service
	stop         burdockprofile.Stop
	queue        burdockqueue.Config
	classes      map[string]burdockqueue.Class
	defaultClass burdockqueue.Class // for a request that names no known class
}

// slotsPerReservedSlot is the number of engine slots for each one that is reserved for
// the most urgent class. One in eight lets a burst of urgent requests start at once;
// docs/design/queue.md shows the effect of other values.
const slotsPerReservedSlot = 8

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
		p.queue.Classes[0].ReservedSlots = cfg.Slots / slotsPerReservedSlot
	}
	for _, share := range profile.Shares {
		p.queue.Shares[share.Customer] = share.Share
	}
	p.defaultClass = p.classes[profile.DefaultClass]
	return p
}

// class returns the class that a request names, or the default class if it is not in the
// profile. Entry and agent may have different versions of the profile for a moment.
func (p policy) class(name string) burdockqueue.Class {
	if class, ok := p.classes[name]; ok {
		return class
	}
	return p.defaultClass
}

// maxEnginePriority is the least urgent priority that engines know.
const maxEnginePriority = 9

// enginePriority returns the priority that the upstream is told; nil if the profile has a
// single class.
func (p policy) enginePriority(class burdockqueue.Class) *int {
	if len(p.queue.Classes) <= 1 {
		return nil
	}
	return new(int(min(class, maxEnginePriority)))
}

// maxTimeout limits the timeout of a request, as profiles do. A timeout of more than
// about 292 years would overflow time.Duration and count as expired.
const maxTimeout = 24 * burdockclock.Hour

// deadline returns the time at which a request's timeout expires; 0 if it has none.
func deadline(now, timeout burdockclock.Millis) burdockclock.Millis {
	if timeout <= 0 {
		return 0
	}
	return now + min(timeout, maxTimeout)
}
