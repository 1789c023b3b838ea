package burdockagent

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"github.com/VictoriaMetrics/metrics"
)

// spanBounds are upper bounds in seconds, from one step to a long wait.
var spanBounds = []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30, 60}

// meters are an agent's metrics. No label comes from a request.
type meters struct {
	set         *metrics.Set
	offered     *metrics.Counter
	repeated    *metrics.Counter
	answered    *metrics.Counter
	cut         *metrics.Counter
	cancelled   *metrics.Counter
	attachments *metrics.Counter
	wait        *metrics.PrometheusHistogram
	firstByte   *metrics.PrometheusHistogram
}

func newMeters(a *Agent, set *metrics.Set) meters {
	gauge := func(name string, of func(burdockqueue.Load) float64) {
		set.NewGauge(name, func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return of(a.queue.Load())
		})
	}
	gauge("burdock_agent_queued_requests", func(l burdockqueue.Load) float64 { return float64(l.Queued) })
	gauge("burdock_agent_running_requests", func(l burdockqueue.Load) float64 { return float64(l.Running) })
	gauge("burdock_agent_slots", func(l burdockqueue.Load) float64 { return float64(l.Slots) })
	gauge("burdock_agent_queued_tokens", func(l burdockqueue.Load) float64 { return float64(l.QueuedCost) })
	gauge("burdock_agent_expected_wait_seconds", func(l burdockqueue.Load) float64 { return l.ExpectedWait.Duration().Seconds() })
	ended := func(outcome string) *metrics.Counter {
		return set.NewCounter(fmt.Sprintf("burdock_agent_requests_total{outcome=%q}", outcome))
	}
	return meters{
		set:         set,
		offered:     set.NewCounter("burdock_agent_offers_total"),
		repeated:    ended("repeated"),
		answered:    ended("answered"),
		cut:         ended("cut"),
		cancelled:   ended("cancelled"),
		attachments: set.NewCounter("burdock_agent_attachments_total"),
		wait:        set.NewPrometheusHistogramExt("burdock_agent_queue_wait_seconds", spanBounds),
		firstByte:   set.NewPrometheusHistogramExt("burdock_agent_first_byte_seconds", spanBounds),
	}
}

// refused counts a refusal.
func (m meters) refused(reason burdockwire.RefusedReason) {
	m.set.GetOrCreateCounter(fmt.Sprintf("burdock_agent_refusals_total{reason=%q}", reason.Name())).Inc()
}

// ran takes the spans of a job that had a slot.
func (m meters) ran(j *job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.startedAt == 0 {
		return
	}
	m.wait.Update(seconds(j.startedAt - j.arrived))
	if j.firstByte > 0 {
		m.firstByte.Update(seconds(j.firstByte - j.startedAt))
	}
}

func seconds(span burdockclock.Millis) float64 { return span.Duration().Seconds() }

// countRefusal counts a refusal in the accounts and the metrics.
func (a *Agent) countRefusal(reason burdockwire.RefusedReason) {
	a.counts.Refused++
	a.meters.refused(reason)
}
