package burdockfakeengine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"github.com/dghubble/sling"
)

const (
	// linkTimeout is longer than a Lockstep holds a question open.
	linkTimeout = 4 * turnWait
	linkRetry   = 20 * time.Millisecond
)

// lockstepLink is an engine's way to its group's Lockstep.
type lockstepLink struct {
	client *http.Client
	base   string
	rank   burdockid.Rank
	life   burdockengine.Incarnation
}

func newLockstepLink(address string, rank burdockid.Rank, life burdockengine.Incarnation) *lockstepLink {
	return &lockstepLink{client: &http.Client{Timeout: linkTimeout}, base: "http://" + address, rank: rank, life: life}
}

// join makes the engine the one of its rank, and returns its next step.
func (l *lockstepLink) join(ctx context.Context) burdockid.Step {
	return l.ask(ctx, LockstepJoinPath, nil).Next
}

// wait says what was finished and waits for the next turn. It reports false if
// the engine was replaced.
func (l *lockstepLink) wait(ctx context.Context, finished *burdockengine.GroupStep) bool {
	for {
		answer := l.ask(ctx, LockstepTurnPath, finished)
		if answer.Ready || answer.Replaced {
			return answer.Ready
		}
	}
}

// ask asks until there is an answer. The Lockstep takes each finished step once.
func (l *lockstepLink) ask(ctx context.Context, path string, finished *burdockengine.GroupStep) TurnAnswer {
	for {
		if answer, ok := l.once(ctx, path, finished); ok {
			return answer
		}
		time.Sleep(linkRetry)
	}
}

func (l *lockstepLink) once(ctx context.Context, path string, finished *burdockengine.GroupStep) (TurnAnswer, bool) {
	var answer TurnAnswer
	turn := Turn{Rank: l.rank, Life: l.life, Finished: finished}
	req, err := sling.New().Base(l.base).Post(path).BodyJSON(turn).Request()
	if err != nil {
		return answer, false
	}
	res, err := l.client.Do(req.WithContext(ctx))
	if err != nil {
		return answer, false
	}
	defer func() { _ = res.Body.Close() }()
	err = json.NewDecoder(res.Body).Decode(&answer)
	return answer, err == nil && res.StatusCode == http.StatusOK
}
