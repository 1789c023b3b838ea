package burdockcrash

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockevents"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

var days = flag.Int("days", 3, "seeds of each kind of day")

// What crashes upstreams on a day.
type culprit string

const (
	oneRequest culprit = "request" // one content, which comes again and again
	onePart    culprit = "part"    // requests that share a part, no two alike
	hardware   culprit = "none"
)

const (
	dayLength                        = 90 * burdockclock.Second
	troubleFrom                      = 15 * burdockclock.Second
	troubleEvery burdockclock.Millis = 1500
	// hardwareEvery is the time between crashes that no request causes. A single upstream lives
	// long enough between two of them to give the slowest answers.
	hardwareEvery = 8 * burdockclock.Second
	// settledAfter is how long after the fifth crash, or the last, requests have to be served as
	// before.
	settledAfter = 6 * burdockclock.Second
	downtime     = 2 * burdockclock.Second
	// newsDelay is how long the entries take to hear from each other.
	newsDelay burdockclock.Millis = 100
	// partFoundAfter is the number of crashes after which a part is known as their cause.
	partFoundAfter = 5
)

// dayPlan is how requests come on a day.
type dayPlan struct {
	entries, upstreams int
	perSecond          int
	frequent           float64 // share of the requests with equal content
	duration           burdockclock.Millis
	culprit            culprit
}

// day plays entries in front of upstreams that crash.
type day struct {
	dayPlan
	*burdockevents.Queue
	rnd       *rand.Rand
	entryList []*dayEntry
	nodes     []*dayUpstream
	crashes   []burdockclock.Millis
	partCrash map[burdockid.Process]bool
	offers    map[Digest]int
	sent      []sentRequest
}

type dayEntry struct {
	tracker *Tracker
	recent  map[Digest]burdockclock.Millis
	telling map[Digest]bool
}

type dayUpstream struct {
	process burdockid.Process
	down    bool
	running []*run
}

// run is a request at an upstream.
type run struct {
	entry  *dayEntry
	digest Digest
	retry  bool
	over   bool
}

// sentRequest is a harmless request with what became of it at its first attempt.
type sentRequest struct {
	at       burdockclock.Millis
	frequent bool
	refused  bool
}

func newDay(seed uint64, plan dayPlan) *day {
	d := &day{dayPlan: plan, Queue: burdockevents.New(0), rnd: rand.New(rand.NewPCG(seed, seed)), partCrash: map[burdockid.Process]bool{}, offers: map[Digest]int{}}
	for range plan.entries {
		d.entryList = append(d.entryList, &dayEntry{
			tracker: New(Config{Explained: d.explained}), recent: map[Digest]burdockclock.Millis{}, telling: map[Digest]bool{},
		})
	}
	for i := range plan.upstreams {
		d.nodes = append(d.nodes, &dayUpstream{process: burdockid.Process{Upstream: burdockid.Upstream(fmt.Sprint("u", i)), StartedAt: 1}})
	}
	return d
}

func (d *day) explained(p burdockid.Process) bool {
	return len(d.partCrash) >= partFoundAfter && d.partCrash[p]
}

func (d *day) play() {
	d.After(0, d.soundArrives)
	d.After(troubleFrom, d.troubleArrives)
	d.RunUntil(dayLength + 1)
}

var frequentContent = digest(-1)

func (d *day) soundArrives() {
	d.After(1+burdockclock.Millis(d.rnd.ExpFloat64()*1000/float64(d.perSecond)), d.soundArrives)
	content, frequent := digest(len(d.sent)), d.rnd.Float64() < d.frequent
	if frequent {
		content = frequentContent
	}
	d.sent = append(d.sent, sentRequest{at: d.Now(), frequent: frequent})
	at := len(d.sent) - 1
	r := &run{entry: d.entryList[d.rnd.IntN(d.entries)], digest: content}
	if d.quarantined(r) {
		d.sent[at].refused = true
		return
	}
	d.offer(r, "")
}

func (d *day) troubleArrives() {
	if d.culprit == hardware {
		d.After(hardwareEvery, d.troubleArrives)
		if up := d.up(); len(up) > 0 {
			d.crash(up[d.rnd.IntN(len(up))])
		}
		return
	}
	d.After(troubleEvery, d.troubleArrives)
	r := &run{entry: d.entryList[d.rnd.IntN(d.entries)], digest: guilty}
	if d.culprit == onePart {
		if len(d.partCrash) >= partFoundAfter {
			return
		}
		r.digest = DigestOf("s", "POST", "/part", "acme", fmt.Append(nil, d.Now()))
	}
	if !d.quarantined(r) {
		d.offer(r, d.culprit)
	}
}

var guilty = digest(-2)

func (d *day) quarantined(r *run) bool {
	left := r.entry.tracker.QuarantineRemaining(d.Now(), r.digest)
	if at := r.entry.recent[r.digest]; left > 0 && at > 0 {
		r.entry.tracker.AddAnswer(d.Now(), Answer{r.digest, at})
		d.tell(r.entry, r.digest)
		left = r.entry.tracker.QuarantineRemaining(d.Now(), r.digest)
	}
	return left > 0
}

