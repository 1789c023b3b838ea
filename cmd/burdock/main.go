// Command burdock is the operators' command line. See docs/OPERATIONS.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"burdockbend.example/burdockbend/internal/tool/burdockcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := burdockcli.New(os.Stdout, os.Stderr).Run(ctx, os.Args[1:])
	stop()
	os.Exit(status)
}
