package burdockcli

import (
	"context"
	"io"
	"net/http"
	"time"

	"burdockbend.example/burdockbend/internal/serve/burdockadmin"
	"github.com/dghubble/sling"
	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const stateTimeout = 5 * time.Second

func (c *CLI) state() *ffcli.Command {
	return &ffcli.Command{
		Name:       "state",
		ShortUsage: "burdock state IP:PORT",
		ShortHelp:  "show the state of the process whose operators' address is given",
		FlagSet:    c.flags("burdock state"),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usage("one address must be given, got %d", len(args))
			}
			return c.printState(ctx, args[0])
		},
	}
}

func (c *CLI) printState(ctx context.Context, address string) error {
	state, err := fetchState(ctx, address)
	if err != nil {
		return err
	}
	_, err = c.stdout.Write(state)
	return err
}

// fetchState returns the state dump of the process at address.
func fetchState(ctx context.Context, address string) ([]byte, error) {
	req, err := sling.New().Base("http://" + address).Get(burdockadmin.PathState).Request()
	if err != nil {
		return nil, usageError{err}
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	res, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return nil, errorx.Decorate(err, "ask %s", address)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, errorx.ExternalError.New("%s answered status %d", address, res.StatusCode)
	}
	return io.ReadAll(res.Body)
}
