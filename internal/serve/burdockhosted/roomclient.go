package burdockhosted

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockroom"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

const (
	// activeReportInterval is the time between two reports while anything runs or waits:
	// an entry whose demand grows has to get room within three reports.
	activeReportInterval burdockclock.Millis = 100
	// idleReportInterval and exchangeTimeout together are shorter than a part is valid, so that
	// an idle entry has a part when its first request arrives.
	idleReportInterval burdockclock.Millis = 250
	// reportJitter is the fraction of an interval by which it varies, so that the reports
	// of entries that start together spread out.
	reportJitter = 0.1
	// exchangeTimeout is half of the time for which a part is usually valid: after a call
	// to a frozen coordinator, a second one can end before the part does.
	exchangeTimeout burdockclock.Millis = 300
	// sharedServicesInterval is how often an entry checks which services share their room.
	sharedServicesInterval burdockclock.Millis = 500
)

// roomUser is the part of an entry that uses the shared room.
type roomUser interface {
	// SharedServices returns the services whose room is shared.
	SharedServices() []burdockid.Service
	// RoomReport returns a report without Entry, Process and Sequence.
	RoomReport(service burdockid.Service) burdockroom.Report
	// SetRoomPart sets the entry's part of the room, which is valid until a boot time.
	SetRoomPart(service burdockid.Service, part burdockroom.Part, validUntil burdockclock.Millis)
}

// exchangeCall sends a report to the agent at an address.
type exchangeCall func(ctx context.Context, address string, report *burdockwire.RoomReport) (*burdockwire.RoomPart, error)

// newExchangeCall returns a function that sends reports by RPC.
func newExchangeCall(peers *burdocktransport.Peers) exchangeCall {
	options := append(burdocktransport.ClientOptions(), connect.WithReadMaxBytes(maxRoomMessage))
	return func(ctx context.Context, address string, report *burdockwire.RoomReport) (*burdockwire.RoomPart, error) {
		client := burdockwire.NewRoomServiceClient(peers.Client, peers.URL(address), options...)
		answer, err := client.Exchange(ctx, connect.NewRequest(report))
		if err != nil {
			return nil, err
		}
		return answer.Msg, nil
	}
}

// roomClient reports the demand of an entry to the agents that divide the room of its
// services, and passes their answers to the entry.
type roomClient struct {
	user      roomUser
	vm        burdockid.VM
	process   uint64 // random
	directory *roomDirectory
	call      exchangeCall
	clock     burdockclock.Clock
	set       *metrics.Set
	log       *zap.Logger
	sequence  atomic.Uint64 // of the latest report of any service

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	// loops holds a function that ends the loop of a service. Only run uses it.
	loops map[burdockid.Service]context.CancelFunc
}

func newRoomClient(user roomUser, vm burdockid.VM, directory *roomDirectory, call exchangeCall, clock burdockclock.Clock, set *metrics.Set, log *zap.Logger) *roomClient {
	ctx, cancel := context.WithCancel(context.Background())
	return &roomClient{
		user: user, vm: vm, process: rand.Uint64(), directory: directory, call: call, clock: clock, set: set, log: log,
		ctx: ctx, cancel: cancel, loops: map[burdockid.Service]context.CancelFunc{},
	}
}

func (c *roomClient) start() {
	c.done.Add(1)
	go c.run()
}

func (c *roomClient) close() {
	c.cancel()
	c.done.Wait()
}

// run keeps one loop for each service whose room is shared.
func (c *roomClient) run() {
	defer c.done.Done()
	for c.ctx.Err() == nil {
		c.updateLoops()
		sleep(c.ctx, sharedServicesInterval.Duration())
	}
}

func (c *roomClient) updateLoops() {
	shared := map[burdockid.Service]bool{}
	for _, service := range c.user.SharedServices() {
		shared[service] = true
		if c.loops[service] == nil {
			ctx, cancel := context.WithCancel(c.ctx)
			c.loops[service] = cancel
			c.done.Add(1)
			go newRoomLoop(c, service).run(ctx)
		}
	}
	for service, cancel := range c.loops {
		if !shared[service] {
			cancel()
			delete(c.loops, service)
		}
	}
}

// roomLoop exchanges reports and parts for one service.
type roomLoop struct {
	*roomClient
	service burdockid.Service
	// fences holds the highest fencing number seen of each group. A group that sorts before
	// the former first one may have a lower number.
	fences    map[burdockid.Group]burdockid.Fence
	partUntil burdockclock.Millis // end of the latest part; 0 if it has expired or there was none
}

func newRoomLoop(c *roomClient, service burdockid.Service) *roomLoop {
	return &roomLoop{roomClient: c, service: service, fences: map[burdockid.Group]burdockid.Fence{}}
}

func (l *roomLoop) run(ctx context.Context) {
	defer l.done.Done()
	// All entries of a fleet may have started at the same moment.
	sleep(ctx, burdockclock.Millis(rand.Int64N(int64(activeReportInterval))).Duration())
	for ctx.Err() == nil {
		sentAt := l.clock.Boot()
		interval := l.exchange(ctx)
		if interval == idle {
			l.waitWhileIdle(ctx, sentAt+jittered(idleReportInterval))
			continue
		}
		sleep(ctx, (sentAt + jittered(interval) - l.clock.Boot()).Duration())
	}
}

