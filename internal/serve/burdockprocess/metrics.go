package burdockprocess

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/serve/burdockserver"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
	"burdockbend.example/burdockbend/internal/state/burdocksync"
)

// configurationStates are the values of the label that tells where the
// configuration comes from.
var configurationStates = []burdockcharts.ConfigurationState{
	burdockcharts.ConfigurationStarting,
	burdockcharts.ConfigurationFromPeer,
	burdockcharts.ConfigurationCurrent,
	burdockcharts.ConfigurationStale,
}

// meter adds the metrics that every process has.
func (n *node) meter() {
	gauge := func(name string, value func() float64) { n.metrics.NewGauge(name, value) }
	gauge("burdock_config_keys", func() float64 { return float64(n.view.Len()) })
	gauge("burdock_config_findings", func() float64 { return float64(len(n.fleet.Findings())) })
	for _, state := range configurationStates {
		gauge(fmt.Sprintf("burdock_config_state{state=%q}", state), func() float64 { return oneIf(n.source.State().State == state) })
	}
	gauge("burdock_config_verified", func() float64 { return oneIf(n.source.Verified()) })
	gauge("burdock_config_store_age_seconds", func() float64 { return age(n.source.State(), ofStore) })
	gauge("burdock_config_peer_age_seconds", func() float64 { return age(n.source.State(), ofPeer) })
	gauge("burdock_stopping", func() float64 { return oneIf(n.stopState() != burdockcharts.StopServing) })
}

// meterServer adds the metrics of one listener.
func (n *node) meterServer(s *burdockserver.Server) {
	label := fmt.Sprintf("{server=%q}", s.Name())
	n.metrics.NewGauge("burdock_server_connections"+label, func() float64 { return float64(s.Connections()) })
	n.metrics.NewGauge("burdock_server_refused_connections"+label, func() float64 { return float64(s.RefusedConnections()) })
	n.metrics.NewGauge("burdock_server_connection_limit"+label, func() float64 { return float64(s.MaxConnections()) })
}

func ofStore(s burdocksync.SourceState) burdockclock.Millis { return s.StoreAgoMillis }

func ofPeer(s burdocksync.SourceState) burdockclock.Millis { return s.PeerAgoMillis }

// age returns how long ago a source was last heard of, in seconds; -1 for never.
func age(s burdocksync.SourceState, of func(burdocksync.SourceState) burdockclock.Millis) float64 {
	if ago := of(s); ago >= 0 {
		return ago.Duration().Seconds()
	}
	return -1
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
