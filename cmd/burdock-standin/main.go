// Command burdock-standin runs a stand-in for the platform's store, its
// membership list, a model engine or a plain service. It is for tests and
// local trials: it persists nothing and authenticates no client.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/standin/burdockfakeengine"
	"burdockbend.example/burdockbend/internal/standin/burdockstandin"
	"burdockbend.example/burdockbend/internal/tool/burdockmain"
	"github.com/peterbourgon/ff/v3"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags := flag.NewFlagSet("burdock-standin", flag.ContinueOnError)
	kind := flags.String("kind", "", "store, list, engine, plain, lockstep or link")
	listen := flags.String("listen", "127.0.0.1:0", "IP and port to listen on")
	lag := flags.Duration("lag", 0, "how late the list shows a change")
	step := flags.Duration("step", 4500*time.Microsecond, "time between two tokens of an engine")
	prefill := flags.Duration("prefill", 2*time.Millisecond, "time to the first byte of an answer")
	target := flags.String("target", "", "IP and port that a link leads to")
	models := flags.String("models", "", "names of an engine's models, with commas")
	ranks := flags.Int("ranks", 1, "engines that a lockstep keeps in step")
	rank := rankFlags(flags)
	if err := ff.Parse(flags, args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return burdockmain.ExitUsage
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if *kind == "link" {
		return runLink(*target, signals)
	}
	running, err := burdockstandin.Start(burdockstandin.Config{
		Kind:    burdockstandin.Kind(*kind),
		Address: *listen,
		Lag:     burdockclock.FromDuration(*lag),
		Ranks:   *ranks,
		Engine:  burdockfakeengine.Config{Step: *step, Prefill: *prefill, Models: strings.Split(*models, ","), Rank: rank()},
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return burdockmain.ExitUsage
	}
	fmt.Println(running.Address())
	<-signals
	running.Close()
	return burdockmain.ExitOK
}

// runLink runs a link and prints its address and its control address.
func runLink(target string, signals <-chan os.Signal) int {
	link, err := burdockstandin.StartLink(target)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return burdockmain.ExitUsage
	}
	fmt.Println(link.Address(), link.ControlAddress())
	<-signals
	link.Close()
	return burdockmain.ExitOK
}
