package burdockentry

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/serve/burdockapi"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"github.com/VictoriaMetrics/metrics"
)

// firstByteBounds are upper bounds in seconds, from a plain call's answer to a
// long wait in a queue.
var firstByteBounds = []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30, 60}

// noService is the label of requests that were rejected before their service
// was known.
const noService = "none"

// meters are an entry's metrics. Labels are taken from the configuration and
// from the program's own constants, never from what a caller sent, so their
// number is bounded.
type meters struct {
	set         *metrics.Set
	retries     *metrics.Counter
	attachments *metrics.Counter
	withdrawals *metrics.Counter
}

func newMeters(e *Entry, set *metrics.Set) meters {
	set.NewGauge("burdock_entry_open_requests", func() float64 { return float64(e.open.Load()) })
	return meters{
		set:         set,
		retries:     set.NewCounter("burdock_entry_retries_total"),
		attachments: set.NewCounter("burdock_entry_attachments_total"),
		withdrawals: set.NewCounter("burdock_entry_withdrawals_total"),
	}
}

// watch adds the gauges of one service's upstreams.
func (m meters) watch(p *pool) {
	m.set.NewGauge(fmt.Sprintf("burdock_entry_upstreams{service=%q}", p.service), func() float64 { return float64(p.upstreams()) })
	m.set.NewGauge(fmt.Sprintf("burdock_entry_ejected_upstreams{service=%q}", p.service), func() float64 { return float64(p.ejected()) })
}

// ended counts the end of one request.
func (m meters) ended(service burdockid.Service, end ending) {
	if service == "" {
		service = noService
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("burdock_entry_requests_total{service=%q,outcome=%q}", service, end.outcome)).Inc()
	if end.begun {
		m.firstByte(service, end.firstByte)
	}
}

func (m meters) firstByte(service burdockid.Service, after burdockclock.Millis) {
	name := fmt.Sprintf("burdock_entry_first_byte_seconds{service=%q}", service)
	m.set.GetOrCreatePrometheusHistogramExt(name, firstByteBounds).Update(after.Duration().Seconds())
}

// rejected counts a request that was wrong in itself.
func (m meters) rejected(code burdockapi.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf("burdock_entry_rejected_total{code=%q}", code)).Inc()
}

// refused counts an agent's refusal of an offer.
func (m meters) refused(reason burdockwire.RefusedReason) {
	m.set.GetOrCreateCounter(fmt.Sprintf("burdock_entry_refusals_total{reason=%q}", reason.Name())).Inc()
}

// upstreams returns how many upstreams the service has.
func (p *pool) upstreams() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members)
}

// ejected returns how many upstreams get less than their share of work, or
// none, because of what was seen of them.
func (p *pool) ejected() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for name := range p.members {
		if _, leaves := p.leaving[name]; !leaves && p.tracker.Weight(name) < 1 {
			n++
		}
	}
	return n
}
