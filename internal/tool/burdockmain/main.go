// Package burdockmain runs the daemons: it reads their settings, starts them, and
// shuts them down gracefully on SIGTERM or SIGINT.
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
	// ExitUsage reports invalid arguments, settings or input; nothing was done.
	ExitUsage = burdockcheck.StatusFindings
)

const envPrefix = "BURDOCK"

// Entry runs an entry until SIGTERM or SIGINT and returns the exit status.
func Entry(args []string, stderr io.Writer) int {
	return run("burdock-entry", args, stderr, burdockbend.WithEntry)
}

// Agent runs an agent until SIGTERM or SIGINT and returns the exit status.
func Agent(args []string, stderr io.Writer) int {
	return run("burdock-agent", args, stderr, burdockbend.WithAgent)
}

// roleOption returns the option that starts one role with the settings in data. Findings
// name the file.
type roleOption func(file string, data []byte) burdockbend.Option

func run(name string, args []string, stderr io.Writer, role roleOption) int {
	// Signals are caught before anything else. Otherwise a signal during the start
	// would kill the process instead of shutting it down gracefully.
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

// NewLog returns a logger that writes JSON lines to w at the given level.
func NewLog(w zapcore.WriteSyncer, level string) *zap.Logger {
	return zap.New(zapcore.NewCore(burdocklog.Encoder(), w, burdocklog.Level(level)))
}
