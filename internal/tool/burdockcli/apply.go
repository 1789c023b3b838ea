package burdockcli

import (
	"context"
	"fmt"

	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdocksync"
	"github.com/joomcode/errorx"
)

// editCounts counts the edits of one command by outcome.
type editCounts struct{ applied, refused, unknown, untried int }

func (counts editCounts) err() error {
	if counts.refused+counts.unknown+counts.untried == 0 {
		return nil
	}
	return errorx.ExternalError.New("%d edits applied, %d not applied, %d with unknown outcome, %d not tried; it is safe to run the command again",
		counts.applied, counts.refused, counts.unknown, counts.untried)
}

// apply writes edits one by one and prints the outcome of each. It continues after an
// edit that lost a race, and the operator sees the outcome of all edits.
//
// It stops when the store does not answer. A fleet can have thousands of edits, and
// each one is tried for up to 18 s: if the store goes down in between, the command
// would seem to hang for hours. The remaining edits are counted as untried, and a
// second run applies only these.
func (c *CLI) apply(ctx context.Context, store burdockstore.Store, entries map[string]burdockconfig.Entry, edits []burdocksync.Edit) error {
	if len(edits) == 0 {
		_, _ = fmt.Fprintln(c.stdout, "nothing to change")
	}
	writer := burdocksync.NewWriter(store)
	var counts editCounts
	for i, edit := range edits {
		e, err := writer.Write(ctx, edit)
		c.report(&counts, edit, entries[edit.Key], e, err)
		if storeUnavailable(err) {
			counts.untried = len(edits) - i - 1
			break
		}
	}
	return counts.err()
}

// report prints the outcome of one edit, with the fields that it replaced, or, if it
// lost a race, those that another operator's edit changed.
func (c *CLI) report(counts *editCounts, edit burdocksync.Edit, before, now burdockconfig.Entry, err error) {
	switch {
	case err == nil:
		counts.applied++
		_, _ = fmt.Fprintf(c.stdout, "%s: %s version %d\n", now.Key, verb(edit), now.Version)
		if before.Version > 0 {
			c.printDifferences("was", before, "is", now)
		}
	case errorx.IsOfType(err, burdocksync.ErrOutcomeUnknown):
		counts.unknown++
		_, _ = fmt.Fprintf(c.stdout, "%s: outcome unknown, it may be applied: %v\n", edit.Key, err)
	case errorx.IsOfType(err, burdocksync.ErrRace):
		counts.refused++
		_, _ = fmt.Fprintf(c.stdout, "%s: not applied: %v\n", edit.Key, err)
		c.printDifferences("was", before, "is", now)
	default:
		counts.refused++
		_, _ = fmt.Fprintf(c.stdout, "%s: not applied: %v\n", edit.Key, err)
	}
}

// storeUnavailable reports whether the store answered none of the attempts.
func storeUnavailable(err error) bool {
	if errorx.IsOfType(err, burdockstore.ErrUnavailable) {
		return true
	}
	return errorx.IsOfType(err, burdocksync.ErrOutcomeUnknown) && errorx.Cast(err).Cause() != nil
}

func verb(edit burdocksync.Edit) string {
	switch {
	case edit.Deleted:
		return "deleted as"
	case edit.Base == 0:
		return "added as"
	default:
		return "changed to"
	}
}
