package burdockdirect

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// meters are the entry's counters.
type meters struct {
	set         *metrics.Set
	requests    *metrics.Counter
	retries     *metrics.Counter
	connections *metrics.Counter
}

func newMeters(set *metrics.Set) *meters {
	return &meters{
		set:         set,
		requests:    set.NewCounter("burdock_direct_requests_total"),
		retries:     set.NewCounter("burdock_direct_retries_total"),
		connections: set.NewCounter("burdock_direct_upstream_connections_total"),
	}
}

// refused counts an answer of the entry's own. Statuses are few.
func (m *meters) refused(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("burdock_direct_refused_total{status=%q}", fmt.Sprint(status))).Inc()
}
