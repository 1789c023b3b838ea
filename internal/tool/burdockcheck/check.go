// Package burdockcheck provides the operators' commands that check a file without
// access to the store, and the command that creates a customer's key.
package burdockcheck

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// The exit statuses of the operators' commands.
const (
	StatusOK       = 0
	StatusFailed   = 1 // for example, a file can't be read
	StatusFindings = 2 // the input, or the command line, is wrong
)

var namespace = errorx.NewNamespace("burdockcheck")

// ErrUsage is the type of an error in the command line.
var ErrUsage = namespace.NewType("usage")

// Status returns the exit status for a command's error.
func Status(err error) int {
	var findings *burdockfinding.Error
	switch {
	case err == nil:
		return StatusOK
	case errors.As(err, &findings), errors.Is(err, flag.ErrHelp), errorx.IsOfType(err, ErrUsage):
		return StatusFindings
	}
	return StatusFailed
}

// Run runs a command, writes its error to w and returns the exit status.
func Run(ctx context.Context, cmd *ffcli.Command, args []string, w io.Writer) int {
	err := parseAndRun(ctx, cmd, args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(w, Message(err))
	}
	return Status(err)
}

func parseAndRun(ctx context.Context, cmd *ffcli.Command, args []string) error {
	if err := cmd.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return ErrUsage.Wrap(err, "command line")
	}
	return cmd.Run(ctx)
}

// Message returns the text of an error without the name of its errorx type.
func Message(err error) string {
	if typed := errorx.Cast(err); typed != nil && typed.Cause() == nil {
		return typed.Message()
	}
	return err.Error()
}

// readOneFile returns the name and content of a command's only argument, a file.
func readOneFile(usage string, args []string) (string, []byte, error) {
	if len(args) != 1 {
		return "", nil, ErrUsage.New("usage: %s", usage)
	}
	data, err := os.ReadFile(args[0])
	return args[0], data, err
}

// flagsAfterFile parses flags after the file argument, which the flag package does
// not parse, and returns the arguments without them.
func flagsAfterFile(fs *flag.FlagSet, args []string) ([]string, error) {
	if len(args) < 2 {
		return args, nil
	}
	if err := fs.Parse(args[1:]); err != nil {
		return nil, ErrUsage.Wrap(err, "command line")
	}
	return append(args[:1:1], fs.Args()...), nil
}

func newFlagSet(name string, w io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(w)
	return fs
}