func (d *day) up() []*dayUpstream {
	return slices.DeleteFunc(slices.Clone(d.nodes), func(u *dayUpstream) bool { return u.down })
}

// offer gives a request to an upstream, where it runs to its end or crashes it.
func (d *day) offer(r *run, cause culprit) {
	up := d.up()
	if len(up) == 0 {
		return
	}
	d.offers[r.digest]++
	u := up[d.rnd.IntN(len(up))]
	u.running = append(u.running, r)
	switch cause {
	case oneRequest, onePart:
		if cause == onePart {
			d.partCrash[u.process] = true
		}
		d.crash(u)
		if !r.retry && !d.quarantined(r) {
			d.offer(&run{entry: r.entry, digest: r.digest, retry: true}, cause)
		}
		return
	}
	d.After(d.duration, func() { d.answered(u, r) })
}

func (d *day) answered(u *dayUpstream, r *run) {
	if r.over {
		return
	}
	u.running = slices.DeleteFunc(u.running, func(other *run) bool { return other == r })
	r.entry.recent[r.digest] = d.Now()
	r.entry.tracker.AddAnswer(d.Now(), Answer{r.digest, d.Now()})
	d.tell(r.entry, r.digest)
}

// tell tells the other entries of an answer after a while, if they need it.
func (d *day) tell(e *dayEntry, content Digest) {
	if _, untold := e.tracker.Untold(content); !untold || e.telling[content] {
		return
	}
	e.telling[content] = true
	d.After(burdockclock.Millis(d.rnd.Int64N(int64(burdockclock.Second))), func() {
		e.telling[content] = false
		a, untold := e.tracker.Untold(content)
		if !untold {
			return
		}
		e.tracker.AddToldAnswer(d.Now(), a)
		d.After(newsDelay, func() {
			for _, other := range d.entryList {
				other.tracker.AddToldAnswer(d.Now(), a)
			}
		})
	})
}

// crash ends an upstream. Its requests are suspects, and harmless ones are sent again once.
func (d *day) crash(u *dayUpstream) {
	d.crashes = append(d.crashes, d.Now())
	u.down = true
	running := u.running
	u.running = nil
	for _, r := range running {
		r.over = true
		c := Crash{Request: r.digest, Process: u.process, At: d.Now()}
		d.addCrash(r.entry, c)
		d.After(newsDelay, func() {
			for _, other := range d.entryList {
				d.addCrash(other, c)
			}
		})
	}
	for _, r := range running {
		if r.digest != guilty && !r.retry && !d.quarantined(r) {
			d.After(5, func() { d.offer(&run{entry: r.entry, digest: r.digest, retry: true}, "") })
		}
	}
	d.After(downtime, func() { u.down, u.process.StartedAt = false, d.Now() })
}

func (d *day) addCrash(e *dayEntry, c Crash) {
	if e.tracker.Add(d.Now(), c) {
		d.tell(e, c.Request)
	}
}

// share returns how many harmless requests of a time weren't refused.
func (d *day) share(from, until burdockclock.Millis, frequentOnly bool) (begun, sent int) {
	for _, r := range d.sent {
		if r.at < from || r.at > until || frequentOnly && !r.frequent {
			continue
		}
		sent++
		if !r.refused {
			begun++
		}
	}
	return begun, sent
}

// Guards against frequent harmless content that is taken for what crashes upstreams, and against
// a request that crashes them and is taken for frequent content.
func TestDaysWithFrequentContent(t *testing.T) {
	for _, cause := range []culprit{oneRequest, onePart, hardware} {
		for _, frequent := range []float64{0.01, 0.1, 0.5} {
			for _, duration := range []burdockclock.Millis{50, 700, 4000} {
				for _, upstreams := range []int{1, 4, 16} {
					for seed := range uint64(*days) {
						plan := dayPlan{entries: 1 + int(seed)%12, upstreams: upstreams, perSecond: 60, frequent: frequent, duration: duration, culprit: cause}
						t.Run(fmt.Sprintf("%s_%v_%d_%d_%d", cause, frequent, duration, upstreams, seed), func(t *testing.T) {
							t.Parallel()
							checkDay(t, seed, plan)
						})
					}
				}
			}
		}
	}
}

func checkDay(t *testing.T, seed uint64, plan dayPlan) {
	const (
		maxGuiltyOffers = 2
		minShare        = 0.5
		minSent         = 20
	)
	d := newDay(seed, plan)
	d.play()
	if got := d.offers[guilty]; got > maxGuiltyOffers {
		t.Errorf("offers of the request that crashes upstreams: got %d, want at most %d", got, maxGuiltyOffers)
	}
	if len(d.crashes) == 0 {
		return
	}
	from := cmp.Or(d.crashes[min(partFoundAfter, len(d.crashes))-1], troubleFrom) + settledAfter
	for _, only := range []bool{false, true} {
		if begun, sent := d.share(from, dayLength, only); sent >= minSent && float64(begun) < minShare*float64(sent) {
			t.Errorf("harmless requests (frequent only: %v) offered after crashes: got %d of %d, want half", only, begun, sent)
		}
	}
}
