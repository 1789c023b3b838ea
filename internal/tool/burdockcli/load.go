package burdockcli

import (
	"burdockbend.example/burdockbend/internal/tool/burdockload"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func (c *CLI) load() *ffcli.Command {
	cmd := burdockload.Command(c.stdout)
	cmd.FlagSet.SetOutput(c.stderr)
	return cmd
}
