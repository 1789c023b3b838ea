package burdockplacelab

import (
	"math"
	"math/rand/v2"
	"sort"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Parameters of the requests. The target size is 2.3 million tokens and 6,200
// requests a second, which is 371 tokens per request, at 41 ms per token.
const (
	outputTokens       = 371
	outputSigma        = 0.8 // standard deviation of the logarithm of the output tokens
	millisPerToken     = 41
	prefillPerMillis   = 10 // prompt tokens computed per millisecond
	systemPromptTokens = 1024
	turnTokens         = 512
	meanPauseMillis    = 10_000 // mean time from an answer to the next turn
	meanTurns          = 4
	tokensPerBlock     = 64
	maxBlocks          = 32
)

// request is one turn of a conversation.
type request struct {
	entry        int
	systemPrompt uint64 // identifies the system prompt, from 1
	conversation uint64
	turn         int
	output       burdockid.Tokens
	prefix       []uint64
	arrived      burdockclock.Millis
	offers       int
	unreached    int // offers that never reached a replica
	overBound    int // offers refused only because of their load bound
	maxLoad      float64
	refused      []int // replicas that refused the request
}

func (r *request) promptTokens() burdockid.Tokens {
	return burdockid.Tokens(systemPromptTokens + turnTokens*r.turn)
}

// workload generates requests. New conversations arrive as a Poisson process. Each
// turn but the last is followed by another one, a pause after its answer.
type workload struct {
	o                  Options
	rnd                *rand.Rand
	cumulativeShares   []float64 // running sums of the system prompts' weights
	nextConversationAt float64   // arrival of the latest new conversation, in milliseconds
	conversations      uint64
}

func newWorkload(o Options) *workload {
	w := &workload{o: o, rnd: randomStream(o, streamWorkload)}
	sum := 0.0
	for i := range o.Replicas * o.PrefixesPerReplica {
		sum += math.Pow(float64(i+1), -o.Skew)
		w.cumulativeShares = append(w.cumulativeShares, sum)
	}
	return w
}

// newConversationsPerMilli returns the rate of new conversations that fills the
// slots to Options.Utilisation.
func (w *workload) newConversationsPerMilli() float64 {
	serviceMillis := float64(outputTokens*millisPerToken) + systemPromptTokens/prefillPerMillis
	perMilli := w.o.Utilisation * float64(w.o.Replicas*w.o.Slots) / serviceMillis
	return perMilli / meanTurns
}

// ongoingTurns returns the next turns of the conversations that are in progress when
// the run begins. Without them the load takes minutes to build up. The number of
// remaining turns is independent of the past ones, so each conversation may resume
// at any later turn.
func (w *workload) ongoingTurns() []*request {
	const cycleMillis = outputTokens*millisPerToken + meanPauseMillis
	requests := make([]*request, int(w.newConversationsPerMilli()*(meanTurns-1)*cycleMillis))
	for i := range requests {
		w.conversations++
		r := &request{
			systemPrompt: w.drawSystemPrompt(),
			conversation: w.conversations,
			turn:         1,
			arrived:      burdockclock.Millis(w.rnd.Float64() * cycleMillis),
		}
		for w.rnd.Float64() >= 1.0/meanTurns {
			r.turn++
		}
		w.drawOutputAndPrefix(w.rnd, r)
		requests[i] = r
	}
	return requests
}

func (w *workload) drawSystemPrompt() uint64 {
	share := w.rnd.Float64() * w.cumulativeShares[len(w.cumulativeShares)-1]
	return uint64(sort.SearchFloat64s(w.cumulativeShares, share)) + 1
}

// newConversation returns the first turn of the next new conversation, with its
// time of arrival.
func (w *workload) newConversation() *request {
	w.nextConversationAt += w.rnd.ExpFloat64() / w.newConversationsPerMilli()
	w.conversations++
	r := &request{
		systemPrompt: w.drawSystemPrompt(),
		conversation: w.conversations,
		arrived:      burdockclock.Millis(w.nextConversationAt),
	}
	w.drawOutputAndPrefix(w.rnd, r)
	return r
}

// nextTurn returns the turn that follows r, which was answered at the given time, or
// nil after the last turn. The platform's balancer sends each turn to a random
// entry.
func (w *workload) nextTurn(r *request, answered burdockclock.Millis) *request {
	// Each turn has its own random stream: the order in which answers end depends on
	// the policy and must not change the requests.
	rnd := randomStream(w.o, streamTurns+r.conversation<<turnBits+uint64(r.turn))
	if rnd.Float64() < 1.0/meanTurns {
		return nil
	}
	next := &request{
		systemPrompt: r.systemPrompt,
		conversation: r.conversation,
		turn:         r.turn + 1,
		arrived:      answered + burdockclock.Millis(rnd.ExpFloat64()*meanPauseMillis),
	}
	w.drawOutputAndPrefix(rnd, next)
	return next
}

func (w *workload) drawOutputAndPrefix(rnd *rand.Rand, r *request) {
	r.entry = rnd.IntN(w.o.Entries)
	// The mean of a log-normal is exp(mu + sigma^2/2).
	mu := math.Log(outputTokens) - outputSigma*outputSigma/2
	r.output = burdockid.Tokens(math.Exp(mu+outputSigma*rnd.NormFloat64())) + 1
	r.prefix = r.prefixHashes()
}

// prefixHashes returns one hash for each block of the prompt, as an entry computes
// them from the text.
func (r *request) prefixHashes() []uint64 {
	n := min(int(r.promptTokens())/tokensPerBlock, maxBlocks)
	prefixHashes := make([]uint64, n)
	for i := range prefixHashes {
		seed := r.systemPrompt
		if i >= systemPromptTokens/tokensPerBlock {
			seed = r.conversation << 20
		}
		prefixHashes[i] = mixHash(seed<<8 + uint64(i))
	}
	return prefixHashes
}

// mixHash is the 64-bit finaliser of MurmurHash3.
func mixHash(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
