package burdockcli

import (
	"context"
	"fmt"

	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdocksync"
	"github.com/joomcode/errorx"
)

// tally counts what came of the edits of one command.
type tally struct{ applied, refused, unknown, untried int }

func (t tally) err() error {
	if t.refused+t.unknown+t.untried == 0 {
		return nil
	}
	return errorx.ExternalError.New("%d edits applied, %d not applied, %d with unknown outcome, %d not tried; it is safe to run the command again",
		t.applied, t.refused, t.unknown, t.untried)
}

// apply writes edits one by one and prints each. It goes on after one that
// lost a race, so that the operator sees the whole outcome.
//
// It ends when the store gives no answer. Failure: the store goes down between
// two of a fleet's thousands of edits. Symptom: each further one is tried for
// up to 18 s, and the command seems to hang for hours. What was not tried is
// counted, and a second run does just the rest.
func (c *CLI) apply(ctx context.Context, store burdockstore.Store, entries map[string]burdockconfig.Entry, list []burdocksync.Edit) error {
	if len(list) == 0 {
		_, _ = fmt.Fprintln(c.stdout, "nothing to change")
	}
	writer := burdocksync.NewWriter(store)
	var t tally
	for i, edit := range list {
		e, err := writer.Write(ctx, edit)
		c.report(&t, edit, entries[edit.Key], e, err)
		if unanswered(err) {
			t.untried = len(list) - i - 1
			break
		}
	}
	return t.err()
}

// report prints what came of one edit. The operator sees what it replaced, or
// what another operator's edit has changed.
func (c *CLI) report(t *tally, edit burdocksync.Edit, before, now burdockconfig.Entry, err error) {
	switch {
	case err == nil:
		t.applied++
		_, _ = fmt.Fprintf(c.stdout, "%s: %s version %d\n", now.Key, verb(edit), now.Version)
		if before.Version > 0 {
			c.printDifferences("was", before, "is", now)
		}
	case errorx.IsOfType(err, burdocksync.ErrOutcomeUnknown):
		t.unknown++
		_, _ = fmt.Fprintf(c.stdout, "%s: outcome unknown, it may be applied: %v\n", edit.Key, err)
	case errorx.IsOfType(err, burdocksync.ErrRace):
		t.refused++
		_, _ = fmt.Fprintf(c.stdout, "%s: not applied: %v\n", edit.Key, err)
		c.printDifferences("was", before, "is", now)
	default:
		t.refused++
		_, _ = fmt.Fprintf(c.stdout, "%s: not applied: %v\n", edit.Key, err)
	}
}

// unanswered reports whether the store gave no answer within all tries.
func unanswered(err error) bool {
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
