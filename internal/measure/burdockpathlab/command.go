// Package burdockpathlab measures the cost of the path through entry and agent: added
// time to the first token, processor time and memory. It compares them with the engine
// alone and with a bare hop, which only forwards. All processes must be running already;
// tools/measure-path starts them.
package burdockpathlab

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"burdockbend.example/burdockbend/internal/tool/burdockload"
	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Names of the paths.
const (
	pathDirect      = "engine alone"
	pathPassthrough = "bare hop"
	pathBalancer    = "entry and agent"
)

// answerTokens is small, so that the tokens of single requests hardly count beside those
// of the streams.
const answerTokens = 2

// options are the flags of the command.
type options struct {
	entry            string
	entryAdmin       string
	agentAdmin       string
	passthrough      string
	passthroughAdmin string
	engine           string
	key              string
	model            string
	rates            string
	streams          int
	turn             time.Duration
	turns            int
	seed             uint64
}

// Command returns the command that measures the path and prints the results to w.
func Command(w io.Writer) *ffcli.Command {
	var o options
	fs := flag.NewFlagSet("burdock measure path", flag.ContinueOnError)
	fs.StringVar(&o.entry, "entry", "", "IP:port of the entry for callers")
	fs.StringVar(&o.entryAdmin, "entry-admin", "", "IP:port of the entry for operators")
	fs.StringVar(&o.agentAdmin, "agent-admin", "", "IP:port of the agent for operators")
	fs.StringVar(&o.passthrough, "passthrough", "", "IP:port of the bare hop")
	fs.StringVar(&o.passthroughAdmin, "passthrough-admin", "", "IP:port of the bare hop's metrics")
	fs.StringVar(&o.engine, "engine", "", "IP:port of the stand-in engine")
	fs.StringVar(&o.key, "key", "", "a customer's key")
	fs.StringVar(&o.model, "model", "netlist-writer", "model that a chat names")
	fs.StringVar(&o.rates, "rates", "20,200", "requests a second, with commas")
	fs.IntVar(&o.streams, "streams", 64, "streams that are kept open")
	fs.DurationVar(&o.turn, "turn", 10*time.Second, "length of one turn of one path")
	fs.IntVar(&o.turns, "turns", 3, "turns of each path in each phase")
	fs.Uint64Var(&o.seed, "seed", 1, "seed of the arrivals")
	return &ffcli.Command{
		Name:       "path",
		ShortUsage: "burdock measure path -entry IP:PORT -engine IP:PORT -passthrough IP:PORT ... [flags]",
		ShortHelp:  "measure what entry and agent add to the engine alone",
		LongHelp:   "tools/measure-path starts the processes on loopback and runs this.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return errorx.IllegalArgument.New("unexpected argument %q", args[0])
			}
			return o.exec(ctx, w)
		},
	}
}

func (o options) exec(ctx context.Context, w io.Writer) error {
	rates, err := parseRates(o.rates)
	if err != nil {
		return err
	}
	for _, address := range []string{o.entry, o.entryAdmin, o.agentAdmin, o.passthrough, o.passthroughAdmin, o.engine} {
		if address == "" {
			return errorx.IllegalArgument.New("an address is missing; tools/measure-path gives them all")
		}
	}
	l := o.lab()
	balancer := l.paths[len(l.paths)-1]
	idle, err := readProcesses(ctx, balancer)
	if err != nil {
		return err
	}
	printMemory(w, balancer, idle)
	streamsOnly := phase{name: "streams alone", streams: o.streams}
	streams, err := l.run(ctx, streamsOnly)
	if err != nil {
		return err
	}
	if err := printPhase(w, streamsOnly, l.paths, streams); err != nil {
		return err
	}
	for _, rate := range rates {
		if err := o.measure(ctx, w, l, rate, streams); err != nil {
			return err
		}
	}
	return nil
}

// measure runs the phases of one request rate, first without streams, then with them.
func (o options) measure(ctx context.Context, w io.Writer, l *lab, rate float64, streams map[string]*sample) error {
	requestsOnly := phase{name: "requests alone", rate: rate}
	requests, err := l.run(ctx, requestsOnly)
	if err != nil {
		return err
	}
	if err := printPhase(w, requestsOnly, l.paths, requests); err != nil {
		return err
	}
	mixed := phase{name: "requests beside streams", rate: rate, streams: o.streams}
	mixedSamples, err := l.run(ctx, mixed)
	if err != nil {
		return err
	}
	if err := printPhase(w, mixed, l.paths, mixedSamples); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(w)
	return printCosts(w, mixed, l.paths, streams, requests, mixedSamples)
}

func (o options) lab() *lab {
	return &lab{
		turns: o.turns,
		load: burdockload.Config{
			Duration: o.turn, Seed: o.seed, Mix: burdockload.Mix{Streamed: 1},
			Tokens: answerTokens, StreamTokens: streamTokens(o.turn), Prompt: 64,
			Model: o.model, Keys: []string{o.key}, Timeout: o.turn + time.Minute,
		},
		paths: []path{
			{name: pathDirect, address: o.engine},
			{name: pathPassthrough, address: o.passthrough, processes: []process{{"bare hop", o.passthroughAdmin}}},
			{name: pathBalancer, address: o.entry, processes: []process{{"entry", o.entryAdmin}, {"agent", o.agentAdmin}}},
		},
	}
}

// streamTokens returns more tokens than an engine generates in one turn at a millisecond
// per token, so that each stream stays open until the end of the turn.
func streamTokens(turn time.Duration) int { return int(turn/time.Millisecond) + 1 }

func parseRates(text string) ([]float64, error) {
	var rates []float64
	for part := range strings.SplitSeq(text, ",") {
		rate, err := strconv.ParseFloat(part, 64)
		if err != nil || rate <= 0 {
			return nil, errorx.IllegalArgument.New("%q is not a rate above 0", part)
		}
		rates = append(rates, rate)
	}
	return rates, nil
}
