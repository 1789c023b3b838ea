package burdockdirect

import "burdockbend.example/burdockbend/internal/decide/burdockparts"

// PartNews tells the other entries what this one finds out about parts of prompts that crash
// upstreams. No method may block.
type PartNews interface {
	PublishPartCrash(burdockparts.Crash)
	PublishPartSound(burdockparts.Sound)
	// ClaimPartTrial claims a trial, and calls done with whether this entry has it. At most one
	// entry may.
	ClaimPartTrial(trial burdockparts.Trial, done func(claimed bool))
}

// noPartNews is used by an entry that is alone.
type noPartNews struct{}

func (noPartNews) PublishPartCrash(burdockparts.Crash) {}
func (noPartNews) PublishPartSound(burdockparts.Sound) {}
func (noPartNews) ClaimPartTrial(_ burdockparts.Trial, done func(bool)) {
	done(true)
}
