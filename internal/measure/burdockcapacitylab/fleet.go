package burdockcapacitylab

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockkey"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdockfleet"
	"burdockbend.example/burdockbend/internal/state/burdockowner"
)

// Size is how many things of each kind a configuration has.
type Size struct {
	Upstreams int
	Customers int
	Services  int
	Entries   int
}

// Sizes are the current size, an intermediate one, and the design size.
var Sizes = []Size{
	{Upstreams: 16, Customers: 10, Services: 1, Entries: 3},
	{Upstreams: 400, Customers: 400, Services: 6, Entries: 35},
	{Upstreams: 3800, Customers: 3800, Services: 6, Entries: 350},
}

const dataCentreCount = 10

func dataCentre(i int) burdockid.DataCentre {
	return burdockid.DataCentre(fmt.Sprintf("gua-hall-%d", i%dataCentreCount))
}

func serviceName(i int) burdockid.Service { return burdockid.Service(fmt.Sprintf("llm-pool-%d", i)) }

func upstreamName(i int) burdockid.Upstream {
	return burdockid.Upstream(fmt.Sprintf("replica-%04d", i))
}

// Fleet returns a membership of the given size. Nothing listens on its addresses.
func Fleet(size Size) burdockmember.Fleet {
	f := burdockmember.Fleet{Site: "gt-gua"}
	for i := range dataCentreCount {
		f.DataCentres = append(f.DataCentres, burdockmember.DataCentre{Name: dataCentre(i)})
	}
	for i := range size.Services {
		f.Services = append(f.Services, burdockmember.Service{
			Name: serviceName(i), Kind: burdockmember.KindModel, Profile: "bench",
			Models: []string{fmt.Sprintf("netlist-writer-%d", i)}, MaxPromptTokens: 8192,
		})
	}
	for i := range size.Upstreams {
		f.Upstreams = append(f.Upstreams, upstream(i, size))
	}
	for i := range size.Entries {
		f.Entries = append(f.Entries, burdockmember.Entry{
			VM: burdockid.VM(fmt.Sprintf("entry-%03d", i)), DataCentre: dataCentre(i), Peer: fmt.Sprintf("127.0.2.%d:1", i%250+1),
		})
	}
	for i := range size.Customers {
		name := fmt.Sprintf("customer-%04d", i)
		f.Customers = append(f.Customers, burdockmember.Customer{
			Name: burdockid.Customer(name), KeyHash: burdockkey.Hash(name),
		})
	}
	return f
}

func upstream(i int, size Size) burdockmember.Upstream {
	return burdockmember.Upstream{
		Name:       upstreamName(i),
		Service:    serviceName(i % size.Services),
		VM:         burdockid.VM(fmt.Sprintf("vm-%04d", i)),
		DataCentre: dataCentre(i),
		Agent:      fmt.Sprintf("127.0.1.%d:1", i%250+1),
	}
}

// Entries returns the configuration of a fleet: its membership, and for each service the
// owner of every slot, which is the upstream that the slot prefers.
func Entries(f burdockmember.Fleet) ([]burdockconfig.Entry, error) {
	entities, err := burdockmember.Split(f)
	if err != nil {
		return nil, err
	}
	entries := make([]burdockconfig.Entry, 0, len(entities)+len(f.Services)*burdockledger.SlotCount)
	for _, e := range entities {
		entries = append(entries, entry(e.Key, 1, e.Value))
	}
	for _, s := range f.Services {
		owners, err := ownerEntries(s.Name, f.Upstreams)
		if err != nil {
			return nil, err
		}
		entries = append(entries, owners...)
	}
	return entries, nil
}

// entry returns a configuration entry whose mark is as long as a real writer's.
func entry(key string, version burdockid.Version, value []byte) burdockconfig.Entry {
	return burdockconfig.Entry{Key: key, Version: version, Mark: string(burdockid.NewRequest()), Value: value}
}

func ownerEntries(service burdockid.Service, upstreams []burdockmember.Upstream) ([]burdockconfig.Entry, error) {
	var members []burdockid.Upstream
	for _, u := range upstreams {
		if u.Service == service {
			members = append(members, u.Name)
		}
	}
	var entries []burdockconfig.Entry
	for slot := range burdockledger.Slot(burdockledger.SlotCount) {
		owner := burdockowner.Owner{Upstream: burdockowner.Order(service, slot, members)[0], Incarnation: burdockid.NewIncarnation()}
		value, err := burdockowner.Encode(owner)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry(burdockowner.Key(service, slot), 1, value))
	}
	return entries, nil
}

// state is the configuration in the memory of a process.
type state struct {
	view  *burdockconfig.View
	fleet *burdockfleet.Fleet
}

func newState(entries []burdockconfig.Entry) state {
	view := burdockconfig.NewView()
	s := state{view: view, fleet: burdockfleet.Follow(view)}
	view.Merge(entries)
	return s
}
