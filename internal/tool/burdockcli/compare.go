package burdockcli

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func (c *CLI) config() *ffcli.Command {
	return c.group("config", "compare the configuration in the store and in processes", c.configCompare())
}

func (c *CLI) configCompare() *ffcli.Command {
	flags := c.flags("burdock config compare")
	storeAddress := storeFlag(flags)
	return &ffcli.Command{
		Name:       "compare",
		ShortUsage: "burdock config compare -store IP:PORT IP:PORT...",
		ShortHelp:  "show which versions the store and each process hold, side by side",
		LongHelp: "Processes are named by their operators' addresses. The exit status is 0 only if all\n" +
			"answer and hold the same. While the store is out, processes are compared with one another.\n" +
			"The store keeps the newest version of each key alone, so older ones can't be shown.",
		FlagSet: flags,
		Options: options(),
		Exec: func(ctx context.Context, addresses []string) error {
			store, err := openStore(*storeAddress)
			if err != nil {
				return err
			}
			if len(addresses) == 0 {
				return usage("at least one process must be named")
			}
			entries, err := listEntries(ctx, store)
			holders := []holder{holderOfStore(entries, err)}
			for _, address := range addresses {
				holders = append(holders, holderAt(ctx, address))
			}
			return c.printComparison(holders)
		},
	}
}

// heldVersion is one key as the store or a process holds it.
type heldVersion struct {
	Version burdockid.Version `json:"version"`
	Mark    string            `json:"mark"`
	Deleted bool              `json:"deleted"`
}

// String returns the version as a column shows it.
func (v heldVersion) String() string {
	switch {
	case v.Version == 0:
		return "-"
	case v.Deleted:
		return fmt.Sprintf("%d deleted", v.Version)
	default:
		return fmt.Sprint(v.Version)
	}
}

// holder is the store, or a process, with what it holds.
type holder struct {
	name     string
	role     string
	digest   burdockconfig.Digest
	versions map[string]heldVersion
	err      error
}

func holderOfStore(entries map[string]burdockconfig.Entry, err error) holder {
	h := holder{name: "store", role: "store", versions: map[string]heldVersion{}, err: err}
	view := burdockconfig.NewView()
	view.Merge(slices.Collect(maps.Values(entries)))
	h.digest = view.Digest()
	for key, e := range entries {
		h.versions[key] = heldVersion{Version: e.Version, Mark: e.Mark, Deleted: e.Deleted}
	}
	return h
}

func holderAt(ctx context.Context, address string) holder {
	h := holder{name: address, role: "-"}
	state, err := fetchState(ctx, address)
	if err != nil {
		h.err = err
		return h
	}
	var dump struct {
		Role   string `json:"role"`
		Config struct {
			Digest burdockconfig.Digest `json:"digest"`
		} `json:"config"`
		Versions map[string]heldVersion `json:"versions"`
	}
	h.err = json.Unmarshal(state, &dump)
	h.role, h.digest, h.versions = dump.Role, dump.Config.Digest, dump.Versions
	return h
}

// printComparison prints one line for each holder and one for each key in
// which they differ.
func (c *CLI) printComparison(holders []holder) error {
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "HOLDER\tROLE\tDIGEST\tKEYS")
	var answering []holder
	for _, h := range holders {
		if h.err != nil {
			_, _ = fmt.Fprintf(w, "%s\t%s\tno answer\t%v\n", h.name, h.role, h.err)
			continue
		}
		answering = append(answering, h)
		_, _ = fmt.Fprintf(w, "%s\t%s\t%016x\t%d\n", h.name, h.role, uint64(h.digest), len(h.versions))
	}
	keys := differingKeys(answering)
	printKeys(w, answering, keys)
	if err := w.Flush(); err != nil {
		return err
	}
	if silent := len(holders) - len(answering); silent > 0 || len(keys) > 0 {
		return errorx.ExternalError.New("%d holders did not answer, %d keys differ among the others", silent, len(keys))
	}
	return nil
}

func printKeys(w *tabwriter.Writer, holders []holder, keys []string) {
	if len(keys) == 0 {
		return
	}
	names := make([]string, len(holders))
	for i, h := range holders {
		names[i] = h.name
	}
	_, _ = fmt.Fprintf(w, "\nKEY\t%s\n", strings.Join(names, "\t"))
	for _, key := range keys {
		cells := make([]string, len(holders))
		for i, h := range holders {
			cells[i] = h.versions[key].String()
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\n", key, strings.Join(cells, "\t"))
	}
}

// differingKeys returns the keys that not all holders hold alike.
func differingKeys(holders []holder) []string {
	all := map[string]bool{}
	for _, h := range holders {
		for key, version := range h.versions {
			if version != holders[0].versions[key] {
				all[key] = true
			}
		}
		for key, version := range holders[0].versions {
			if version != h.versions[key] {
				all[key] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(all))
}
