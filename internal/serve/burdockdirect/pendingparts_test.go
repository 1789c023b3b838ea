package burdockdirect

import (
	"slices"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Guards against reports of crashes that hold only the beginnings of prompts.
func TestPendingPartsBeginWithTheEndsOfPrompts(t *testing.T) {
	var p pendingParts
	p.add([]burdockid.PromptPart{"c0", "a1", "a2"})
	p.add([]burdockid.PromptPart{"c0", "b1"})
	if got, want := p.lastFirst(), []burdockid.PromptPart{"a2", "b1", "a1", "c0"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
