package burdockparts

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockevents"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// day is a drawn day of one service: requests with parts that are common, rare or come in
// pairs, upstreams that crash because of parts or of other causes, and entries that hear of
// each other's crashes with a delay, or not at all.
type day struct {
	*burdockevents.Queue
	rnd       *rand.Rand
	upstreams []*simUpstream
	trackers  []*Tracker
	deaf      []bool // entries that are cut off from the store
	lockstep  bool
	closed    burdockclock.Millis // until when the group is closed
	fatal     []*fatalPart
	rate      float64 // requests a second
	subjects  int
	burst     int  // requests with a fatal part that come at once
	trials    bool // quarantined parts are tried
	// sound and refused count the sound requests, and those of them that were refused.
	sound, refused int
}

type simUpstream struct {
	process burdockid.Process
	downTil burdockclock.Millis
	running map[*simRequest]bool
}

type simRequest struct {
	entry   int
	parts   []burdockid.PromptPart
	fatal   *fatalPart
	process burdockid.Process
	began   burdockclock.Millis // 0 before
}

// fatalPart is a part that crashes upstreams, with what it caused.
type fatalPart struct {
	part     burdockid.PromptPart
	crashes  []burdockclock.Millis
	arrivals []burdockclock.Millis
}

// between returns a random time.
func (d *day) between(from, to burdockclock.Millis) burdockclock.Millis {
	return from + burdockclock.Millis(d.rnd.Int64N(int64(to-from+1)))
}

// gap returns a random time between two events of a rate.
func (d *day) gap(perSecond float64) burdockclock.Millis {
	return 1 + burdockclock.Millis(d.rnd.ExpFloat64()*1000/perSecond)
}

const (
	firstDay   burdockclock.Millis = 1_000_000
	warmUp                         = 20 * burdockclock.Second
	daySpan                        = 90 * burdockclock.Second
	fatalSpan                      = 60 * burdockclock.Second
	stableSpan                     = 3 * burdockclock.Second
	maxLate                        = 3
	fatalCount                     = 5
)

func newDay(seed uint64, fatal int) *day {
	d := &day{Queue: burdockevents.New(firstDay), rnd: rand.New(rand.NewPCG(seed, 1))}
	entries := []int{2, 4, 12, 60}[d.rnd.IntN(4)]
	for range entries {
		d.trackers = append(d.trackers, New())
		d.deaf = append(d.deaf, false)
	}
	for i := range []int{3, 8, 16, 48}[d.rnd.IntN(4)] {
		d.upstreams = append(d.upstreams, &simUpstream{process: process(i), running: map[*simRequest]bool{}})
	}
	d.lockstep = d.rnd.IntN(2) == 0
	d.rate = []float64{20, 60, 200}[d.rnd.IntN(3)]
	d.subjects = []int{5, 40, 400}[d.rnd.IntN(3)]
	d.burst = []int{1, 1, 6}[d.rnd.IntN(3)]
	for i := range fatal {
		d.fatal = append(d.fatal, &fatalPart{part: burdockid.PromptPart(fmt.Sprint("bad", i))})
	}
	d.After(0, d.request)
	for _, f := range d.fatal {
		d.After(warmUp+d.between(0, 3000), func() { d.fatalBurst(f, []float64{0.5, 2, 8}[d.rnd.IntN(3)]) })
	}
	return d
}

// request sends a sound request and plans the next one.
func (d *day) request() {
	d.After(d.gap(d.rate), d.request)
	// Low numbers are common: their parts come in pairs.
	n := int(math.Pow(d.rnd.Float64(), 2) * float64(d.subjects))
	r := &simRequest{parts: []burdockid.PromptPart{"c0", burdockid.PromptPart(fmt.Sprint("s", n)), burdockid.PromptPart(fmt.Sprint("t", n))}}
	d.offer(r)
}

