// Package burdockcapacitylab measures the parts of the system at their current size and
// at the design size, for docs/CAPACITY.md: memory, processor time and message sizes.
// Its benchmark measures whole processes.
package burdockcapacitylab

import (
	"context"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Command returns the command "capacity", which prints to w.
func Command(w io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "capacity",
		ShortUsage: "burdock measure capacity",
		ShortHelp:  "measure memory, processor time and messages at today's size and the design's",
		FlagSet:    flag.NewFlagSet("capacity", flag.ContinueOnError),
		Exec: func(context.Context, []string) error {
			return print(w)
		},
	}
}

func print(w io.Writer) error {
	if err := printConfig(w); err != nil {
		return err
	}
	for _, table := range []func(io.Writer) error{printPools, printLedgers, printOwners, printHandovers} {
		if err := table(w); err != nil {
			return err
		}
	}
	return nil
}

func newTable(w io.Writer, title, columns string) *tabwriter.Writer {
	fmt.Fprintf(w, "\n%s\n", title)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, columns)
	return table
}

func printConfig(w io.Writer) error {
	table := newTable(w, "Configuration of one process",
		"upstreams\tcustomers\tkeys\theap KiB\tmerge µs\thome µs\tequal µs\tB\tone µs\tB\tall µs\tB\tlisting B\t")
	for _, size := range Sizes {
		c, err := MeasureConfig(size)
		if err != nil {
			return err
		}
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%s\t%s\t%s\t%d\t%s\t%d\t%s\t%d\t%d\t\n",
			size.Upstreams, size.Customers, c.Keys, c.Bytes>>10, micros(c.Merge), micros(c.MergeOwner),
			micros(c.SyncEqual.Time), c.SyncEqual.Bytes, micros(c.SyncOne.Time), c.SyncOne.Bytes,
			micros(c.SyncBuckets.Time), c.SyncBuckets.Bytes, c.Listing)
	}
	return table.Flush()
}

func printPools(w io.Writer) error {
	table := newTable(w, "An entry's pool of one service", "upstreams\theap KiB\tchoose µs\tsame members µs\tone fewer µs\t")
	for _, n := range []int{16, 400, 633, 3800} {
		c := MeasurePool(n)
		fmt.Fprintf(table, "%d\t%d\t%s\t%s\t%s\t\n", n, c.Bytes>>10, micros(c.Choose), micros(c.SetSame), micros(c.SetOther))
	}
	return table.Flush()
}

func printLedgers(w io.Writer) error {
	table := newTable(w, "An agent's ledger of keys", "keys\theap KiB\trepeat µs\tlines of a slot µs\ttake a tenth more µs\t")
	for _, n := range []int{1000, 10_000, 100_000, 200_000} {
		c := MeasureLedger(n)
		fmt.Fprintf(table, "%d\t%d\t%s\t%s\t%s\t\n", n, c.Bytes>>10, micros(c.Decide), micros(c.Lines), micros(c.Take))
	}
	return table.Flush()
}

func printOwners(w io.Writer) error {
	table := newTable(w, "One agent's round over the homes of its service", "members\tsettled µs\tno homes µs\tone rank µs\t")
	for _, n := range []int{16, 67, 633, 3800} {
		c := MeasureOwners(n)
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t\n", n, micros(c.Settled), micros(c.Unowned), micros(c.Rank))
	}
	return table.Flush()
}

func printHandovers(w io.Writer) error {
	table := newTable(w, "The message that hands a slot over", "keys\tB\t")
	for _, keys := range []int{0, 100, 1000} {
		fmt.Fprintf(table, "%d\t%d\t\n", keys, MeasureHandover(keys).Bytes)
	}
	return table.Flush()
}

// micros formats a duration in microseconds with three significant digits.
func micros(d time.Duration) string {
	return fmt.Sprintf("%.3g", float64(d)/float64(time.Microsecond))
}
