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

// initialMap is the version of the map with which each epoch begins. Controllers assign
// far higher versions, as a fencing number is part of them.
const initialMap burdockid.MapVersion = 1

// engine adapts a Rank to the state machines of burdockgroup.
//
// An order without an answer may still be carried out seconds later. Each order therefore
// names the epoch and the order count that the agent has read. Of all orders based on the
// same count at most one takes effect, and the others are void afterwards. The state
// machines repeat an order until the status shows its effect, so no order is left that
// could take effect late.
type engine struct {
	rank Rank
	spec func() *burdocksite.Engine
	// reportLag is the maximum age of a report; 0 on the engine's own VM. An order based
	// on an outdated report is void, and the status does not show an order's effect until
	// reportLag has passed.
	reportLag time.Duration
	// loadWait is how long Order waits for a load to end before it returns.
	loadWait time.Duration
	// speed is updated from all reports that are read.
	speed *engineSpeed

	mu      sync.Mutex
	epoch   int64 // of the rank assignment; orders are valid in this epoch only
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
	rankOrder, err := translate(order, before)
	if err != nil || rankOrder == nil {
		return e.status(before), err
	}
	after, orderErr, err := e.submit(ctx, before, rankOrder)
	if err != nil {
		return burdockgroup.EngineStatus{}, err
	}
	if load, ok := order.(burdockgroup.LoadMap); ok {
		e.recordLoad(load.Map, orderErr, before.OrderCount == after.OrderCount)
		if after, err = e.awaitLoad(ctx, int64(load.Map), after); err != nil {
			return burdockgroup.EngineStatus{}, err
		}
	}
	return e.status(after), nil
}

// submit sends an order until it is answered or the report shows its effect.
//
// An engine may leave a third of its orders unanswered, and a group stalls until each
// rank has carried out three. Leaving retries to the controller would stall the group by
// half a second for each lost answer. Repeating is safe, as all attempts name the same
// order count, so at most one of them takes effect.
func (e *engine) submit(ctx context.Context, before RankReport, rankOrder RankOrder) (after RankReport, orderErr, err error) {
	for range maxOrderAttempts {
		orderErr = e.rank.Order(ctx, e.epoch, before.OrderCount, rankOrder)
		if e.reportLag > 0 {
			sleep(ctx, e.reportLag)
		}
		if after, err = e.read(ctx); err != nil {
			return after, orderErr, err
		}
		if !errorx.IsOfType(orderErr, ErrNoAnswer) {
			return after, orderErr, nil
		}
		if after.OrderCount != before.OrderCount {
			return after, nil, nil // an order took effect; the status shows which one
		}
	}
	return after, orderErr, orderErr
}

// loadCheckInterval is how often an agent checks whether a load has ended.
const loadCheckInterval = 10 * time.Millisecond

// awaitLoad waits until a started load has ended, but no longer than loadWait, and
// returns the latest report.
//
// In a map change every rank loads some experts. Without this wait the controller would
// poll hundreds of ranks over the network until they have loaded. Each agent polls its
// own engine instead, on the same VM.
func (e *engine) awaitLoad(ctx context.Context, version int64, after RankReport) (RankReport, error) {
	var err error
	for waited := time.Duration(0); waited < e.loadWait && e.loading == burdockid.MapVersion(version); waited += loadCheckInterval {
		if after.Prepared == version || after.Map == version || ctx.Err() != nil {
			break
		}
		sleep(ctx, loadCheckInterval)
		if after, err = e.read(ctx); err != nil {
			return after, err
		}
	}
	return after, nil
}

// maxOrderAttempts bounds the immediate retries of one order. Every round of a change
// needs an order to be carried out at each rank, so in a large group hardly one order in
// thousands may be given up.
const maxOrderAttempts = 10

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// recordLoad records that a load was started, or that the engine refused it. If the order
// count has changed, other orders may have caused the refusal, and nothing is recorded.
func (e *engine) recordLoad(v burdockid.MapVersion, orderErr error, unchanged bool) {
	switch {
	case orderErr == nil:
		e.loading = v
	case unchanged:
		e.failed = v
	}
}

