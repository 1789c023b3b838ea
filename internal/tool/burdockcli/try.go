package burdockcli

import (
	"context"

	"burdockbend.example/burdockbend/internal/tool/burdocktry"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func (c *CLI) try() *ffcli.Command {
	flags := c.flags("burdock try")
	once := flags.Bool("once", false, "send requests of each kind, print the answers and exit")
	return &ffcli.Command{
		Name:       "try",
		ShortUsage: "burdock try [-once]",
		ShortHelp:  "run every role and stand-in in one process on loopback",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			return burdocktry.Run(ctx, c.stdout, *once)
		},
	}
}
