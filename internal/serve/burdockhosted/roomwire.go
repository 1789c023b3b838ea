package burdockhosted

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockroom"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"github.com/joomcode/errorx"
)

const (
	// maxRoomLoads bounds the engines that a part lists: those of all reports.
	maxRoomLoads = 4096
	// maxRoomStreams bounds a number of streams, far beyond what the engines of a service
	// run or callers send, so that sums over hundreds of entries can't overflow.
	maxRoomStreams = 1 << 24
	// maxRoomCost bounds the tokens that one customer has waiting, for the same reason.
	maxRoomCost = 1 << 43
	// maxRoomSlowdown is far above the slowdown at which entries stop to measure it.
	maxRoomSlowdown = 1000
	// maxRoomName bounds the length of names in bytes.
	maxRoomName = 512
	// maxPartValidity bounds how long a part is valid, against corrupt values. The
	// coordinator grants what a silent entry doesn't run to others once its part has expired.
	maxPartValidity = 5 * burdockclock.Second
	// maxRoomMessage bounds a message in bytes. The longest report takes some 20 KB, the
	// longest part of a service with hundreds of engines as much.
	maxRoomMessage = 256 << 10
)

// ErrRoomMessage means that a message of the exchange has an invalid field; see roomField.
var ErrRoomMessage = Errors.NewType("roomMessage")

// roomFieldProperty holds the name of the field that an ErrRoomMessage is about.
var roomFieldProperty = errorx.RegisterProperty("field")

func invalidRoomField(field, format string, args ...any) error {
	return ErrRoomMessage.New(field+": "+format, args...).WithProperty(roomFieldProperty, field)
}

// roomField returns the name of the field that an error is about, for metrics; "other" if
// it names none.
func roomField(err error) string {
	if field, ok := errorx.ExtractProperty(err, roomFieldProperty); ok {
		return field.(string)
	}
	if field := burdockroom.FieldOf(err); field != "" {
		return field
	}
	return "other"
}

// roomChecker keeps the first invalid field of a message.
type roomChecker struct{ err error }

func (c *roomChecker) fail(field, format string, args ...any) {
	if c.err == nil {
		c.err = invalidRoomField(field, format, args...)
	}
}

// between checks that a number is from 0 to highest. NaN is not.
func (c *roomChecker) between(field string, got, highest float64) {
	if !(got >= 0 && got <= highest) {
		c.fail(field, "%v is not from 0 to %v", got, highest)
	}
}

func (c *roomChecker) streams(field string, n int) { c.between(field, float64(n), maxRoomStreams) }

func (c *roomChecker) priority(field string, p int) {
	c.between(field, float64(p), burdockroom.Priorities-1)
}

// name checks the length of a name. Only customers may have an empty one: requests without
// a key count as one customer.
func (c *roomChecker) name(field, name string, lowest int) {
	if len(name) < lowest || len(name) > maxRoomName {
		c.fail(field, "a name of %d bytes", len(name))
	}
}

// length checks the length of a list, and reports whether it may be read.
func (c *roomChecker) length(field string, n, most int) bool {
	if n > most {
		c.fail(field, "%d elements, %d at most", n, most)
		return false
	}
	return true
}

// checkRoomReport returns an ErrRoomMessage for the first invalid field of a report.
func checkRoomReport(r burdockroom.Report) error {
	c := &roomChecker{}
	c.name("entry", string(r.Entry), 1)
	if r.Sequence == 0 {
		c.fail("sequence", "0")
	}
	c.between("capacity", r.Capacity, maxRoomStreams)
	c.between("slowdown", r.Slowdown, maxRoomSlowdown)
	if c.length("demands", len(r.Demands), burdockroom.Priorities) {
		c.demands(r.Demands)
	}
	if c.length("customers", len(r.Customers), burdockroom.MaxCustomers) {
		c.customers(r.Customers)
	}
	if c.length("engines", len(r.Engines), burdockroom.MaxEngines) {
		c.engines("engines", r.Engines)
	}
	return c.err
}

