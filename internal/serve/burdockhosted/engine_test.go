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

// deafRank leaves its first orders unanswered and undone.
type deafRank struct {
	fakeRank
	deaf  int
	given int
}

// Order implements Rank.
func (r *deafRank) Order(ctx context.Context, epoch, after int64, order RankOrder) error {
	r.given++
	if r.given <= r.deaf {
		return ErrNoAnswer.New("no answer")
	}
	return r.fakeRank.Order(ctx, epoch, after, order)
}

func newDeafEngine(deaf int) (*deafRank, *engine) {
	group := &fakeGroup{used: map[int64]bool{}}
	r := &deafRank{fakeRank: fakeRank{group: group}, deaf: deaf}
	group.ranks = []*fakeRank{&r.fakeRank}
	return r, &engine{rank: r, spec: func() *burdocksite.Engine { return nil }, epoch: 1, speed: newEngineSpeed(zap.NewNop())}
}

// A group stands until an engine has carried out an order that it leaves
// unanswered. The order is given again at once, and not by the next round of
// the group's controller.
func TestUnansweredOrderIsGivenAgainAtOnce(t *testing.T) {
	r, e := newDeafEngine(3)
	status, err := e.Order(context.Background(), 1, burdockgroup.HoldAt{Step: 5})
	if err != nil || !status.Held || status.HoldAt != 5 {
		t.Errorf("got %+v, %v, want it held at step 5", status, err)
	}
	if got, want := r.given, 4; got != want {
		t.Errorf("orders given: got %d, want %d", got, want)
	}
	r, e = newDeafEngine(1000)
	if _, err := e.Order(context.Background(), 1, burdockgroup.HoldAt{Step: 5}); !errorx.IsOfType(err, ErrNoAnswer) {
		t.Errorf("an engine that never answers: got %v, want no answer", err)
	}
	if got, most := r.given, maxOrderAttempts; got > most {
		t.Errorf("orders given: got %d, want %d at most", got, most)
	}
}

// A group was formed anew while an order of the epoch before was under way. The
// order must not reach the new one: its steps begin again from the first.
func TestOrderOfAnotherEpochIsNotGiven(t *testing.T) {
	r, e := newDeafEngine(0)
	e.epoch = 2
	if _, err := e.Order(context.Background(), 1, burdockgroup.HoldAt{Step: 5}); !errorx.IsOfType(err, ErrNoGroup) {
		t.Errorf("got %v, want that there is no such group", err)
	}
	if got, want := r.given, 0; got != want {
		t.Errorf("orders given: got %d, want %d", got, want)
	}
}

func TestFirstMapHoldsExpertsInTurn(t *testing.T) {
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
