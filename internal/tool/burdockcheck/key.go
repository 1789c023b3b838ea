package burdockcheck

import (
	"context"
	"fmt"
	"io"

	"burdockbend.example/burdockbend/internal/config/burdockkey"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const keyUsage = "burdock customer key"

// KeyCommand returns the "key" command of "burdock customer".
func KeyCommand(w io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "key",
		ShortUsage: keyUsage,
		ShortHelp:  "make a customer's key, and the hash of it for the fleet's membership",
		FlagSet:    newFlagSet(keyUsage, w),
		Exec:       func(_ context.Context, args []string) error { return createKey(args, w) },
	}
}

// createKey prints a new key and its hash. The key is not stored, so it can't be
// shown again.
func createKey(args []string, w io.Writer) error {
	if len(args) > 0 {
		return ErrUsage.New("usage: %s", keyUsage)
	}
	key := burdockkey.New()
	fmt.Fprintf(w, "key     = %q # for the customer; shown only now\n", key)
	fmt.Fprintf(w, "keyHash = %q # for the [[customer]] table\n", burdockkey.Hash(key))
	return nil
}
