package burdockhosted

import (
	"context"
	"strconv"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"github.com/joomcode/errorx"
)

// firstMap is the version of the map with which each epoch begins. Versions
// that controllers give out are far higher: a fencing number is part of them.
const firstMap burdockid.MapVersion = 1

// engine is a Rank as the machines of burdockgroup see it.
//
// An order without an answer may be carried out seconds later. Each order
// names the count of orders begun that the agent has read, and the epoch: so
// of all orders that were given after one reading one at most takes effect,
// and as soon as any has, the others are void. The machines repeat an order
// until the status shows its effect, so none is left that could come late.
type engine struct {
	rank Rank
	spec func() *burdocksite.Engine
	// lag is how old a report may be; 0 on the engine's own VM. An order that is
	// based on an old one is void, and the status after an order is that of
	// before until the lag has passed.
	lag time.Duration
	// loadWait is how long the answer to an order to load waits for the load to
	// end.
	loadWait time.Duration
	// speed is that of the engine, by all reports that are read of it.
	speed *ownSpeed

	mu      sync.Mutex
	epoch   int64 // of the seat that the orders are for
	loading burdockid.MapVersion
	failed  burdockid.MapVersion
}

// Order implements burdockengine.GroupEngine.
func (e *engine) Order(ctx context.Context, _ burdockid.Fence, order burdockgroup.EngineOrder) (burdockgroup.EngineStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before, err := e.read(ctx)
	if err != nil {
		return burdockgroup.EngineStatus{}, err
	}
	out, err := translate(order, before)
	if err != nil || out == nil {
		return e.status(before), err
	}
	after, given, err := e.give(ctx, before, out)
	if err != nil {
		return burdockgroup.EngineStatus{}, err
	}
	if load, ok := order.(burdockgroup.LoadMap); ok {
		e.noteLoad(load.Map, given, before.OrderCount == after.OrderCount)
		if after, err = e.awaitLoad(ctx, int64(load.Map), after); err != nil {
			return burdockgroup.EngineStatus{}, err
		}
	}
	return e.status(after), nil
}

// give gives an order until it is answered or the report shows its effect.
//
// Load: an engine that leaves a third of its orders unanswered, in a group that
// stands until each rank has carried out three. Harm prevented: a group that
// stands for half a second more with each of them. An order that is repeated
// names the same count of orders begun, so one at most takes effect.
func (e *engine) give(ctx context.Context, before RankReport, out RankOrder) (after RankReport, given, err error) {
	for range mostTries {
		given = e.rank.Order(ctx, e.epoch, before.OrderCount, out)
		if e.lag > 0 {
			rest(ctx, e.lag)
		}
		if after, err = e.read(ctx); err != nil {
			return after, given, err
		}
		if !errorx.IsOfType(given, ErrNoAnswer) {
			return after, given, nil
		}
		if after.OrderCount != before.OrderCount {
			return after, nil, nil // an order took effect: the status says which
		}
	}
	return after, given, given
}

// loadLook is the time between two looks whether a load has ended.
const loadLook = 10 * time.Millisecond

// awaitLoad waits for a load that was begun, and returns the report that shows
// its end or the last one before loadWait is over.
//
// Load: a change of the map, for which every rank loads some experts. Harm
// prevented: a controller that asks hundreds of ranks again and again whether they
// have loaded. Each agent asks its own engine instead, which costs no way.
func (e *engine) awaitLoad(ctx context.Context, version int64, after RankReport) (RankReport, error) {
	var err error
	for waited := time.Duration(0); waited < e.loadWait && e.loading == burdockid.MapVersion(version); waited += loadLook {
		if after.Prepared == version || after.Map == version || ctx.Err() != nil {
			break
		}
		rest(ctx, loadLook)
		if after, err = e.read(ctx); err != nil {
			return after, err
		}
	}
	return after, nil
}

// mostTries bounds how often one order is given at once. A change needs an order
// to each rank of a group to be carried out in each of its rounds, so that in a
// large group hardly one in thousands may be given up.
const mostTries = 10

// rest waits for d or until ctx ends.
func rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// noteLoad remembers a load that was begun, or one that the engine won't take.
// A refusal after which other orders were begun may be due to them alone.
func (e *engine) noteLoad(v burdockid.MapVersion, given error, untouched bool) {
	switch {
	case given == nil:
		e.loading = v
	case untouched:
		e.failed = v
	}
}

// read returns the engine's report if it is of the seat's epoch.
func (e *engine) read(ctx context.Context) (RankReport, error) {
	report, err := e.rank.Report(ctx)
	if err != nil {
		return report, err
	}
	e.speed.saw(report)
	if !report.Open || report.Epoch != e.epoch {
		return report, ErrNoGroup.New("epoch %d, open %t; the seat is in epoch %d", report.Epoch, report.Open, e.epoch)
	}
	return report, nil
}

