package burdocksoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"

	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
)

// kind is a sort of request in the mix.
type kind string

const (
	kindStream     kind = "stream"
	kindWhole      kind = "whole"
	kindKeyed      kind = "keyed"
	kindIdempotent kind = "idempotent"
	kindPlain      kind = "plain"
)

// repeats is how often a caller sends a request with a key, whatever comes of
// the first: three times out of four it goes on to a new one.
const repeatShare = 0.5

// mix makes the callers' requests.
type mix struct {
	mu     sync.Mutex
	random *rand.Rand
	last   map[int]burdockprograms.Call // the last call with a key, by caller
	seed   uint64
}

func newMix(seed uint64) *mix {
	return &mix{random: rand.New(rand.NewPCG(seed, 2)), last: map[int]burdockprograms.Call{}, seed: seed}
}

// next returns the next call of a caller. The prompt names the kind, so that
// the check knows what to expect of the answer.
func (m *mix) next(caller, n int) (string, int, burdockprograms.Call) {
	m.mu.Lock()
	defer m.mu.Unlock()
	tokens := 5 + m.random.IntN(60)
	switch m.random.IntN(10) {
	case 0, 1, 2, 3:
		prompt := fmt.Sprintf("%s seed %d caller %d call %d", kindStream, m.seed, caller, n)
		return prompt, tokens, burdockprograms.Chat(prompt, tokens, true)
	case 4, 5:
		prompt := fmt.Sprintf("%s seed %d caller %d call %d", kindWhole, m.seed, caller, n)
		return prompt, tokens, burdockprograms.Chat(prompt, tokens, false)
	case 6, 7:
		return m.keyed(caller, n, tokens)
	case 8:
		return string(kindIdempotent), 0, burdockprograms.Call{Method: http.MethodGet, Path: fmt.Sprintf("/licence/%d-%d", caller, n)}
	default:
		return string(kindPlain), 0, burdockprograms.Call{Method: http.MethodPost, Path: fmt.Sprintf("/model-cards/%d-%d", caller, n), Body: "beta?"}
	}
}

// keyed repeats the caller's last key, or makes a new one.
func (m *mix) keyed(caller, n, tokens int) (string, int, burdockprograms.Call) {
	if call, ok := m.last[caller]; ok && m.random.Float64() < repeatShare {
		return string(kindKeyed), 0, call
	}
	call := burdockprograms.Chat(fmt.Sprintf("%s seed %d caller %d call %d", kindKeyed, m.seed, caller, n), tokens, true)
	call.Header = map[string]string{"Idempotency-Key": fmt.Sprintf("key-%d-%d-%d", m.seed, caller, n)}
	m.last[caller] = call
	return string(kindKeyed), 0, call
}