func (d *day) fatalBurst(f *fatalPart, perSecond float64) {
	if d.Now() > firstDay+warmUp+fatalSpan {
		return
	}
	d.After(d.gap(perSecond)*burdockclock.Millis(d.burst), func() { d.fatalBurst(f, perSecond) })
	for range d.burst {
		d.offer(&simRequest{parts: []burdockid.PromptPart{"c0", f.part}, fatal: f})
	}
}

// offer sends a request to a random upstream, unless its entry refuses it or no upstream takes
// it.
func (d *day) offer(r *simRequest) {
	r.entry = d.rnd.IntN(len(d.trackers))
	quarantined := d.quarantined(r)
	if r.fatal == nil {
		d.sound++
		if quarantined {
			d.refused++
		}
	}
	u := d.upstreams[d.rnd.IntN(len(d.upstreams))]
	if quarantined || d.Now() < u.downTil || d.lockstep && d.Now() < d.closed {
		return
	}
	r.process = u.process
	u.running[r] = true
	if r.fatal != nil {
		r.fatal.arrivals = append(r.fatal.arrivals, d.Now())
	}
	d.After(d.between(30, 400), func() { d.begin(u, r) })
}

// quarantined reports whether a request is kept from upstreams. One that is due as a trial isn't.
func (d *day) quarantined(r *simRequest) bool {
	v, quarantined := d.trackers[r.entry].Quarantined(d.Now(), "s", r.parts)
	if !quarantined || !d.trials || v.Remaining > 0 {
		return quarantined
	}
	for _, t := range d.trackers {
		t.AddTrial(d.Now(), v.Trial)
	}
	return false
}

// begin is when an upstream begins an answer.
func (d *day) begin(u *simUpstream, r *simRequest) {
	if !u.running[r] || u.process != r.process {
		return
	}
	if r.fatal != nil {
		r.fatal.crashes = append(r.fatal.crashes, d.Now())
		d.crash(u)
		return
	}
	r.began = d.Now()
	d.trackers[r.entry].AddStart(d.Now(), "s", u.process, r.parts)
	d.After(SettleTime+d.between(0, 1000), func() { d.settle(r.entry) })
	d.After(d.between(300, 3000), func() { delete(u.running, r) })
}

// settle publishes what an entry finds harmless.
func (d *day) settle(entry int) {
	for _, sound := range d.trackers[entry].Settle(d.Now()) {
		d.publish(entry, func(t *Tracker) { t.AddSound(d.Now(), sound.Key, sound.At) })
	}
}

// publish applies news at the other entries, some time later.
func (d *day) publish(entry int, apply func(*Tracker)) {
	for i, t := range d.trackers {
		if i != entry && !d.deaf[i] && !d.deaf[entry] {
			d.After(d.between(10, 90), func() { apply(t) })
		}
	}
}

// crash ends a process. Each entry with pending requests there reports them. In a lock-step
// group, all others end their requests, and none takes any for a while.
func (d *day) crash(u *simUpstream) {
	parts := map[int][]burdockid.PromptPart{}
	for r := range u.running {
		if r.began == 0 || d.Now()-r.began < SettleTime {
			parts[r.entry] = append(parts[r.entry], r.parts...)
		}
	}
	for entry := range d.trackers {
		if len(parts[entry]) == 0 {
			continue
		}
		c := Crash{Process: u.process, Service: "s", At: d.Now(), Members: len(d.upstreams)}
		c.Parts, c.Starts = d.trackers[entry].Starts("s", parts[entry])
		report := func(t *Tracker) {
			t.AddCrash(d.Now(), c)
			t.Decide(d.Now())
			d.After(DecideAfter, func() { t.Decide(d.Now()) })
		}
		d.After(1, func() { report(d.trackers[entry]) })
		d.publish(entry, report)
	}
	u.running = map[*simRequest]bool{}
	u.downTil = d.Now() + d.between(700, 4000)
	u.process.StartedAt = d.Now()
	if !d.lockstep {
		return
	}
	d.closed = max(d.closed, u.downTil+500)
	for _, other := range d.upstreams {
		other.running = map[*simRequest]bool{}
	}
}

