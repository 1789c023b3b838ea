// Package burdockload sends calls to an address at a given rate and mix, and reports
// latencies and failures as its callers see them.
package burdockload

import (
	"context"
	"flag"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// options are the command's flags: the configuration of a run and the flags that
// select or compare runs.
type options struct {
	cfg        Config
	mix        string
	classes    string
	keys       string
	compare    string
	turns      int
	anyAddress bool
}

// Command returns the load command, which sends calls to an address and prints the
// results to w.
func Command(w io.Writer) *ffcli.Command {
	var o options
	fs := flag.NewFlagSet("burdock load", flag.ContinueOnError)
	fs.Float64Var(&o.cfg.Rate, "rate", 20, "calls a second; their gaps are exponential")
	fs.DurationVar(&o.cfg.Duration, "duration", 10*time.Second, "time in which calls begin, for each turn")
	fs.IntVar(&o.cfg.Requests, "requests", 0, "calls at the most, for each turn; 0 leaves it to the duration")
	fs.IntVar(&o.cfg.Streams, "streams", 0, "streams that are kept open beside the calls")
	fs.Uint64Var(&o.cfg.Seed, "seed", 1, "seed of arrivals, kinds, classes and keys")
	fs.StringVar(&o.mix, "mix", "streamed=1", "weights of the kinds, such as streamed=8,whole=1,plain=1")
	fs.IntVar(&o.cfg.Tokens, "tokens", 16, "tokens of a chat's answer")
	fs.IntVar(&o.cfg.StreamTokens, "stream-tokens", 2000, "tokens of a stream that is kept open")
	fs.IntVar(&o.cfg.Prompt, "prompt", 64, "words of a prompt")
	fs.StringVar(&o.cfg.Model, "model", "netlist-writer", "model that a chat names")
	fs.StringVar(&o.cfg.PlainPath, "plain-path", "/licence/17", "path of a plain call")
	fs.StringVar(&o.classes, "classes", "", "priority classes to draw from, with commas; none leaves the header out")
	fs.StringVar(&o.keys, "keys", "", "customers' keys to draw from, with commas")
	fs.Float64Var(&o.cfg.Idempotent, "idempotent", 0, "part of the calls that carry an idempotency key")
	fs.DurationVar(&o.cfg.Timeout, "timeout", 30*time.Second, "time that one call may take")
	fs.StringVar(&o.compare, "compare", "", "second IP:port, which gets the same work in turns")
	fs.IntVar(&o.turns, "turns", 2, "turns of each address with -compare")
	fs.BoolVar(&o.anyAddress, "any-address", false, "allow addresses beyond this machine")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "burdock load [flags] IP:PORT",
		ShortHelp:  "drive an address with calls and show what callers see",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix("BURDOCK")},
		Exec:       func(ctx context.Context, args []string) error { return o.exec(ctx, w, args) },
	}
}

func (o *options) exec(ctx context.Context, w io.Writer, args []string) error {
	if len(args) != 1 {
		return errorx.IllegalArgument.New("one address must be given, got %d", len(args))
	}
	if err := o.parse(args[0]); err != nil {
		return err
	}
	if o.compare != "" {
		return o.runComparison(ctx, w, args[0])
	}
	result, err := Run(ctx, o.cfg, args[0])
	if err != nil {
		return err
	}
	return report(w, side{address: args[0], result: result})
}

// parse parses the list flags and checks the addresses.
func (o *options) parse(address string) (err error) {
	if o.cfg.Mix, err = parseMix(o.mix); err != nil {
		return err
	}
	o.cfg.Classes, o.cfg.Keys = splitList(o.classes), splitList(o.keys)
	if o.turns < 1 || o.turns > maxTurns {
		return errorx.IllegalArgument.New("the turns must be from 1 to %d", maxTurns)
	}
	if err := checkAddress(address, o.anyAddress); err != nil {
		return err
	}
	if o.compare == "" {
		return nil
	}
	return checkAddress(o.compare, o.anyAddress)
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// parseMix reads weights such as streamed=8,plain=1.
func parseMix(text string) (Mix, error) {
	var m Mix
	weights := map[string]*float64{"streamed": &m.Streamed, "whole": &m.Whole, "plain": &m.Plain}
	for _, part := range splitList(text) {
		name, number, _ := strings.Cut(part, "=")
		weight, known := weights[name]
		value, err := strconv.ParseFloat(number, 64)
		if !known || err != nil {
			return Mix{}, errorx.IllegalArgument.New("%q is no weight; want streamed, whole or plain, an equals sign and a number", part)
		}
		*weight = value
	}
	return m, nil
}

// runComparison sends the same calls to both addresses in turns, so that changes on
// the machine during the run affect both equally.
func (o *options) runComparison(ctx context.Context, w io.Writer, address string) error {
	sides := []side{{address, NewResult()}, {o.compare, NewResult()}}
	seed := o.cfg.Seed
	for turn := range o.turns {
		o.cfg.Seed = seed + uint64(turn)
		for _, s := range sides {
			result, err := Run(ctx, o.cfg, s.address)
			if err != nil {
				return err
			}
			s.result.Merge(result)
		}
	}
	if err := report(w, sides...); err != nil {
		return err
	}
	return printRatios(w, sides[0], sides[1])
}
