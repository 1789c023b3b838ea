package burdockprofile

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockrule"
	"burdockbend.example/burdockbend/internal/config/burdocktoml"
)

// Bounds of the accepted values. A value beyond them is more often a mistake, such as
// a wrong unit, than intended.
const (
	maxClasses = 16
	maxMillis  = 24 * burdockclock.Hour
	// A customer's virtual time advances by cost divided by share. With a share far
	// below the others it exceeds the precision of a float64.
	minShare    = 0.001
	maxShare    = 1000000.0
	maxWeight   = 1e6
	maxAttempts = 16
	maxQueued   = 1 << 20
	// With more than one retry per success, retries alone can double the load on
	// upstreams that already refuse requests.
	maxBudgetRatio = 1.0
)

// Check returns the findings about the profiles. Each names its key.
func Check(profiles []Profile) []burdockfinding.Finding {
	var c burdockrule.Checker
	if len(profiles) == 0 {
		c.Add("profile", "no profile", "at least one [[profile]] table")
	}
	var names burdockrule.Unique[burdockid.Profile]
	for i, p := range profiles {
		key := burdocktoml.Item("profile", i)
		if burdockrule.Name(&c, key+".name", p.Name) {
			names.Add(&c, key+".name", p.Name)
		}
		p.check(&c, key)
	}
	return c.Findings()
}

func (p Profile) check(c *burdockrule.Checker, key string) {
	p.checkClasses(c, key)
	p.checkShares(c, key)
	p.Stop.check(c, key+".stop", p.maxDeadline())
	p.Experts.check(c, key+".experts")
	p.Retry.check(c, key+".retry")
	burdockrule.Between(c, key+".queue.maxQueued", p.Queue.MaxQueued, 1, maxQueued)
}

func (p Profile) checkClasses(c *burdockrule.Checker, key string) {
	if len(p.Classes) == 0 || len(p.Classes) > maxClasses {
		c.Add(key+".class", fmt.Sprintf("%d classes", len(p.Classes)), fmt.Sprintf("1 to %d, the most urgent first", maxClasses))
	}
	var names burdockrule.Unique[string]
	for i, class := range p.Classes {
		at := burdocktoml.Item(key+".class", i)
		if burdockrule.Name(c, at+".name", class.Name) {
			names.Add(c, at+".name", class.Name)
		}
		class.check(c, at)
	}
	if _, ok := p.Class(p.DefaultClass); !ok {
		c.Add(key+".defaultClass", fmt.Sprintf("is %q, which is no class of the profile", p.DefaultClass), "the name of a [[profile.class]]")
	}
}

func (k Class) check(c *burdockrule.Checker, key string) {
	burdockrule.Between(c, key+".maxStarvationMillis", k.MaxStarvationMillis, 1, maxMillis)
	burdockrule.Between(c, key+".deadlineMillis", k.DeadlineMillis, 1, maxMillis)
	burdockrule.Between(c, key+".maxWaitMillis", k.MaxWaitMillis, 1, maxMillis)
	if k.MaxWaitMillis > k.DeadlineMillis {
		c.Add(key+".maxWaitMillis", fmt.Sprintf("is %d, beyond the deadline of %d", k.MaxWaitMillis, k.DeadlineMillis), "at most deadlineMillis")
	}
}

func (p Profile) checkShares(c *burdockrule.Checker, key string) {
	var customers burdockrule.Unique[burdockid.Customer]
	for i, share := range p.Shares {
		at := burdocktoml.Item(key+".share", i)
		if burdockrule.Name(c, at+".customer", share.Customer) {
			customers.Add(c, at+".customer", share.Customer)
		}
		burdockrule.Between(c, at+".share", share.Share, minShare, maxShare)
	}
	burdockrule.Between(c, key+".defaultShare", p.DefaultShare, minShare, maxShare)
}

// maxDeadline returns the longest deadline of the classes, which is how long a request of
// the profile may be in flight.
func (p Profile) maxDeadline() burdockclock.Millis {
	var maxDeadline burdockclock.Millis
	for _, class := range p.Classes {
		maxDeadline = max(maxDeadline, class.DeadlineMillis)
	}
	return maxDeadline
}

// check requires a grace time of at least maxDeadline. With a shorter one, a planned stop
// ends requests in flight, and their callers lose answers that are already streaming.
func (s Stop) check(c *burdockrule.Checker, key string, maxDeadline burdockclock.Millis) {
	burdockrule.Between(c, key+".graceMillis", s.GraceMillis, 1, maxMillis)
	if s.GraceMillis > 0 && s.GraceMillis < maxDeadline {
		c.Add(key+".graceMillis", fmt.Sprintf("is %d, but a request may be in flight for %d", s.GraceMillis, maxDeadline), "at least the longest deadlineMillis of the classes")
	}
	burdockrule.OneOf(c, key+".queued", s.Queued, FinishQueued, RefuseQueued)
}

func (e Experts) check(c *burdockrule.Checker, key string) {
	burdockrule.Between(c, key+".skewWeight", e.SkewWeight, 0, maxWeight)
	burdockrule.Between(c, key+".costWeight", e.CostWeight, 0, maxWeight)
	if e.SkewWeight == 0 && e.CostWeight == 0 {
		c.Add(key, "both weights are 0", "skewWeight or costWeight above 0")
	}
	burdockrule.Between(c, key+".holdMillis", e.HoldMillis, 0, maxMillis)
}

func (r Retry) check(c *burdockrule.Checker, key string) {
	burdockrule.Between(c, key+".budgetRatio", r.BudgetRatio, 0, maxBudgetRatio)
	burdockrule.Between(c, key+".maxAttempts", r.MaxAttempts, 1, maxAttempts)
}
