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
	return c.groupCommand("config", "compare the configuration in the store and in processes", c.configCompare())
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
			holders := []holder{storeHolder(entries, err)}
			for _, address := range addresses {
				holders = append(holders, processHolder(ctx, address))
			}
			return c.printComparison(holders)
		},
	}
}

// keyVersion is the version of one key in the store or in a process.
type keyVersion struct {
	Version burdockid.Version `json:"version"`
	Mark    string            `json:"mark"`
	Deleted bool              `json:"deleted"`
}

// String formats the version for a table cell.
func (v keyVersion) String() string {
	switch {
	case v.Version == 0:
		return "-"
	case v.Deleted:
		return fmt.Sprintf("%d deleted", v.Version)
	default:
		return fmt.Sprint(v.Version)
	}
}

// holder is the store or a process, with the configuration versions that it holds.
type holder struct {
	name     string
	role     string
	digest   burdockconfig.Digest
	versions map[string]keyVersion
	err      error
}

func storeHolder(entries map[string]burdockconfig.Entry, err error) holder {
	h := holder{name: "store", role: "store", versions: map[string]keyVersion{}, err: err}
	view := burdockconfig.NewView()
	view.Merge(slices.Collect(maps.Values(entries)))
	h.digest = view.Digest()
	for key, e := range entries {
		h.versions[key] = keyVersion{Version: e.Version, Mark: e.Mark, Deleted: e.Deleted}
	}
	return h
}

func processHolder(ctx context.Context, address string) holder {
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
		Versions map[string]keyVersion `json:"versions"`
	}
	h.err = json.Unmarshal(state, &dump)
	h.role, h.digest, h.versions = dump.Role, dump.Config.Digest, dump.Versions
	return h
}

// printComparison prints one line per holder, and one per key whose versions differ.
// It returns an error if a holder did not answer or a key differs.
func (c *CLI) printComparison(holders []holder) error {
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "HOLDER\tROLE\tDIGEST\tKEYS")
	var answered []holder
	for _, h := range holders {
		if h.err != nil {
			_, _ = fmt.Fprintf(w, "%s\t%s\tno answer\t%v\n", h.name, h.role, h.err)
			continue
		}
		answered = append(answered, h)
		_, _ = fmt.Fprintf(w, "%s\t%s\t%016x\t%d\n", h.name, h.role, uint64(h.digest), len(h.versions))
	}
	keys := differingKeys(answered)
	printKeys(w, answered, keys)
	if err := w.Flush(); err != nil {
		return err
	}
	if unanswered := len(holders) - len(answered); unanswered > 0 || len(keys) > 0 {
		return errorx.ExternalError.New("%d holders did not answer, %d keys differ among the others", unanswered, len(keys))
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

// differingKeys returns the keys whose versions are not the same in all holders.
func differingKeys(holders []holder) []string {
	differing := map[string]bool{}
	for _, h := range holders {
		for key, version := range h.versions {
			if version != holders[0].versions[key] {
				differing[key] = true
			}
		}
		for key, version := range holders[0].versions {
			if version != h.versions[key] {
				differing[key] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(differing))
}