func (c *roomChecker) demands(demands []burdockroom.Demand) {
	seen := map[int]bool{}
	for _, d := range demands {
		c.priority("demands", d.Priority)
		c.streams("demands", d.Running)
		c.streams("demands", d.Waiting)
		if seen[d.Priority] {
			c.fail("demands", "priority %d twice", d.Priority)
		}
		seen[d.Priority] = true
	}
}

func (c *roomChecker) customers(demands []burdockroom.CustomerDemand) {
	type key struct {
		priority int
		customer burdockid.Customer
	}
	seen := map[key]bool{}
	for _, d := range demands {
		c.priority("customers", d.Priority)
		c.name("customers", string(d.Customer), 0)
		c.streams("customers", d.Waiting)
		c.between("customers", float64(d.Cost), maxRoomCost)
		k := key{d.Priority, d.Customer}
		if seen[k] {
			c.fail("customers", "%q twice in priority %d", d.Customer, d.Priority)
		}
		seen[k] = true
	}
}

func (c *roomChecker) engines(field string, loads []burdockroom.EngineLoad) {
	seen := make(map[burdockid.Upstream]bool, len(loads))
	for _, l := range loads {
		c.name(field, string(l.Engine), 1)
		c.streams(field, l.Streams)
		if seen[l.Engine] {
			c.fail(field, "%q twice", l.Engine)
		}
		seen[l.Engine] = true
	}
}

// checkRoomPart returns an ErrRoomMessage for the first invalid field of a part.
func checkRoomPart(p burdockroom.Part) error {
	c := &roomChecker{}
	if p.ValidFor == 0 {
		c.fail("validFor", "0")
	}
	c.between("validFor", float64(p.ValidFor), float64(maxPartValidity))
	c.between("nextReport", float64(p.NextReport), float64(maxPartValidity))
	c.limits(p)
	c.streams("room", p.Room)
	c.streams("running", p.Running)
	c.between("slowdown", p.Slowdown, maxRoomSlowdown)
	if c.length("loads", len(p.Loads), maxRoomLoads) {
		c.engines("loads", p.Loads)
	}
	return c.err
}

// limits checks the limits of a part. There may be none while the coordinator learns.
func (c *roomChecker) limits(p burdockroom.Part) {
	if len(p.Limits) != burdockroom.Priorities && !(p.Learning && len(p.Limits) == 0) {
		c.fail("limits", "%d of them, want %d", len(p.Limits), burdockroom.Priorities)
	}
	for i, limit := range p.Limits {
		c.streams("limits", limit)
		if i > 0 && limit > p.Limits[i-1] {
			c.fail("limits", "%d of priority %d is above %d of the one before", limit, i, p.Limits[i-1])
		}
	}
}

// reportToWire returns the message of a report to the holder of a group's lease.
func reportToWire(to roomCoordinator, r burdockroom.Report) (*burdockwire.RoomReport, error) {
	if err := checkRoomReport(r); err != nil {
		return nil, err
	}
	msg := &burdockwire.RoomReport{
		Group: to.group, Fence: uint64(to.fence), Entry: string(r.Entry), Process: r.Process, Sequence: r.Sequence,
		Capacity: r.Capacity, Slowdown: r.Slowdown, Engines: loadsToWire(r.Engines),
	}
	for _, d := range r.Demands {
		if d.Running > 0 || d.Waiting > 0 {
			msg.Demands = append(msg.Demands, &burdockwire.RoomDemand{Priority: int32(d.Priority), Running: int32(d.Running), Waiting: int32(d.Waiting)})
		}
	}
	for _, d := range r.Customers {
		msg.Customers = append(msg.Customers, &burdockwire.RoomCustomerDemand{
			Priority: int32(d.Priority), Customer: string(d.Customer), Waiting: int32(d.Waiting), CostTokens: int64(d.Cost),
		})
	}
	return msg, nil
}

