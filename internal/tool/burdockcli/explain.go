package burdockcli

import (
	"context"
	"os"

	"burdockbend.example/burdockbend/internal/tool/burdocktimeline"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func (c *CLI) explain() *ffcli.Command {
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "burdock explain REQUEST-ID [FILE...]",
		ShortHelp:  "tell from logs what became of a request",
		LongHelp: "Reads the logs of any number of processes, from files or the standard input, and prints\n" +
			"the request's lines in order, then what each process came to believe around that time.",
		FlagSet: c.flags("burdock explain"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usage("burdock explain: the request's id is missing")
			}
			return c.printTimeline(args[0], args[1:])
		},
	}
}

func (c *CLI) printTimeline(request string, files []string) error {
	logs := []burdocktimeline.Log{{Name: "stdin", Lines: os.Stdin}}
	if len(files) > 0 {
		logs = nil
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return usage("%v", err)
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, burdocktimeline.Log{Name: name, Lines: file})
	}
	timeline, err := burdocktimeline.Read(request, logs)
	if err != nil {
		return err
	}
	return timeline.Print(c.stdout)
}
