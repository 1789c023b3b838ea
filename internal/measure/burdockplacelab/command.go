package burdockplacelab

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Command returns the command "placing", which prints to w.
func Command(w io.Writer) *ffcli.Command {
	o := DefaultOptions()
	flags := flag.NewFlagSet("placing", flag.ContinueOnError)
	flags.IntVar(&o.Replicas, "replicas", o.Replicas, "replicas of the service")
	flags.IntVar(&o.Entries, "entries", o.Entries, "entries before them")
	flags.IntVar(&o.DataCentres, "datacentres", o.DataCentres, "data centres that both are spread over")
	flags.Int64Var((*int64)(&o.Lag), "lag", int64(o.Lag), "age of a load report in milliseconds")
	flags.Uint64Var(&o.Seed, "seed", o.Seed, "seed of every random number")
	flags.IntVar(&o.Slots, "slots", o.Slots, "requests that a replica works on together")
	flags.Float64Var(&o.Utilisation, "utilisation", o.Utilisation, "share of all slots that is filled")
	flags.IntVar(&o.PrefixesPerReplica, "prefixes", o.PrefixesPerReplica, "system prompts for each replica")
	flags.Float64Var(&o.Skew, "skew", o.Skew, "Zipf exponent of the system prompts; 0 is even")
	flags.Int64Var((*int64)(&o.CacheTokens), "cache", int64(o.CacheTokens), "tokens that a replica caches")
	flags.StringVar((*string)(&o.Scenario), "scenario", string(o.Scenario), "what goes wrong: steady, slow or lost")
	only := flags.String("policies", "", "policies to run, separated by commas; empty runs all")
	seconds := flags.Int64("seconds", int64(o.Measured/burdockclock.Second), "simulated seconds that are measured, after as many to warm up")
	flags.IntVar(&o.PlacerConfig.Owners, "home", 0, "upstreams that a prefix belongs to; 0 takes the default")
	flags.Float64Var(&o.PlacerConfig.BoundRatio, "bound", 0, "load, against the mean, beyond which a request spills; 0 takes the default")
	flags.IntVar(&o.PlacerConfig.BoundedOffers, "offers", 0, "offers of a request that carry the bound; 0 takes the default")
	return &ffcli.Command{
		Name:       "placing",
		ShortUsage: "burdock measure placing [flags]",
		ShortHelp:  "measure placing beside simple policies and perfect knowledge",
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			o.WarmUp = burdockclock.Millis(*seconds) * burdockclock.Second
			o.Measured = o.WarmUp
			if err := o.check(); err != nil {
				return err
			}
			policies, err := choosePolicies(*only)
			if err != nil {
				return err
			}
			return print(w, o, policies)
		},
	}
}

// choosePolicies returns the policies with the names in the comma-separated list, or
// all policies if it is empty.
func choosePolicies(list string) ([]Policy, error) {
	if list == "" {
		return Policies(), nil
	}
	var chosen []Policy
	for name := range strings.SplitSeq(list, ",") {
		i := slices.IndexFunc(Policies(), func(p Policy) bool { return policyName(p) == name })
		if i < 0 {
			return nil, errBadOptions.New("no policy is called %q", name)
		}
		chosen = append(chosen, Policies()[i])
	}
	return chosen, nil
}

func print(w io.Writer, o Options, policies []Policy) error {
	fmt.Fprintf(w, "%d replicas of %d slots, %d entries, %d data centres, %.0f%% filled, reports %d ms old, %s, seed %d\n",
		o.Replicas, o.Slots, o.Entries, o.DataCentres, 100*o.Utilisation, o.Lag, o.Scenario, o.Seed)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "policy\tload p50\tp99\tmost\tspread\twait p50\tp99 ms\thit rate\toffers\tremote\ton slow\tejected\tcut\tgiven up\trequests\t")
	for _, policy := range policies {
		r := Run(o, policy)
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%.3f\t%.2f\t%.2f\t%.4f\t%.2f\t%d\t%d\t%d\t\n",
			r.Policy, r.LoadP50, r.LoadP99, r.LoadMax, r.Spread, r.WaitP50, r.WaitP99,
			r.HitRate, r.Offers, r.RemoteShare, r.SlowShare, r.EjectedReplicas, r.Interrupted, r.Refused, r.Requests)
	}
	return table.Flush()
}

// check returns an error if the options are out of range.
func (o Options) check() error {
	switch {
	case o.Replicas < 1 || o.Entries < 1 || o.DataCentres < 1 || o.Slots < 1 || o.PrefixesPerReplica < 1:
		return errBadOptions.New("replicas, entries, datacentres, slots and prefixes must be 1 or more")
	case o.Utilisation <= 0 || o.Lag < 0 || o.CacheTokens < burdockid.Tokens(0) || o.Skew < 0:
		return errBadOptions.New("utilisation must be above 0; lag, cache and skew must be 0 or more")
	case o.Scenario != Steady && o.Scenario != SlowReplicas && o.Scenario != LostDataCentre:
		return errBadOptions.New("scenario must be steady, slow or lost")
	case o.Measured <= 0:
		return errBadOptions.New("seconds must be 1 or more")
	}
	return nil
}
