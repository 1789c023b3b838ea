package burdockagent

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"github.com/VictoriaMetrics/metrics"
)

// histogramBounds are upper bounds in seconds, from one engine step to a long wait.
var histogramBounds = []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30, 60}

// agentMetrics contains an agent's metrics. No label value comes from a request.
type agentMetrics struct {
	set         *metrics.Set
	offered     *metrics.Counter
	repeated    *metrics.Counter
	answered    *metrics.Counter
	cut         *metrics.Counter
	cancelled   *metrics.Counter
	attachments *metrics.Counter
	queueWait   *metrics.PrometheusHistogram
	firstByte   *metrics.PrometheusHistogram
}

func newAgentMetrics(a *Agent, set *metrics.Set) agentMetrics {
	gauge := func(name string, value func(burdockqueue.Load) float64) {
		set.NewGauge(name, func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return value(a.queue.Load())
		})
	}
	gauge("burdock_agent_queued_requests", func(l burdockqueue.Load) float64 { return float64(l.Queued) })
	gauge("burdock_agent_running_requests", func(l burdockqueue.Load) float64 { return float64(l.Running) })
	gauge("burdock_agent_slots", func(l burdockqueue.Load) float64 { return float64(l.Slots) })
	gauge("burdock_agent_queued_tokens", func(l burdockqueue.Load) float64 { return float64(l.QueuedCost) })
	gauge("burdock_agent_expected_wait_seconds", func(l burdockqueue.Load) float64 { return l.ExpectedWait.Duration().Seconds() })
	requestCounter := func(outcome string) *metrics.Counter {
		return set.NewCounter(fmt.Sprintf("burdock_agent_requests_total{outcome=%q}", outcome))
	}
	return agentMetrics{
		set:         set,
		offered:     set.NewCounter("burdock_agent_offers_total"),
		repeated:    requestCounter("repeated"),
		answered:    requestCounter("answered"),
		cut:         requestCounter("cut"),
		cancelled:   requestCounter("cancelled"),
		attachments: set.NewCounter("burdock_agent_attachments_total"),
		queueWait:   set.NewPrometheusHistogramExt("burdock_agent_queue_wait_seconds", histogramBounds),
		firstByte:   set.NewPrometheusHistogramExt("burdock_agent_first_byte_seconds", histogramBounds),
	}
}

// addRefusal counts a refusal by reason.
func (m agentMetrics) addRefusal(reason burdockwire.RefusedReason) {
	m.set.GetOrCreateCounter(fmt.Sprintf("burdock_agent_refusals_total{reason=%q}", reason.Name())).Inc()
}

// observe records the queue wait and the time to first byte of a job that had an engine
// slot.
func (m agentMetrics) observe(j *job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.startedAt == 0 {
		return
	}
	m.queueWait.Update(seconds(j.startedAt - j.arrived))
	if j.firstByteAt > 0 {
		m.firstByte.Update(seconds(j.firstByteAt - j.startedAt))
	}
}

func seconds(span burdockclock.Millis) float64 { return span.Duration().Seconds() }

// countRefusal counts a refusal in the outcome counts and the metrics.
func (a *Agent) countRefusal(reason burdockwire.RefusedReason) {
	a.counts.Refused++
	a.metrics.addRefusal(reason)
}
