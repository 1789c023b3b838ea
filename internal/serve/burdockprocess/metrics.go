package burdockprocess

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/serve/burdockserver"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
	"burdockbend.example/burdockbend/internal/state/burdocksync"
)

// configurationStates are the values of the state label of burdock_config_state,
// which shows where the configuration comes from.
var configurationStates = []burdockcharts.ConfigurationState{
	burdockcharts.ConfigurationStarting,
	burdockcharts.ConfigurationFromPeer,
	burdockcharts.ConfigurationCurrent,
	burdockcharts.ConfigurationStale,
}

// registerMetrics registers the metrics that every process exports.
func (n *node) registerMetrics() {
	gauge := func(name string, value func() float64) { n.metrics.NewGauge(name, value) }
	gauge("burdock_config_keys", func() float64 { return float64(n.view.Len()) })
	gauge("burdock_config_findings", func() float64 { return float64(len(n.fleet.Findings())) })
	for _, state := range configurationStates {
		gauge(fmt.Sprintf("burdock_config_state{state=%q}", state), func() float64 { return boolToFloat(n.source.State().State == state) })
	}
	gauge("burdock_config_verified", func() float64 { return boolToFloat(n.source.Verified()) })
	gauge("burdock_config_store_age_seconds", func() float64 { return ageSeconds(n.source.State(), storeAge) })
	gauge("burdock_config_peer_age_seconds", func() float64 { return ageSeconds(n.source.State(), peerAge) })
	gauge("burdock_stopping", func() float64 { return boolToFloat(n.stopState() != burdockcharts.StopServing) })
}

// registerServerMetrics registers the metrics of one listener.
func (n *node) registerServerMetrics(s *burdockserver.Server) {
	label := fmt.Sprintf("{server=%q}", s.Name())
	n.metrics.NewGauge("burdock_server_connections"+label, func() float64 { return float64(s.Connections()) })
	n.metrics.NewGauge("burdock_server_refused_connections"+label, func() float64 { return float64(s.RefusedConnections()) })
	n.metrics.NewGauge("burdock_server_connection_limit"+label, func() float64 { return float64(s.MaxConnections()) })
}

func storeAge(s burdocksync.SourceState) burdockclock.Millis { return s.StoreAgoMillis }

func peerAge(s burdocksync.SourceState) burdockclock.Millis { return s.PeerAgoMillis }

// ageSeconds returns the time since the last contact with a source, in seconds, or
// -1 if there was none.
func ageSeconds(s burdocksync.SourceState, age func(burdocksync.SourceState) burdockclock.Millis) float64 {
	if millis := age(s); millis >= 0 {
		return millis.Duration().Seconds()
	}
	return -1
}

func boolToFloat(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
