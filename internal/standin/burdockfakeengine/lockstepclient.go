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
	// clientTimeout exceeds the time that a Lockstep holds a turn request open.
	clientTimeout = 4 * maxTurnWait
	retryInterval = 20 * time.Millisecond
)

// lockstepClient calls the Lockstep of an engine's group.
type lockstepClient struct {
	client      *http.Client
	base        string
	rank        burdockid.Rank
	incarnation burdockengine.Incarnation
}

func newLockstepClient(address string, rank burdockid.Rank, incarnation burdockengine.Incarnation) *lockstepClient {
	return &lockstepClient{client: &http.Client{Timeout: clientTimeout}, base: "http://" + address, rank: rank, incarnation: incarnation}
}

// join registers the engine for its rank, replacing any earlier one, and returns the
// rank's next step.
func (c *lockstepClient) join(ctx context.Context) burdockid.Step {
	return c.call(ctx, LockstepJoinPath, nil).Next
}

// awaitTurn reports the finished step, nil if none, and waits until the next step may
// begin. It reports false if the engine was replaced.
func (c *lockstepClient) awaitTurn(ctx context.Context, finished *burdockengine.GroupStep) bool {
	for {
		answer := c.call(ctx, LockstepTurnPath, finished)
		if answer.Ready || answer.Replaced {
			return answer.Ready
		}
	}
}

// call retries until there is an answer. That is safe because the Lockstep records each
// finished step once.
func (c *lockstepClient) call(ctx context.Context, path string, finished *burdockengine.GroupStep) TurnAnswer {
	for {
		if answer, ok := c.tryCall(ctx, path, finished); ok {
			return answer
		}
		time.Sleep(retryInterval)
	}
}

func (c *lockstepClient) tryCall(ctx context.Context, path string, finished *burdockengine.GroupStep) (TurnAnswer, bool) {
	var answer TurnAnswer
	turn := Turn{Rank: c.rank, Life: c.incarnation, Finished: finished}
	req, err := sling.New().Base(c.base).Post(path).BodyJSON(turn).Request()
	if err != nil {
		return answer, false
	}
	res, err := c.client.Do(req.WithContext(ctx))
	if err != nil {
		return answer, false
	}
	defer func() { _ = res.Body.Close() }()
	err = json.NewDecoder(res.Body).Decode(&answer)
	return answer, err == nil && res.StatusCode == http.StatusOK
}