// read returns the engine's report. It fails if the engine is not in a running group of
// the assignment's epoch.
func (e *engine) read(ctx context.Context) (RankReport, error) {
	report, err := e.rank.Report(ctx)
	if err != nil {
		return report, err
	}
	e.speed.observe(report)
	if !report.Open || report.Epoch != e.epoch {
		return report, ErrNoGroup.New("epoch %d, open %t; the rank assignment is for epoch %d", report.Epoch, report.Open, e.epoch)
	}
	return report, nil
}

// translate returns the rank's order for an engine order; nil if there is nothing to do.
func translate(order burdockgroup.EngineOrder, report RankReport) (RankOrder, error) {
	switch o := order.(type) {
	case burdockgroup.LoadMap:
		if v := int64(o.Map); v == report.Map || v == report.Prepared || v == report.ArmedMap || o.Map == initialMap {
			return nil, nil
		}
		experts, err := decodeExperts(o.Content)
		return Prepare{Version: int64(o.Map), Experts: experts}, err
	case burdockgroup.HoldAt:
		if report.Step >= o.Step || report.Held && report.HeldStep == o.Step {
			return nil, nil
		}
		return Hold(o), nil
	case burdockgroup.UseFrom:
		if !report.Held || report.HeldStep != o.Step || report.ArmedMap != 0 {
			return nil, nil
		}
		return Arm{Version: int64(o.Map), Step: o.Step}, nil
	case burdockgroup.Resume:
		if !report.Held || report.HeldStep != o.Step || burdockid.MapVersion(report.ArmedMap) != o.Switch.Map {
			return nil, nil
		}
		return Resume{Step: o.Step}, nil
	case burdockgroup.DropSwitch:
		if !report.Held || report.HeldStep != o.Step || report.ArmedMap == 0 || burdockid.MapVersion(report.ArmedMap) != o.Switch.Map {
			return nil, nil
		}
		return Disarm{Version: report.ArmedMap}, nil
	}
	return nil, nil
}

func decodeExperts(content []byte) ([][][]int, error) {
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

// status converts a report to the status that burdockgroup expects.
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

// Steps implements burdockengine.GroupEngine. It returns no single steps. An engine that
// restarts ends its group's epoch, so the epoch identifies the run.
func (e *engine) Steps(context.Context, burdockid.Step) (burdockengine.GroupSteps, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return burdockengine.GroupSteps{Incarnation: burdockengine.Incarnation(strconv.FormatInt(e.epoch, 10))}, nil
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
		Incarnation: burdockengine.Incarnation(strconv.FormatInt(epoch, 10)), Slots: spec.ExpertSlots, MaxLoads: spec.MaxLoads,
		ExpertBytes: spec.ExpertBytes, StoreRate: spec.CopyRate, Speed: e.speed.current(),
	}
	for l := 0; l < spec.Layers && (l+1)*spec.Experts <= len(counts); l++ {
		out.Tokens = append(out.Tokens, counts[l*spec.Experts:(l+1)*spec.Experts])
	}
	return out, nil
}

// ResidentExperts implements burdockengine.ResidentExpertsReporter.
func (e *engine) ResidentExperts(ctx context.Context) (burdockid.MapVersion, [][]burdockid.Expert, error) {
	epoch, version, experts, err := e.rank.Held(ctx)
	if err != nil {
		return 0, nil, err
	}
	if epoch != e.epoch {
		return 0, nil, ErrNoGroup.New("epoch %d; the rank assignment is for epoch %d", epoch, e.epoch)
	}
	return mapVersion(version), experts, nil
}

// Speed implements burdockengine.SpeedReporter.
func (e *engine) Speed() burdockspeed.Speed { return e.speed.current() }

// mapVersion returns the version of a map in use, where the engine reports the initial
// map as 0.
func mapVersion(v int64) burdockid.MapVersion {
	if v == 0 {
		return initialMap
	}
	return burdockid.MapVersion(v)
}

// initialMapContent returns the map with which each epoch begins: the experts of each
// layer are assigned to the ranks round-robin.
func initialMapContent(spec *burdocksite.Engine, ranks int) ([]byte, error) {
	m := burdockexpert.NewMap(burdockexpert.Shape{Layers: spec.Layers, Ranks: ranks, Experts: spec.Experts})
	for l := range spec.Layers {
		for e := range spec.Experts {
			m.Add(burdockid.Layer(l), burdockid.Rank(e%ranks), burdockid.Expert(e))
		}
	}
	return m.Encode()
}
