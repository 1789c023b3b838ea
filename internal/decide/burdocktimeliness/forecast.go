package burdocktimeliness

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

const (
	// arrivalTimeConstant is the time over which arrivals are averaged. It spans a few
	// streams, and is short enough to follow a surge.
	arrivalTimeConstant = 2 * burdockclock.Second
	// serviceSamples is the number of streams over which their mean length is taken.
	serviceSamples = 32
	// initialService is the assumed length of a stream until one has ended.
	initialService = 1500 * burdockclock.Millis(1)
	// minLateShare is the fraction of the limit that late requests may always use, so that
	// they are served at all while demand exceeds the room.
	minLateShare = 0.2
)

// Forecast estimates how much of an entry's room the requests that can be in time are going
// to need, and so how much is left for late ones. Priorities are counted from 0.
//
// After an outage more late requests wait than fit. If they start wherever a slot is free,
// they hold the room for as long as a stream takes, and each request that arrives meanwhile
// becomes late as well.
type Forecast struct {
	arrivals []arrivals
	service  float64 // mean length of a stream in ms
	streams  int     // over which it was taken, serviceSamples at most
}

// NewForecast returns a forecast for a number of priorities.
func NewForecast(priorities int) *Forecast {
	return &Forecast{arrivals: make([]arrivals, priorities), service: float64(initialService)}
}

// ObserveArrival records a request that can be in time.
func (f *Forecast) ObserveArrival(now burdockclock.Millis, priority int) {
	f.arrivals[priority].add(now)
}

// ObserveStream records how long a stream that was answered took.
func (f *Forecast) ObserveStream(took burdockclock.Millis) {
	f.streams = min(f.streams+1, serviceSamples)
	f.service += (float64(took) - f.service) / float64(f.streams)
}

// LateRoom returns up to how many running streams a late request of a priority may start,
// given the limit and how many streams of its own and of more urgent priorities run that
// started in time. It leaves room for those that will come, with a standard deviation on top,
// because they come irregularly.
func (f *Forecast) LateRoom(now burdockclock.Millis, limit, priority, running int) int {
	need := 0.0
	for p := range priority + 1 {
		need += f.arrivals[p].rate(now) * f.service
	}
	missing := max(need+math.Sqrt(need)-float64(running), 0)
	return int(math.Ceil(max(float64(limit)-missing, minLateShare*float64(limit))))
}

// arrivals is the decayed number of arrivals.
type arrivals struct {
	sum       float64
	since, at burdockclock.Millis
	known     bool
}

func (a *arrivals) add(now burdockclock.Millis) {
	if !a.known {
		a.since, a.known = now, true
	}
	a.sum = a.sum*decay(now-a.at) + 1
	a.at = now
}

// rate returns the arrivals per millisecond. The sum is short of its final value until the
// time constant has passed, which counts from the first arrival.
func (a *arrivals) rate(now burdockclock.Millis) float64 {
	if !a.known {
		return 0
	}
	covered := 1 - decay(max(now-a.since, arrivalTimeConstant/8))
	return a.sum * decay(now-a.at) / (float64(arrivalTimeConstant) * covered)
}

func decay(elapsed burdockclock.Millis) float64 {
	return math.Exp(-float64(max(elapsed, 0)) / float64(arrivalTimeConstant))
}
