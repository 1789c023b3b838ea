package burdockdirect

import (
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// pendingParts collects the shared parts of the requests that were pending at an upstream when it
// crashed, each once.
type pendingParts struct {
	all   []pendingPart
	known map[burdockid.PromptPart]bool
}

// pendingPart is a part with the number of parts that follow it in its prompt. Prompts of one
// route begin alike, and differ towards their ends.
type pendingPart struct {
	part    burdockid.PromptPart
	fromEnd int
}

func (p *pendingParts) add(shared []burdockid.PromptPart) {
	if p.known == nil {
		p.known = map[burdockid.PromptPart]bool{}
	}
	for i, part := range shared {
		if !p.known[part] {
			p.known[part] = true
			p.all = append(p.all, pendingPart{part, len(shared) - i})
		}
	}
}

// lastFirst returns the parts, those nearest to the ends of their prompts first.
func (p *pendingParts) lastFirst() []burdockid.PromptPart {
	ordered := slices.Clone(p.all)
	slices.SortStableFunc(ordered, func(a, b pendingPart) int { return a.fromEnd - b.fromEnd })
	parts := make([]burdockid.PromptPart, len(ordered))
	for i, pending := range ordered {
		parts[i] = pending.part
	}
	return parts
}