// reportFromWire returns the report in a message. Priorities that the message leaves out
// have no demand.
func reportFromWire(msg *burdockwire.RoomReport) (burdockroom.Report, error) {
	r := burdockroom.Report{
		Entry: burdockid.VM(msg.GetEntry()), Process: msg.GetProcess(), Sequence: msg.GetSequence(),
		Capacity: msg.GetCapacity(), Slowdown: msg.GetSlowdown(), Engines: loadsFromWire(msg.GetEngines()),
	}
	for _, d := range msg.GetDemands() {
		r.Demands = append(r.Demands, burdockroom.Demand{Priority: int(d.GetPriority()), Running: int(d.GetRunning()), Waiting: int(d.GetWaiting())})
	}
	for _, d := range msg.GetCustomers() {
		r.Customers = append(r.Customers, burdockroom.CustomerDemand{
			Priority: int(d.GetPriority()), Customer: burdockid.Customer(d.GetCustomer()), Waiting: int(d.GetWaiting()), Cost: burdockid.Tokens(d.GetCostTokens()),
		})
	}
	if err := checkRoomReport(r); err != nil {
		return burdockroom.Report{}, err
	}
	r.Demands = withAllPriorities(r.Demands)
	return r, nil
}

func withAllPriorities(demands []burdockroom.Demand) []burdockroom.Demand {
	all := make([]burdockroom.Demand, burdockroom.Priorities)
	for p := range all {
		all[p].Priority = p
	}
	for _, d := range demands {
		all[d.Priority] = d
	}
	return all
}

// partToWire returns the message of a part that answers a report.
func partToWire(report *burdockwire.RoomReport, p burdockroom.Part) (*burdockwire.RoomPart, error) {
	if err := checkRoomPart(p); err != nil {
		return nil, err
	}
	msg := &burdockwire.RoomPart{
		Group: report.GetGroup(), Fence: report.GetFence(), Sequence: p.Sequence, ValidForMillis: int64(p.ValidFor), Learning: p.Learning,
		NextReportMillis: int64(p.NextReport), Room: int32(p.Room), Running: int32(p.Running), Slowdown: p.Slowdown, Loads: loadsToWire(p.Loads),
	}
	for _, limit := range p.Limits {
		msg.Limits = append(msg.Limits, int32(limit))
	}
	return msg, nil
}

// partFromWire returns the part in a message.
func partFromWire(msg *burdockwire.RoomPart) (burdockroom.Part, error) {
	p := burdockroom.Part{
		Sequence: msg.GetSequence(), ValidFor: burdockclock.Millis(msg.GetValidForMillis()), Learning: msg.GetLearning(),
		NextReport: burdockclock.Millis(msg.GetNextReportMillis()), Room: int(msg.GetRoom()), Running: int(msg.GetRunning()),
		Slowdown: msg.GetSlowdown(), Loads: loadsFromWire(msg.GetLoads()),
	}
	for _, limit := range msg.GetLimits() {
		p.Limits = append(p.Limits, int(limit))
	}
	if err := checkRoomPart(p); err != nil {
		return burdockroom.Part{}, err
	}
	return p, nil
}

func loadsToWire(loads []burdockroom.EngineLoad) []*burdockwire.RoomEngineLoad {
	msgs := make([]*burdockwire.RoomEngineLoad, len(loads))
	for i, l := range loads {
		msgs[i] = &burdockwire.RoomEngineLoad{Engine: string(l.Engine), Streams: int32(l.Streams)}
	}
	return msgs
}

func loadsFromWire(msgs []*burdockwire.RoomEngineLoad) []burdockroom.EngineLoad {
	loads := make([]burdockroom.EngineLoad, len(msgs))
	for i, msg := range msgs {
		loads[i] = burdockroom.EngineLoad{Engine: burdockid.Upstream(msg.GetEngine()), Streams: int(msg.GetStreams())}
	}
	return loads
}
