package burdockpassthrough

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const readHeaderTimeout = 5 * time.Second

// Command returns the command that runs the bare hop until its context ends.
func Command(w io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("burdock measure passthrough", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:0", "IP and port to listen on")
	admin := fs.String("admin", "127.0.0.1:0", "IP and port for the metrics of the process")
	target := fs.String("target", "", "IP and port to pass requests on to")
	return &ffcli.Command{
		Name:       "passthrough",
		ShortUsage: "burdock measure passthrough -target IP:PORT [flags]",
		ShortHelp:  "run a bare hop to compare the path with",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if *target == "" || len(args) > 0 {
				return errorx.IllegalArgument.New("-target alone must be given")
			}
			return run(ctx, w, *listen, *admin, *target)
		},
	}
}

// server is an HTTP server with its listener.
type server struct {
	http     *http.Server
	listener net.Listener
	serveErr chan error
}

func listen(address string, handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{
		http:     &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
		listener: listener,
		serveErr: make(chan error, 1),
	}
	go s.run()
	return s, nil
}

func (s *server) run() {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.serveErr <- err
	}
}

// run serves until ctx ends. It first prints the addresses of the hop and of its metrics.
func run(ctx context.Context, w io.Writer, address, admin, target string) error {
	hop, err := listen(address, NewHandler(target))
	if err != nil {
		return err
	}
	defer func() { _ = hop.http.Close() }()
	metricsServer, err := listen(admin, http.HandlerFunc(serveMetrics))
	if err != nil {
		return err
	}
	defer func() { _ = metricsServer.http.Close() }()
	if _, err := fmt.Fprintln(w, hop.listener.Addr(), metricsServer.listener.Addr()); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-hop.serveErr:
		return err
	case err := <-metricsServer.serveErr:
		return err
	}
}

func serveMetrics(w http.ResponseWriter, _ *http.Request) { metrics.WriteProcessMetrics(w) }
