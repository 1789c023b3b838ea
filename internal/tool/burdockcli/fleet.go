package burdockcli

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"burdockbend.example/burdockbend/internal/config/burdockentity"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdockowner"
	"burdockbend.example/burdockbend/internal/state/burdocksync"
	"burdockbend.example/burdockbend/internal/tool/burdockcheck"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// fleetPrefixes are the key prefixes of the entities that a fleet file lists in full:
// an entity that is not in the file is removed from the store.
var fleetPrefixes = []string{
	burdockentity.ServicePrefix,
	burdockentity.UpstreamPrefix,
	burdockentity.CustomerPrefix,
	burdockentity.EntryPrefix,
}

func (c *CLI) fleet() *ffcli.Command {
	return c.groupCommand("fleet", "check, apply and list the fleet's membership", burdockcheck.FleetCommand(c.stdout), c.fleetApply(), c.fleetList())
}

func (c *CLI) fleetApply() *ffcli.Command {
	flags := c.flags("burdock fleet apply")
	storeAddress := storeFlag(flags)
	destroyed := flags.String("gone", "", "upstreams whose VM is destroyed, with commas; needed to remove one that idempotency keys depend on")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "burdock fleet apply -store IP:PORT [-gone NAMES] FILE",
		ShortHelp:  "check a fleet file against the profiles in the store and put it in force",
		LongHelp:   "What the file leaves out is removed from the fleet.",
		FlagSet:    flags,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			file, data, err := readFile(args)
			if err != nil {
				return err
			}
			return c.applyFleet(ctx, *storeAddress, strings.Split(*destroyed, ","), file, data)
		},
	}
}

func (c *CLI) applyFleet(ctx context.Context, storeAddress string, destroyed []string, file string, data []byte) error {
	store, err := openStore(storeAddress)
	if err != nil {
		return err
	}
	entries, err := listEntries(ctx, store)
	if err != nil {
		return err
	}
	profiles, err := burdockprofile.Assemble(entitiesUnder(entries, burdockentity.ProfilePrefix))
	if err != nil {
		return err
	}
	fleet, err := burdockmember.Parse(file, data, profiles)
	if err != nil {
		return usageError{err}
	}
	wanted, err := burdockmember.Split(fleet)
	if err != nil {
		return err
	}
	edits := diffEdits(entries, wanted, fleetPrefixes...)
	if err := checkRemoved(entries, edits, destroyed); err != nil {
		return err
	}
	return c.apply(ctx, store, entries, edits)
}

// checkRemoved refuses to remove an upstream that owns idempotency key slots, unless
// the operator confirms that its VM is destroyed.
//
// An upstream that does not answer may be partitioned or paused and still run
// requests. If it is removed, other upstreams take over its keys, and a request may
// run twice. Only operators can know that a VM is destroyed. An upstream that was
// stopped as planned owns no slot.
func checkRemoved(entries map[string]burdockconfig.Entry, edits []burdocksync.Edit, destroyed []string) error {
	slotsOwned := map[string]int{}
	for key, e := range entries {
		if !strings.HasPrefix(key, burdockowner.Prefix) {
			continue
		}
		if _, _, owner, err := burdockowner.Parse(e); err == nil {
			slotsOwned[string(owner.Upstream)]++
		}
	}
	var refused []string
	for _, edit := range edits {
		name, isUpstream := strings.CutPrefix(edit.Key, burdockentity.UpstreamPrefix)
		if edit.Deleted && isUpstream && slotsOwned[name] > 0 && !slices.Contains(destroyed, name) {
			refused = append(refused, name)
		}
	}
	if len(refused) == 0 {
		return nil
	}
	slices.Sort(refused)
	names := strings.Join(refused, ",")
	return usage("the fleet file leaves out %s, which may still run requests with idempotency keys; stop its agent as planned first, or say -gone %s if its VM is destroyed; nothing was changed", names, names)
}

func (c *CLI) fleetList() *ffcli.Command {
	return c.listCommand("fleet list", "list the services and upstreams in the store", func(entries map[string]burdockconfig.Entry) error {
		fleet, err := burdockmember.Assemble(entitiesUnder(entries, append(fleetPrefixes, burdockentity.SiteKey)...))
		if err != nil {
			return err
		}
		return c.printFleet(fleet)
	})
}

func (c *CLI) printFleet(fleet burdockmember.Fleet) error {
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE\tKIND\tPROFILE")
	for _, s := range fleet.Services {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", s.Name, s.Kind, s.Profile)
	}
	_, _ = fmt.Fprintln(w, "\nUPSTREAM\tSERVICE\tDATA CENTRE\tAGENT")
	for _, u := range fleet.Upstreams {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", u.Name, u.Service, u.DataCentre, u.Agent)
	}
	return w.Flush()
}
