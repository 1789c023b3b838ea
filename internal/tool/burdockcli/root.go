// Package burdockcli implements the operators' command line, burdock.
package burdockcli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"burdockbend.example/burdockbend/internal/measure/burdockcapacitylab"
	"burdockbend.example/burdockbend/internal/measure/burdockexpertlab"
	"burdockbend.example/burdockbend/internal/measure/burdockgrouplab"
	"burdockbend.example/burdockbend/internal/measure/burdockpassthrough"
	"burdockbend.example/burdockbend/internal/measure/burdockpathlab"
	"burdockbend.example/burdockbend/internal/measure/burdockplacelab"
	"burdockbend.example/burdockbend/internal/measure/burdockqueuelab"
	"burdockbend.example/burdockbend/internal/tool/burdockcheck"
	"burdockbend.example/burdockbend/internal/tool/burdockmain"
	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// CLI is the command line with its output streams.
type CLI struct {
	stdout io.Writer
	stderr io.Writer
}

// New returns the command line.
func New(stdout, stderr io.Writer) *CLI { return &CLI{stdout: stdout, stderr: stderr} }

// Run executes one command and returns the exit status.
func (c *CLI) Run(ctx context.Context, args []string) int {
	root := c.root()
	if err := root.Parse(args); err != nil {
		return c.parseStatus(err)
	}
	err := root.Run(ctx)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		_, _ = fmt.Fprintln(c.stderr, burdockcheck.Message(err))
	}
	return status(err)
}

// parseStatus returns the exit status for a parse error, which the flag package has
// already printed.
func (c *CLI) parseStatus(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return burdockmain.ExitOK
	}
	return burdockmain.ExitUsage
}

// status returns the exit status for a command's error.
func status(err error) int {
	var usage usageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return burdockmain.ExitOK
	case errors.As(err, &usage), errorx.IsOfType(err, errorx.IllegalArgument):
		return burdockmain.ExitUsage
	default:
		return burdockcheck.Status(err)
	}
}

// usageError reports invalid arguments or an invalid file; nothing was changed.
type usageError struct{ err error }

// Error implements the error interface.
func (u usageError) Error() string { return u.err.Error() }

func usage(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

func (c *CLI) root() *ffcli.Command {
	return &ffcli.Command{
		Name:       "burdock",
		ShortUsage: "burdock COMMAND",
		ShortHelp:  "operate a fleet of burdockbend",
		FlagSet:    c.flags("burdock"),
		Subcommands: []*ffcli.Command{
			c.profile(), c.fleet(), c.settings(), c.customer(), c.config(), c.state(), c.explain(), c.load(), c.measure(), c.try(),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usage("burdock: no command %q; see burdock -h", args[0])
			}
			return flag.ErrHelp
		},
	}
}

func (c *CLI) settings() *ffcli.Command {
	return c.groupCommand("settings", "check the settings of a process", burdockcheck.SettingsCommand(c.stdout))
}

func (c *CLI) customer() *ffcli.Command {
	return c.groupCommand("customer", "make customers' keys", burdockcheck.KeyCommand(c.stdout))
}

func (c *CLI) measure() *ffcli.Command {
	return c.groupCommand("measure", "measure the path, and the decisions against baselines",
		burdockpathlab.Command(c.stdout),
		burdockpassthrough.Command(c.stdout),
		burdockqueuelab.Command(c.stdout),
		burdockplacelab.Command(c.stdout),
		burdockexpertlab.Command(c.stdout),
		burdockgrouplab.Command(c.stdout),
		burdockcapacitylab.Command(c.stdout))
}

// flags returns an empty flag set that writes its errors to stderr.
func (c *CLI) flags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(c.stderr)
	return flags
}

// options lets environment variables such as BURDOCK_STORE set flags.
func options() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix("BURDOCK")} }

// groupCommand returns a command that only has subcommands.
func (c *CLI) groupCommand(name, help string, subcommands ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name:        name,
		ShortUsage:  "burdock " + name + " COMMAND",
		ShortHelp:   help,
		FlagSet:     c.flags(name),
		Subcommands: subcommands,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usage("burdock %s: no command %q; see burdock %s -h", name, args[0], name)
			}
			return flag.ErrHelp
		},
	}
}
