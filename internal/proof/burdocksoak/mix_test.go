package burdocksoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"

	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
)

// kind is a kind of request in the load.
type kind string

const (
	kindStream     kind = "stream"
	kindNonStream  kind = "whole"
	kindKeyed      kind = "keyed"
	kindIdempotent kind = "idempotent"
	kindPlain      kind = "plain"
)

// repeatShare is the share of requests with an idempotency key that repeat the caller's
// last such request, whatever its outcome was.
const repeatShare = 0.5

// mix generates the callers' requests.
type mix struct {
	mu        sync.Mutex
	random    *rand.Rand
	lastKeyed map[int]burdockprograms.Call // the last call with an idempotency key, by caller
	seed      uint64
}

func newMix(seed uint64) *mix {
	return &mix{random: rand.New(rand.NewPCG(seed, 2)), lastKeyed: map[int]burdockprograms.Call{}, seed: seed}
}

// next returns the prompt, the number of tokens and the call for a caller's request n.
// The prompt begins with the kind, which tells the check what answer to expect.
func (m *mix) next(caller, n int) (string, int, burdockprograms.Call) {
	m.mu.Lock()
	defer m.mu.Unlock()
	tokens := 5 + m.random.IntN(60)
	switch m.random.IntN(10) {
	case 0, 1, 2, 3:
		prompt := fmt.Sprintf("%s seed %d caller %d call %d", kindStream, m.seed, caller, n)
		return prompt, tokens, burdockprograms.Chat(prompt, tokens, true)
	case 4, 5:
		prompt := fmt.Sprintf("%s seed %d caller %d call %d", kindNonStream, m.seed, caller, n)
		return prompt, tokens, burdockprograms.Chat(prompt, tokens, false)
	case 6, 7:
		return m.keyed(caller, n, tokens)
	case 8:
		return string(kindIdempotent), 0, burdockprograms.Call{Method: http.MethodGet, Path: fmt.Sprintf("/licence/%d-%d", caller, n)}
	default:
		return string(kindPlain), 0, burdockprograms.Call{Method: http.MethodPost, Path: fmt.Sprintf("/model-cards/%d-%d", caller, n), Body: "beta?"}
	}
}

// keyed repeats the caller's last call with an idempotency key, or creates one with a
// new key.
func (m *mix) keyed(caller, n, tokens int) (string, int, burdockprograms.Call) {
	if call, ok := m.lastKeyed[caller]; ok && m.random.Float64() < repeatShare {
		return string(kindKeyed), 0, call
	}
	call := burdockprograms.Chat(fmt.Sprintf("%s seed %d caller %d call %d", kindKeyed, m.seed, caller, n), tokens, true)
	call.Header = map[string]string{"Idempotency-Key": fmt.Sprintf("key-%d-%d-%d", m.seed, caller, n)}
	m.lastKeyed[caller] = call
	return string(kindKeyed), 0, call
}
