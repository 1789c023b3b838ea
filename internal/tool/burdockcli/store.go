package burdockcli

import (
	"bytes"
	"context"
	"flag"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockentity"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdocksync"
	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// storeFlag adds the flag for the store's addresses.
func storeFlag(flags *flag.FlagSet) *string {
	return flags.String("store", "", "IP:port of the configuration store; several with commas")
}

func openStore(addresses string) (burdockstore.Store, error) {
	if addresses == "" {
		return nil, usage("-store must name the configuration store, such as -store 10.0.0.7:2379")
	}
	return burdockstore.NewHTTP(strings.Split(addresses, ",")), nil
}

// listEntries returns all entries of the store by key, and an error if one can't be
// decoded.
func listEntries(ctx context.Context, store burdockstore.Store) (map[string]burdockconfig.Entry, error) {
	stored, _, err := store.List(ctx, burdockconfig.StorePrefix)
	if err != nil {
		return nil, errorx.Decorate(err, "read the configuration")
	}
	entries := map[string]burdockconfig.Entry{}
	for _, s := range stored {
		e, err := burdockconfig.Decode(s)
		if err != nil {
			return nil, err
		}
		entries[e.Key] = e
	}
	return entries, nil
}

// listCommand returns a command that prints entries of the store with show.
func (c *CLI) listCommand(name, help string, show func(map[string]burdockconfig.Entry) error) *ffcli.Command {
	flags := c.flags("burdock " + name)
	storeAddress := storeFlag(flags)
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "burdock " + name + " -store IP:PORT",
		ShortHelp:  help,
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
			return show(entries)
		},
	}
}

// entitiesUnder returns the entities under the prefixes, without deleted ones.
func entitiesUnder(entries map[string]burdockconfig.Entry, prefixes ...string) []burdockentity.Entity {
	var entities []burdockentity.Entity
	for key, e := range entries {
		if !e.Deleted && hasPrefix(key, prefixes) {
			entities = append(entities, burdockentity.Entity{Key: key, Value: e.Value})
		}
	}
	return entities
}

func hasPrefix(key string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// diffEdits returns the edits that turn entries into the wanted entities. Entities
// under the prune prefixes that are not wanted are deleted.
//
// Each edit carries the version that it was compared with as its base. Otherwise it
// could overwrite a concurrent edit of another operator.
func diffEdits(entries map[string]burdockconfig.Entry, wanted []burdockentity.Entity, prune ...string) []burdocksync.Edit {
	var edits []burdocksync.Edit
	keep := map[string]bool{}
	for _, entity := range wanted {
		keep[entity.Key] = true
		e, known := entries[entity.Key]
		if !known || e.Deleted || !bytes.Equal(e.Value, entity.Value) {
			edits = append(edits, burdocksync.Edit{Key: entity.Key, Value: entity.Value, Base: e.Version})
		}
	}
	for _, entity := range entitiesUnder(entries, prune...) {
		if !keep[entity.Key] {
			edits = append(edits, burdocksync.Edit{Key: entity.Key, Deleted: true, Base: entries[entity.Key].Version})
		}
	}
	return edits
}

// checkBase refuses an apply whose file was edited from another version than the
// current one.
func (c *CLI) checkBase(current burdockconfig.Entry, wanted burdockentity.Entity, base burdockid.Version) error {
	if current.Version != base {
		c.printDifferences("in the store", current, "in the file", burdockconfig.Entry{Value: wanted.Value})
		return burdocksync.ErrRace.New("%s is at version %d by now, the edit was made on version %d; nothing was changed", wanted.Key, current.Version, base)
	}
	return nil
}
