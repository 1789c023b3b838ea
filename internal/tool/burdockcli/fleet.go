package burdockcli

import (
	"context"
	"fmt"
	"text/tabwriter"

	"burdockbend.example/burdockbend/internal/config/burdockentity"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/tool/burdockcheck"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// fleetPrefixes are the kinds of entities that a fleet file holds whole: what
// the file leaves out is removed.
var fleetPrefixes = []string{
	burdockentity.ServicePrefix,
	burdockentity.UpstreamPrefix,
	burdockentity.CustomerPrefix,
	burdockentity.EntryPrefix,
}

func (c *CLI) fleet() *ffcli.Command {
	return c.group("fleet", "check, apply and list the fleet's membership", burdockcheck.FleetCommand(c.stdout), c.fleetApply(), c.fleetList())
}

func (c *CLI) fleetApply() *ffcli.Command {
	flags := c.flags("burdock fleet apply")
	storeAddress := storeFlag(flags)
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "burdock fleet apply -store IP:PORT FILE",
		ShortHelp:  "check a fleet file against the profiles in the store and put it in force",
		LongHelp:   "What the file leaves out is removed from the fleet.",
		FlagSet:    flags,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			file, data, err := readFile(args)
			if err != nil {
				return err
			}
			return c.applyFleet(ctx, *storeAddress, file, data)
		},
	}
}

func (c *CLI) applyFleet(ctx context.Context, storeAddress, file string, data []byte) error {
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
	return c.apply(ctx, store, edits(entries, wanted, fleetPrefixes...))
}

func (c *CLI) fleetList() *ffcli.Command {
	flags := c.flags("burdock fleet list")
	storeAddress := storeFlag(flags)
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "burdock fleet list -store IP:PORT",
		ShortHelp:  "list the services and upstreams in the store",
		FlagSet:    flags,
		Options:    options(),
		Exec: func(ctx context.Context, _ []string) error {
			store, err := openStore(*storeAddress)
			if err != nil {
				return err
			}
			entries, err := listEntries(ctx, store)
			if err != nil {
				return err
			}
			fleet, err := burdockmember.Assemble(entitiesUnder(entries, append(fleetPrefixes, burdockentity.SiteKey)...))
			if err != nil {
				return err
			}
			return c.printFleet(fleet)
		},
	}
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