// trouble draws crashes that no part causes: of single upstreams, of one again and again, and
// of a part or all of them at once.
func (d *day) trouble() {
	d.After(d.between(1000, 8000), d.trouble)
	switch d.rnd.IntN(4) {
	case 0:
		d.crash(d.upstreams[d.rnd.IntN(len(d.upstreams))])
	case 1:
		d.crash(d.upstreams[0])
	case 2:
		for _, i := range d.rnd.Perm(len(d.upstreams))[:d.rnd.IntN(len(d.upstreams))+1] {
			d.After(d.between(0, 200), func() { d.crash(d.upstreams[i]) })
		}
	default:
		for _, u := range d.upstreams {
			d.crash(u)
		}
	}
}

var daysFlag = flag.Uint64("days", 4, "number of drawn days of each kind")

// Guards against denying sound parts because of crashes that no part causes.
func TestCrashesOfOtherCausesQuarantineNoPart(t *testing.T) {
	for seed := range *daysFlag {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := newDay(seed, 0)
			d.After(warmUp, d.trouble)
			d.RunUntil(firstDay + daySpan)
			d.checkSound(t)
		})
	}
}

// Guards against parts that go on crashing upstreams, and against sound requests that are
// denied with them, also while upstreams crash for other causes.
func TestFatalPartsAreQuarantinedAndNoOthers(t *testing.T) {
	for seed := range *daysFlag {
		for _, trouble := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d trouble %v", seed, trouble), func(t *testing.T) {
				t.Parallel()
				d := newDay(seed, 1+int(seed%2))
				if trouble {
					d.After(warmUp, d.trouble)
				}
				d.RunUntil(firstDay + daySpan)
				d.checkFatal(t)
				d.checkSound(t)
			})
		}
	}
}

// newQuietDay returns a day of a service with hardly any other requests, or whose entries have
// just been started: requests with the fatal part come from the start on.
func newQuietDay(seed uint64) *day {
	d := newDay(seed, 0)
	d.rate = []float64{0.05, 0.5, 20}[seed%3]
	d.trials = true
	f := &fatalPart{part: "bad0"}
	d.fatal = append(d.fatal, f)
	d.After(d.between(0, 1000), func() { d.fatalBurst(f, []float64{0.5, 2.5, 8}[d.rnd.IntN(3)]) })
	return d
}

// Guards against parts that go on crashing upstreams in services of which hardly anything is
// known, and against denying everything there.
func TestFatalPartsOfQuietServicesAreQuarantined(t *testing.T) {
	const minShare, minSound = 0.5, 20
	for seed := range *daysFlag {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := newQuietDay(seed)
			d.RunUntil(firstDay + daySpan)
			d.checkFatal(t)
			if d.sound >= minSound && float64(d.sound-d.refused) < minShare*float64(d.sound) {
				t.Errorf("%v: sound requests refused: got %d of %d, want half at most", d, d.refused, d.sound)
			}
		})
	}
}

func (d *day) String() string {
	return fmt.Sprintf("%d entries, %d upstreams, lock-step %v, %v requests a second, %d subjects, bursts of %d",
		len(d.trackers), len(d.upstreams), d.lockstep, d.rate, d.subjects, d.burst)
}

// checkFatal fails the test if too many requests with a fatal part reached upstreams.
func (d *day) checkFatal(t *testing.T) {
	t.Helper()
	for _, f := range d.fatal {
		late := 0
		for _, at := range f.arrivals {
			if len(f.crashes) >= fatalCount && at > f.crashes[fatalCount-1]+stableSpan {
				late++
			}
		}
		if late > maxLate {
			t.Errorf("%v: requests with part %s later than %d ms after the fifth crash: got %d, want at most %d; %d crashes",
				d, f.part, stableSpan, late, maxLate, len(f.crashes))
		}
	}
}

// checkSound fails the test if sound requests were refused.
func (d *day) checkSound(t *testing.T) {
	t.Helper()
	if d.refused > 0 {
		t.Errorf("%v: sound requests refused: got %d of %d, want none", d, d.refused, d.sound)
	}
}
