package burdockcli

import (
	"burdockbend.example/burdockbend/internal/measure/burdockexpertlab"
	"burdockbend.example/burdockbend/internal/measure/burdockpassthrough"
	"burdockbend.example/burdockbend/internal/measure/burdockpathlab"
	"burdockbend.example/burdockbend/internal/measure/burdockplacelab"
	"burdockbend.example/burdockbend/internal/measure/burdockqueuelab"
	"burdockbend.example/burdockbend/internal/tool/burdockload"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func (c *CLI) load() *ffcli.Command {
	cmd := burdockload.Command(c.stdout)
	cmd.FlagSet.SetOutput(c.stderr)
	return cmd
}

// measure groups the commands that print figures.
func (c *CLI) measure() *ffcli.Command {
	commands := []*ffcli.Command{
		burdockpathlab.Command(c.stdout),
		burdockpassthrough.Command(c.stdout),
		burdockqueuelab.Command(c.stdout),
		burdockplacelab.Command(c.stdout),
		burdockexpertlab.Command(c.stdout),
	}
	for _, cmd := range commands {
		cmd.FlagSet.SetOutput(c.stderr)
	}
	return c.group("measure", "measure the path and the decisions", commands...)
}