// translate returns the rank's order for an engine order; nil if there is
// nothing to do.
func translate(order burdockgroup.EngineOrder, now RankReport) (RankOrder, error) {
	switch o := order.(type) {
	case burdockgroup.LoadMap:
		if v := int64(o.Map); v == now.Map || v == now.Prepared || v == now.ArmedMap || o.Map == firstMap {
			return nil, nil
		}
		experts, err := expertsOf(o.Content)
		return Prepare{Version: int64(o.Map), Experts: experts}, err
	case burdockgroup.HoldAt:
		if now.Step >= o.Step || now.Held && now.HeldStep == o.Step {
			return nil, nil
		}
		return Hold(o), nil
	case burdockgroup.UseFrom:
		if !now.Held || now.HeldStep != o.Step || now.ArmedMap != 0 {
			return nil, nil
		}
		return Arm{Version: int64(o.Map), Step: o.Step}, nil
	case burdockgroup.Resume:
		if !now.Held || now.HeldStep != o.Step || burdockid.MapVersion(now.ArmedMap) != o.Switch.Map {
			return nil, nil
		}
		return Resume{Step: o.Step}, nil
	case burdockgroup.DropSwitch:
		if !now.Held || now.HeldStep != o.Step || now.ArmedMap == 0 || burdockid.MapVersion(now.ArmedMap) != o.Switch.Map {
			return nil, nil
		}
		return Disarm{Version: now.ArmedMap}, nil
	}
	return nil, nil
}

func expertsOf(content []byte) ([][][]int, error) {
	m, err := burdockexpert.Decode(content)
	if err != nil {
		return nil, err
	}
	shape := m.Shape()
	experts := make([][][]int, shape.Layers)
	for l := range experts {
		experts[l] = make([][]int, shape.Ranks)
		for r := range experts[l] {
			experts[l][r] = []int{}
			for _, e := range m.Experts(burdockid.Layer(l), burdockid.Rank(r)) {
				experts[l][r] = append(experts[l][r], int(e))
			}
		}
	}
	return experts, nil
}

// status is the report in the machines' terms.
func (e *engine) status(r RankReport) burdockgroup.EngineStatus {
	s := burdockgroup.EngineStatus{
		Next: r.Step + 1, Base: mapVersion(r.Map),
		Switch: burdockgroup.Switch{Map: burdockid.MapVersion(r.ArmedMap), At: r.ArmedStep},
		Held:   r.Held, HoldAt: r.HeldStep, Failed: e.failed,
		LastStep: r.Step, LastMap: mapVersion(r.Map),
	}
	if r.ArmedMap == 0 {
		s.Switch = burdockgroup.Switch{}
		s.Spare = burdockid.MapVersion(r.Prepared)
	}
	if s.Base == e.loading || s.Spare == e.loading || s.Switch.Map == e.loading {
		e.loading = 0
	}
	s.Loading = e.loading
	return s
}

// Steps implements burdockengine.GroupEngine. Steps are not told one by one; an
// engine that starts again breaks its group, which begins another epoch.
func (e *engine) Steps(context.Context, burdockid.Step) (burdockengine.GroupSteps, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return burdockengine.GroupSteps{Life: burdockengine.Life(strconv.FormatInt(e.epoch, 10))}, nil
}

// Counts implements burdockengine.GroupEngine.
func (e *engine) Counts(ctx context.Context) (burdockengine.GroupCounts, error) {
	spec := e.spec()
	if spec == nil || spec.Layers == 0 {
		return burdockengine.GroupCounts{}, ErrNoGroup.New("the service's experts are not known")
	}
	epoch, counts, err := e.rank.Counts(ctx)
	if err != nil {
		return burdockengine.GroupCounts{}, err
	}
	out := burdockengine.GroupCounts{
		Life: burdockengine.Life(strconv.FormatInt(epoch, 10)), Slots: spec.Places, MaxLoads: spec.Spare,
		ExpertBytes: spec.ExpertBytes, StoreRate: spec.CopyRate, Speed: e.speed.now(),
	}
	for l := 0; l < spec.Layers && (l+1)*spec.Experts <= len(counts); l++ {
		out.Tokens = append(out.Tokens, counts[l*spec.Experts:(l+1)*spec.Experts])
	}
	return out, nil
}

// Held implements burdockengine.HeldTeller.
func (e *engine) Held(ctx context.Context) (burdockid.MapVersion, [][]burdockid.Expert, error) {
	epoch, version, experts, err := e.rank.Held(ctx)
	if err != nil {
		return 0, nil, err
	}
	if epoch != e.epoch {
		return 0, nil, ErrNoGroup.New("epoch %d; the seat is in epoch %d", epoch, e.epoch)
	}
	return mapVersion(version), experts, nil
}

// Speed implements burdockengine.SpeedTeller.
func (e *engine) Speed() burdockspeed.Speed { return e.speed.now() }

// mapVersion is the version of a map in use.
func mapVersion(v int64) burdockid.MapVersion {
	if v == 0 {
		return firstMap
	}
	return burdockid.MapVersion(v)
}

// firstContent is the map that each epoch begins with: experts in turn.
func firstContent(spec *burdocksite.Engine, ranks int) ([]byte, error) {
	m := burdockexpert.NewMap(burdockexpert.Shape{Layers: spec.Layers, Ranks: ranks, Experts: spec.Experts})
	for l := range spec.Layers {
		for e := range spec.Experts {
			m.Add(burdockid.Layer(l), burdockid.Rank(e%ranks), burdockid.Expert(e))
		}
	}
	return m.Encode()
}
