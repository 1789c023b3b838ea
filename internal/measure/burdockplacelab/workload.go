package burdockplacelab

import (
	"math"
	"math/rand/v2"
	"sort"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// The shape of the work. At the size the letter aims at, 2.3 million tokens
// for 6,200 requests a second are 371 tokens each, at 41 ms a token.
const (
	outputTokens     = 371
	outputSigma      = 0.8 // of the logarithm
	paceMillis       = 41
	prefillPerMillis = 10 // prompt tokens computed in a millisecond
	systemTokens     = 1024
	turnTokens       = 512
	thinkMillis      = 10_000 // mean time from an answer to the next turn
	meanTurns        = 4
	tokensPerBlock   = 64
	maxBlocks        = 32
)

// request is one turn of a conversation.
type request struct {
	entry        int
	system       uint64 // which system prompt
	conversation uint64
	turn         int
	output       burdockid.Tokens
	prefix       []uint64
	arrived      burdockclock.Millis
	offers       int
	unreached    int // of the offers, those never sent
	overBound    int // of the offers, those refused for their bound alone
	maxLoad      float64
	refused      []int // replicas
}

func (r *request) promptTokens() burdockid.Tokens {
	return burdockid.Tokens(systemTokens + turnTokens*r.turn)
}

// workload draws requests. New conversations come at a steady rate; each turn
// but the last is followed by another after the answer and a pause.
type workload struct {
	o          Options
	rnd        *rand.Rand
	cumulative []float64 // of the system prompts' shares
	nextNew    float64   // milliseconds
	started    uint64
}

func newWorkload(o Options) *workload {
	l := &workload{o: o, rnd: source(o, partWorkload)}
	sum := 0.0
	for i := range o.Replicas * o.PrefixesPerReplica {
		sum += math.Pow(float64(i+1), -o.Skew)
		l.cumulative = append(l.cumulative, sum)
	}
	return l
}

// newPerMilli returns the rate of new conversations that fills the slots to
// the utilisation asked for.
func (l *workload) newPerMilli() float64 {
	serviceMillis := float64(outputTokens*paceMillis) + systemTokens/prefillPerMillis
	perMilli := l.o.Utilisation * float64(l.o.Replicas*l.o.Slots) / serviceMillis
	return perMilli / meanTurns
}

// underWay returns the further turns of conversations that are under way when
// the run begins. Without them the load would take minutes to rise. The number
// of turns still to come does not depend on those that were, so any further
// turn may be drawn first.
func (l *workload) underWay() []*request {
	const cycleMillis = outputTokens*paceMillis + thinkMillis
	requests := make([]*request, int(l.newPerMilli()*(meanTurns-1)*cycleMillis))
	for i := range requests {
		l.started++
		r := &request{
			system:       l.drawSystem(),
			conversation: l.started,
			turn:         1,
			arrived:      burdockclock.Millis(l.rnd.Float64() * cycleMillis),
		}
		for l.rnd.Float64() >= 1.0/meanTurns {
			r.turn++
		}
		l.draw(l.rnd, r)
		requests[i] = r
	}
	return requests
}

func (l *workload) drawSystem() uint64 {
	share := l.rnd.Float64() * l.cumulative[len(l.cumulative)-1]
	return uint64(sort.SearchFloat64s(l.cumulative, share)) + 1
}

// next returns the first turn of a new conversation, and when it comes.
func (l *workload) next() *request {
	l.nextNew += l.rnd.ExpFloat64() / l.newPerMilli()
	l.started++
	r := &request{
		system:       l.drawSystem(),
		conversation: l.started,
		arrived:      burdockclock.Millis(l.nextNew),
	}
	l.draw(l.rnd, r)
	return r
}

// following returns the turn that follows r once it is answered, or nil after
// the last. The platform's balancer sends it to any entry.
func (l *workload) following(r *request, answered burdockclock.Millis) *request {
	// Each turn has a source of its own: the order in which answers end differs
	// between policies, and must not change what is asked.
	rnd := source(l.o, partTurns+r.conversation<<turnBits+uint64(r.turn))
	if rnd.Float64() < 1.0/meanTurns {
		return nil
	}
	next := &request{
		system:       r.system,
		conversation: r.conversation,
		turn:         r.turn + 1,
		arrived:      answered + burdockclock.Millis(rnd.ExpFloat64()*thinkMillis),
	}
	l.draw(rnd, next)
	return next
}

func (l *workload) draw(rnd *rand.Rand, r *request) {
	r.entry = rnd.IntN(l.o.Entries)
	// The mean of a log-normal is exp(mu + sigma^2/2).
	mu := math.Log(outputTokens) - outputSigma*outputSigma/2
	r.output = burdockid.Tokens(math.Exp(mu+outputSigma*rnd.NormFloat64())) + 1
	r.prefix = r.blocks()
}

// blocks returns what hashing the prompt block by block would.
func (r *request) blocks() []uint64 {
	n := min(int(r.promptTokens())/tokensPerBlock, maxBlocks)
	blocks := make([]uint64, n)
	for i := range blocks {
		of := r.system
		if i >= systemTokens/tokensPerBlock {
			of = r.conversation << 20
		}
		blocks[i] = scatter(of<<8 + uint64(i))
	}
	return blocks
}

// scatter is the finaliser of a 64-bit hash.
func scatter(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
