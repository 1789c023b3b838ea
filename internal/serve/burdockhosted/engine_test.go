package burdockhosted

import (
	"context"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

// unresponsiveRank leaves its first orders unanswered and does not carry them out.
type unresponsiveRank struct {
	fakeRank
	ignored  int
	received int
}

// Order implements Rank.
func (r *unresponsiveRank) Order(ctx context.Context, epoch, orderCount int64, order RankOrder) error {
	r.received++
	if r.received <= r.ignored {
		return ErrNoAnswer.New("no answer")
	}
	return r.fakeRank.Order(ctx, epoch, orderCount, order)
}

func newUnresponsiveEngine(ignored int) (*unresponsiveRank, *engine) {
	group := &fakeGroup{used: map[int64]bool{}}
	r := &unresponsiveRank{fakeRank: fakeRank{group: group}, ignored: ignored}
	group.ranks = []*fakeRank{&r.fakeRank}
	return r, &engine{rank: r, spec: func() *burdocksite.Engine { return nil }, epoch: 1, speed: newEngineSpeed(zap.NewNop())}
}

// A group stalls until an engine has carried out an order that it left unanswered. The
// order must be sent again at once, and not only in the controller's next round.
func TestUnansweredOrderIsRetriedImmediately(t *testing.T) {
	r, e := newUnresponsiveEngine(3)
	status, err := e.Order(context.Background(), 1, burdockgroup.HoldAt{Step: 5})
	if err != nil || !status.Held || status.HoldAt != 5 {
		t.Errorf("got %+v, %v, want it held at step 5", status, err)
	}
	if got, want := r.received, 4; got != want {
		t.Errorf("orders received: got %d, want %d", got, want)
	}
	r, e = newUnresponsiveEngine(1000)
	if _, err := e.Order(context.Background(), 1, burdockgroup.HoldAt{Step: 5}); !errorx.IsOfType(err, ErrNoAnswer) {
		t.Errorf("an engine that never answers: got %v, want ErrNoAnswer", err)
	}
	if got, limit := r.received, maxOrderAttempts; got > limit {
		t.Errorf("orders received: got %d, want %d at most", got, limit)
	}
}

// A group is formed again while an order of the previous epoch is on its way. The order
// must not reach the new epoch, whose step numbers start from the beginning.
func TestOrderOfAnotherEpochIsNotSent(t *testing.T) {
	r, e := newUnresponsiveEngine(0)
	e.epoch = 2
	if _, err := e.Order(context.Background(), 1, burdockgroup.HoldAt{Step: 5}); !errorx.IsOfType(err, ErrNoGroup) {
		t.Errorf("got %v, want ErrNoGroup", err)
	}
	if got, want := r.received, 0; got != want {
		t.Errorf("orders received: got %d, want %d", got, want)
	}
}

func TestInitialMapAssignsExpertsRoundRobin(t *testing.T) {
	content, err := initialMapContent(&burdocksite.Engine{Layers: 2, Experts: 4}, 2)
	if err != nil {
		t.Fatal(err)
	}
	experts, err := decodeExperts(content)
	if err != nil {
		t.Fatal(err)
	}
	want := [][][]int{{{0, 2}, {1, 3}}, {{0, 2}, {1, 3}}}
	for l := range want {
		for r := range want[l] {
			for i, e := range want[l][r] {
				if experts[l][r][i] != e {
					t.Errorf("layer %d rank %d: got %v, want %v", l, r, experts[l][r], want[l][r])
				}
			}
		}
	}
	if got, want := mapVersion(0), burdockid.MapVersion(1); got != want {
		t.Errorf("version of the first map: got %d, want %d", got, want)
	}
}