// waitWhileIdle waits until a time, or until anything runs or waits.
func (l *roomLoop) waitWhileIdle(ctx context.Context, until burdockclock.Millis) {
	for ctx.Err() == nil && l.clock.Boot() < until {
		sleep(ctx, min(until-l.clock.Boot(), activeReportInterval).Duration())
		if active(l.user.RoomReport(l.service)) {
			return
		}
	}
}

func jittered(interval burdockclock.Millis) burdockclock.Millis {
	return burdockclock.Millis((1 + reportJitter*(rand.Float64()-0.5)) * float64(interval))
}

// active reports whether anything runs or waits.
func active(r burdockroom.Report) bool {
	for _, d := range r.Demands {
		if d.Running > 0 || d.Waiting > 0 {
			return true
		}
	}
	return false
}

// idle is returned by exchange if nothing runs or waits.
const idle burdockclock.Millis = 0

// exchange sends one report. It returns the time from then to the next one, or idle.
func (l *roomLoop) exchange(ctx context.Context) burdockclock.Millis {
	sentAt := l.clock.Boot()
	report := l.user.RoomReport(l.service)
	report.Entry, report.Process, report.Sequence = l.vm, l.process, l.sequence.Add(1)
	interval := idle
	if active(report) {
		interval = activeReportInterval
	}
	part, err := l.ask(ctx, sentAt, report)
	if ctx.Err() != nil {
		return interval
	}
	if err != nil {
		l.failed(err)
		return interval
	}
	l.set.GetOrCreateCounter(fmt.Sprintf("burdock_room_parts_total{service=%q}", l.service)).Inc()
	if l.partUntil == 0 {
		l.log.Info("has a part of the room", zap.String("service", string(l.service)), zap.Int("room", part.Room), zap.Bool("learning", part.Learning))
	}
	l.partUntil = sentAt + part.ValidFor
	l.user.SetRoomPart(l.service, part, l.partUntil)
	if part.NextReport > 0 {
		return part.NextReport
	}
	return interval
}

// failed records that a report had no valid answer. The latest part stays in force until it
// expires.
func (l *roomLoop) failed(err error) {
	counter := fmt.Sprintf("burdock_room_failed_total{service=%q,reason=%q}", l.service, failureReason(err))
	if errorx.IsOfType(err, ErrRoomMessage) {
		counter = fmt.Sprintf("burdock_room_refused_parts_total{service=%q,field=%q}", l.service, roomField(err))
	}
	l.set.GetOrCreateCounter(counter).Inc()
	if l.partUntil != 0 && l.clock.Boot() >= l.partUntil {
		l.partUntil = 0
		l.log.Warn("has no part of the room any more", zap.String("service", string(l.service)), zap.Error(err))
	}
}

// failureReason returns why there was no answer, for metrics.
func failureReason(err error) string {
	if errorx.IsOfType(err, ErrNoCoordinator) {
		return "no_coordinator"
	}
	return connect.CodeOf(err).String()
}

// ask sends a report to the coordinator and returns its answer. An ErrRoomMessage means that
// the answer was refused; without one, the error is an ErrNoCoordinator or that of the call.
func (l *roomLoop) ask(ctx context.Context, sentAt burdockclock.Millis, report burdockroom.Report) (burdockroom.Part, error) {
	to, err := l.coordinator()
	if err != nil {
		return burdockroom.Part{}, err
	}
	msg, err := reportToWire(to, report)
	if err != nil {
		l.log.Error("invalid report about the room", zap.String("service", string(l.service)), zap.Error(err))
		return burdockroom.Part{}, err
	}
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
	defer cancel()
	answer, err := l.call(callCtx, to.address, msg)
	if err != nil {
		return burdockroom.Part{}, fmt.Errorf("agent %s: %w", to.address, err)
	}
	return l.accept(to, sentAt, report, answer)
}

// coordinator returns the agent to ask, and records the fencing number of its lease.
func (l *roomLoop) coordinator() (roomCoordinator, error) {
	to, err := l.directory.coordinator(l.service)
	if err != nil {
		return to, err
	}
	if highest := l.fences[to.name]; to.fence < highest {
		return to, ErrNoCoordinator.New("the lease of group %s has fence %d, after %d", to.name, to.fence, highest)
	}
	l.fences[to.name] = to.fence
	return to, nil
}

// accept returns the part in an answer to a report, or an ErrRoomMessage that names the
// field for which it is refused.
func (l *roomLoop) accept(from roomCoordinator, sentAt burdockclock.Millis, report burdockroom.Report, msg *burdockwire.RoomPart) (burdockroom.Part, error) {
	part, err := partFromWire(msg)
	if err != nil {
		return part, err
	}
	// Another agent may have acquired the lease since the report was sent.
	if now, err := l.directory.coordinator(l.service); err == nil {
		l.fences[now.name] = max(l.fences[now.name], now.fence)
	}
	switch fence := burdockid.Fence(msg.GetFence()); {
	case msg.GetGroup() != from.group:
		return part, invalidRoomField("group", "%q, asked %q", msg.GetGroup(), from.group)
	case fence != from.fence || fence < l.fences[from.name]:
		return part, invalidRoomField(fieldFence, "%d, asked with %d, highest seen %d", fence, from.fence, l.fences[from.name])
	case part.Sequence != report.Sequence:
		return part, invalidRoomField("sequence", "%d, asked with %d", part.Sequence, report.Sequence)
	case l.clock.Boot() >= sentAt+part.ValidFor:
		return part, invalidRoomField("validFor", "%d ms, expired when it arrived", part.ValidFor)
	}
	return part, nil
}
