// Package burdockmain runs the daemons: it reads their settings, starts them,
// and stops them as planned on SIGTERM or SIGINT.
package burdockmain

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"burdockbend.example/burdockbend"
	"burdockbend.example/burdockbend/internal/base/burdocklog"
	"burdockbend.example/burdockbend/internal/tool/burdockcheck"
	"github.com/peterbourgon/ff/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Exit statuses of every program.
const (
	ExitOK      = burdockcheck.StatusOK
	ExitFailure = burdockcheck.StatusFailed
	// ExitUsage says that arguments, settings or input were wrong and nothing
	// was done.
	ExitUsage = burdockcheck.StatusFindings
)

const envPrefix = "BURDOCK"

// Entry runs an entry until it is told to stop.
func Entry(args []string, stderr io.Writer) int {
	return run("burdock-entry", args, stderr, burdockbend.WithEntry)
}

// Agent runs an agent until it is told to stop.
func Agent(args []string, stderr io.Writer) int {
	return run("burdock-agent", args, stderr, burdockbend.WithAgent)
}

// withSettings is the option that takes the settings of one role.
type withSettings func(file string, data []byte) burdockbend.Option

func run(name string, args []string, stderr io.Writer, role withSettings) int {
	// First of all, so that a stop that comes while the process starts is a
	// planned one too.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", "", "TOML file with the settings of this process")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		_, _ = fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if *file == "" || flags.NArg() > 0 {
		_, _ = fmt.Fprintf(stderr, "usage: %s -settings FILE\n", name)
		return ExitUsage
	}
	data, err := os.ReadFile(*file)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	log := burdockbend.WithLog(func(level string) *zap.Logger { return NewLog(os.Stderr, level) })
	process, err := burdockbend.New(role(*file, data), log)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return burdockcheck.Status(err)
	}
	<-signals
	process.Stop()
	return ExitOK
}

// NewLog returns a log of JSON lines at the level that the settings name.
func NewLog(w zapcore.WriteSyncer, level string) *zap.Logger {
	return zap.New(zapcore.NewCore(burdocklog.Encoder(), w, burdocklog.Level(level)))
}
