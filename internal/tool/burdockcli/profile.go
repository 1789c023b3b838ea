package burdockcli

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockentity"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/tool/burdockcheck"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func (c *CLI) profile() *ffcli.Command {
	return c.groupCommand("profile", "check, apply and list profiles", burdockcheck.ProfileCommand(c.stdout), c.profileApply(), c.profileList())
}

func (c *CLI) profileApply() *ffcli.Command {
	flags := c.flags("burdock profile apply")
	storeAddress := storeFlag(flags)
	base := flags.Uint64("base", 0, "version that a file with one profile was edited from; refuses if another is in force")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "burdock profile apply -store IP:PORT FILE",
		ShortHelp:  "check a file of profiles and put them in force",
		FlagSet:    flags,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			file, data, err := readFile(args)
			if err != nil {
				return err
			}
			profiles, err := burdockprofile.Parse(file, data)
			if err != nil {
				return usageError{err}
			}
			return c.applyProfiles(ctx, *storeAddress, profiles, burdockid.Version(*base))
		},
	}
}

func (c *CLI) applyProfiles(ctx context.Context, storeAddress string, profiles []burdockprofile.Profile, base burdockid.Version) error {
	if base > 0 && len(profiles) != 1 {
		return usage("-base goes with a file that holds one profile; this one holds %d", len(profiles))
	}
	store, err := openStore(storeAddress)
	if err != nil {
		return err
	}
	wanted, err := burdockprofile.Split(profiles)
	if err != nil {
		return err
	}
	entries, err := listEntries(ctx, store)
	if err != nil {
		return err
	}
	if base > 0 {
		if err := c.checkBase(entries[wanted[0].Key], wanted[0], base); err != nil {
			return err
		}
	}
	return c.apply(ctx, store, entries, diffEdits(entries, wanted))
}

func (c *CLI) profileList() *ffcli.Command {
	return c.listCommand("profile list", "list the profiles in the store with their versions", func(entries map[string]burdockconfig.Entry) error {
		profiles, err := burdockprofile.Assemble(entitiesUnder(entries, burdockentity.ProfilePrefix))
		if err != nil {
			return err
		}
		w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "PROFILE\tVERSION\tCLASSES")
		for _, p := range profiles {
			version := entries[burdockentity.ProfilePrefix+string(p.Name)].Version
			_, _ = fmt.Fprintf(w, "%s\t%d\t%s\n", p.Name, version, classNames(p))
		}
		return w.Flush()
	})
}

func classNames(p burdockprofile.Profile) string {
	var names []string
	for class := range slices.Values(p.Classes) {
		names = append(names, class.Name)
	}
	return strings.Join(names, ", ")
}

// readFile reads the one file that a command takes.
func readFile(args []string) (string, []byte, error) {
	if len(args) != 1 {
		return "", nil, usage("one file must be named, got %d", len(args))
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return "", nil, usageError{err}
	}
	return args[0], data, nil
}
