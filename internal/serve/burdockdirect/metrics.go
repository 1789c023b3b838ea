package burdockdirect

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"github.com/VictoriaMetrics/metrics"
)

// meters holds the entry's metrics. No label has a value that a caller chose.
type meters struct {
	set         *metrics.Set
	requests    *metrics.Counter
	retries     *metrics.Counter
	connections *metrics.Counter
	waits       *metrics.Histogram
	firstEvents *metrics.Histogram
	// late counts the requests that went behind those that can be in time, retriesSeen
	// those of them that a caller had sent before.
	late        *metrics.Counter
	retriesSeen *metrics.Counter
	// stopped counts the requests that the end of a planned stop has ended.
	stopped *metrics.Counter
	// partRefusals counts the requests refused for a quarantined part of their prompts,
	// partQuarantines the parts that were quarantined.
	partRefusals    *metrics.Counter
	partQuarantines *metrics.Counter
	// crashRefusals counts the requests refused because equal ones crashed upstreams.
	crashRefusals *metrics.Counter
}

func newMeters(set *metrics.Set) *meters {
	return &meters{
		set:         set,
		requests:    set.NewCounter("burdock_direct_requests_total"),
		retries:     set.NewCounter("burdock_direct_retries_total"),
		connections: set.NewCounter("burdock_direct_upstream_connections_total"),
		waits:       set.NewHistogram("burdock_direct_wait_seconds"),
		firstEvents: set.NewHistogram("burdock_direct_first_event_seconds"),
		late:        set.NewCounter("burdock_direct_late_total"),
		retriesSeen: set.NewCounter("burdock_direct_retries_seen_total"),

		stopped: set.NewCounter("burdock_direct_stopped_total"),

		partRefusals:    set.NewCounter("burdock_direct_part_refusals_total"),
		partQuarantines: set.NewCounter("burdock_direct_part_quarantines_total"),

		crashRefusals: set.NewCounter("burdock_direct_crash_refusals_total"),
	}
}

// countRefusal counts a refusal by the entry itself. There are few different statuses.
func (m *meters) countRefusal(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("burdock_direct_refused_total{status=%q}", fmt.Sprint(status))).Inc()
}

// recordOffer records how an offer ended and how long it took. There are few services and
// outcomes.
func (m *meters) recordOffer(service burdockid.Service, outcome outcome, took burdockclock.Millis) {
	labels := fmt.Sprintf("{service=%q,outcome=%q}", service, outcome)
	m.set.GetOrCreateHistogram("burdock_direct_offer_seconds" + labels).Update(took.Duration().Seconds())
}

// exportGauges registers the gauges of a service's gate and pool.
func (m *meters) exportGauges(p *pool) {
	label := fmt.Sprintf("{service=%q}", p.service)
	for name, value := range map[string]func() float64{
		"burdock_direct_running":                func() float64 { return float64(p.gate.load().Running) },
		"burdock_direct_waiting":                func() float64 { return float64(p.gate.load().Queued) },
		"burdock_direct_limit":                  func() float64 { return float64(p.gate.load().Slots) },
		"burdock_direct_ramp":                   func() float64 { return float64(p.gate.currentRamp()) },
		"burdock_direct_rate_limited_upstreams": func() float64 { return float64(p.rateLimited()) },
		"burdock_direct_pausing_upstreams":      func() float64 { return float64(p.pausing()) },
		"burdock_direct_leaving_upstreams":      func() float64 { return float64(p.leavingUpstreams()) },
		"burdock_direct_upstream":               func() float64 { return float64(p.size()) },
	} {
		m.set.NewGauge(name+label, value)
	}
}

// exportRoomGauges registers the gauges of a service with shared admission.
func (m *meters) exportRoomGauges(p *pool) {
	for priority := range numPriorities {
		label := fmt.Sprintf("{service=%q,priority=\"%d\"}", p.service, priority)
		m.set.NewGauge("burdock_direct_room_limit"+label, func() float64 { return float64(p.gate.roomUse(priority).limit) })
		m.set.NewGauge("burdock_direct_room_running"+label, func() float64 { return float64(p.gate.roomUse(priority).running) })
	}
}
