package burdocksettings

import (
	"reflect"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockrule"
)

// Hosted is the settings of a process on a hosted site, where the platform manages
// routes and membership. The process is an entry when CallerListen is set, otherwise
// the agent of an upstream.
type Hosted struct {
	VM         burdockid.VM         `toml:"vm" json:"vm"`
	DataCentre burdockid.DataCentre `toml:"dataCentre" json:"dataCentre"`
	// IP is the VM's address.
	IP string `toml:"ip" json:"ip"`
	// CallerListen and ReadyListen are an entry's IP:port for callers and for the
	// platform's readiness probe.
	CallerListen string `toml:"callerListen" json:"callerListen,omitempty"`
	ReadyListen  string `toml:"readyListen" json:"readyListen,omitempty"`
	// UpstreamAddress is the IP:port of the agent's upstream.
	UpstreamAddress string            `toml:"upstreamAddress" json:"upstreamAddress,omitempty"`
	UpstreamService burdockid.Service `toml:"upstreamService" json:"upstreamService,omitempty"`
	// PeerPort is the port for connections between the system's processes, the same on
	// all VMs.
	PeerPort     int    `toml:"peerPort" json:"peerPort"`
	AdminPort    int    `toml:"adminPort" json:"adminPort"`
	StoreAddress string `toml:"storeAddress" json:"storeAddress"`
	// StoreHistoryMillis is how long the store keeps its history; 0 means unknown.
	StoreHistoryMillis burdockclock.Millis `toml:"storeHistoryMillis" json:"storeHistoryMillis,omitempty"`
	// GraceMillis is the time from the stop signal until the process must have ended.
	GraceMillis burdockclock.Millis `toml:"graceMillis" json:"graceMillis"`
	// QuarantineMillis is how long an entry refuses to send a request to upstreams
	// after it has crashed some.
	QuarantineMillis burdockclock.Millis `toml:"quarantineMillis" json:"quarantineMillis"`
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int `toml:"memoryMB" json:"memoryMB"`
	// LinkMbps is the capacity of the VM's network link in megabits per second; 0 means
	// unknown.
	LinkMbps float64 `toml:"linkMbps" json:"linkMbps,omitempty"`
	// SharedAdmission tells for which services the entries share their admission capacity:
	// SharedAdmissionAuto, SharedAdmissionOn or SharedAdmissionOff.
	SharedAdmission string `toml:"sharedAdmission" json:"sharedAdmission"`
	LogLevel        string `toml:"logLevel" json:"logLevel"`
}

// Values of Hosted.SharedAdmission.
const (
	// SharedAdmissionAuto selects the services with engines whose streams differ in
	// urgency.
	SharedAdmissionAuto = "auto"
	// SharedAdmissionOn selects all services with engines that get streams.
	SharedAdmissionOn = "on"
	// SharedAdmissionOff selects none.
	SharedAdmissionOff = "off"
)

const (
	defaultAdminPort   = 9464
	defaultHostedGrace = 8 * burdockclock.Second
	defaultQuarantine  = 5 * burdockclock.Minute
	maxQuarantine      = 10 * burdockclock.Minute
	maxPort            = 1<<16 - 1
	// defaultMemoryMB is several times what a process needs.
	defaultMemoryMB = 128
	maxMemoryMB     = 1 << 20
	maxLinkMbps     = 1e6
	maxHistory      = burdockclock.Hour
)

// SetDefaults sets the values of the keys that a file may leave out.
func (h *Hosted) SetDefaults() {
	h.AdminPort = defaultAdminPort
	h.GraceMillis = defaultHostedGrace
	h.QuarantineMillis = defaultQuarantine
	h.MemoryMB = defaultMemoryMB
	h.SharedAdmission = SharedAdmissionAuto
	h.LogLevel = defaultLogLevel
}

// LoadHosted reads the settings of a process on a hosted site. The error is a
// *burdockfinding.Error with every finding and its line.
func LoadHosted(file string, data []byte) (Hosted, error) {
	var h Hosted
	if err := load(file, data, &h); err != nil {
		return Hosted{}, err
	}
	return h, nil
}

// RestartRequired returns the keys whose values differ between h, the settings in
// force, and updated, the settings read from the file, and that take effect only after a
// restart. That is every key except the log level, which applies at once.
func (h Hosted) RestartRequired(updated Hosted) []string {
	updated.LogLevel = h.LogLevel
	before, after := reflect.ValueOf(h), reflect.ValueOf(updated)
	var keys []string
	for i := range before.NumField() {
		if !before.Field(i).Equal(after.Field(i)) {
			keys = append(keys, before.Type().Field(i).Tag.Get("toml"))
		}
	}
	return keys
}

// Check returns the findings about the settings. Each names its key.
func (h *Hosted) Check() []burdockfinding.Finding {
	c := &checker{}
	burdockrule.Name(&c.Checker, "vm", h.VM)
	burdockrule.Name(&c.Checker, "dataCentre", h.DataCentre)
	c.Address("storeAddress", h.StoreAddress)
	burdockrule.Between(&c.Checker, "peerPort", h.PeerPort, 1, maxPort)
	burdockrule.Between(&c.Checker, "adminPort", h.AdminPort, 1, maxPort)
	burdockrule.Between(&c.Checker, "graceMillis", h.GraceMillis, 1, maxDrain)
	burdockrule.Between(&c.Checker, "storeHistoryMillis", h.StoreHistoryMillis, 0, maxHistory)
	burdockrule.Between(&c.Checker, "quarantineMillis", h.QuarantineMillis, burdockclock.Second, maxQuarantine)
	burdockrule.Between(&c.Checker, "memoryMB", h.MemoryMB, 1, maxMemoryMB)
	burdockrule.Between(&c.Checker, "linkMbps", h.LinkMbps, 0, maxLinkMbps)
	burdockrule.OneOf(&c.Checker, "sharedAdmission", h.SharedAdmission, SharedAdmissionAuto, SharedAdmissionOn, SharedAdmissionOff)
	burdockrule.OneOf(&c.Checker, "logLevel", h.LogLevel, "debug", "info", "warn", "error")
	switch {
	case h.CallerListen != "":
		c.listen("callerListen", h.CallerListen)
		c.listen("readyListen", h.ReadyListen)
	case h.UpstreamAddress != "":
		c.Address("upstreamAddress", h.UpstreamAddress)
	default:
		c.Add("callerListen", "missing, and upstreamAddress too", "one of the two")
	}
	return c.Findings()
}
