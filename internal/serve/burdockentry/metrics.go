package burdockentry

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/serve/burdockapi"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"github.com/VictoriaMetrics/metrics"
)

// firstByteBounds are upper bounds in seconds, from the response time of a plain
// request to a long wait in a queue.
var firstByteBounds = []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30, 60}

// noService is the service label of requests that were rejected before their service
// was known.
const noService = "none"

// meters holds an entry's metrics. Label values come from the configuration and from
// constants, never from callers, so their number is bounded.
type meters struct {
	set           *metrics.Set
	retries       *metrics.Counter
	attachments   *metrics.Counter
	cancellations *metrics.Counter
}

func newMeters(e *Entry, set *metrics.Set) meters {
	set.NewGauge("burdock_entry_open_requests", func() float64 { return float64(e.openRequests.Load()) })
	return meters{
		set:           set,
		retries:       set.NewCounter("burdock_entry_retries_total"),
		attachments:   set.NewCounter("burdock_entry_attachments_total"),
		cancellations: set.NewCounter("burdock_entry_withdrawals_total"),
	}
}

// addPoolGauges registers the gauges of one service's pool.
func (m meters) addPoolGauges(p *pool) {
	m.set.NewGauge(fmt.Sprintf("burdock_entry_upstreams{service=%q}", p.service), func() float64 { return float64(p.upstreamCount()) })
	m.set.NewGauge(fmt.Sprintf("burdock_entry_ejected_upstreams{service=%q}", p.service), func() float64 { return float64(p.ejectedCount()) })
}

// requestEnded counts the end of one request.
func (m meters) requestEnded(service burdockid.Service, end requestEnd) {
	if service == "" {
		service = noService
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("burdock_entry_requests_total{service=%q,outcome=%q}", service, end.outcome)).Inc()
	if end.hasFirstByte {
		m.firstByte(service, end.firstByte)
	}
}

func (m meters) firstByte(service burdockid.Service, delay burdockclock.Millis) {
	name := fmt.Sprintf("burdock_entry_first_byte_seconds{service=%q}", service)
	m.set.GetOrCreatePrometheusHistogramExt(name, firstByteBounds).Update(delay.Duration().Seconds())
}

// requestRejected counts a request that was rejected without an offer.
func (m meters) requestRejected(code burdockapi.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf("burdock_entry_rejected_total{code=%q}", code)).Inc()
}

// offerRefused counts an agent's refusal of an offer.
func (m meters) offerRefused(reason burdockwire.RefusedReason) {
	m.set.GetOrCreateCounter(fmt.Sprintf("burdock_entry_refusals_total{reason=%q}", reason.Name())).Inc()
}

// upstreamCount returns the number of upstreams of the service.
func (p *pool) upstreamCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members)
}

// ejectedCount returns the number of upstreams whose weight is reduced because of
// failures or slowness. Leaving upstreams don't count.
func (p *pool) ejectedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for name := range p.members {
		if _, leaving := p.leaving[name]; !leaving && p.tracker.Weight(name) < 1 {
			n++
		}
	}
	return n
}
