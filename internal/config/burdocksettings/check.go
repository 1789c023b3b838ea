package burdocksettings

import (
	"fmt"
	"net/netip"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/config/burdockrule"
	"burdockbend.example/burdockbend/internal/config/burdocktoml"
)

// Bounds of the accepted values. A value beyond them is more often a mistake, such as
// a wrong unit, than intended.
const (
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 16 << 20
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 1 << 30
	maxTimeout     = burdockclock.Hour
	maxDrain       = 24 * burdockclock.Hour
	maxConnections = 1 << 20
	maxSlots       = 1 << 16
)

// checker also finds two listeners on the same address.
type checker struct {
	burdockrule.Checker
	listeners burdockrule.Unique[netip.AddrPort]
}

// Check returns the findings about the settings. Each names its key.
func (e *Entry) Check() []burdockfinding.Finding {
	c := &checker{}
	c.common(e.Common)
	c.listen("listen", e.Listen)
	burdockrule.Between(&c.Checker, "drainGraceMillis", e.DrainGraceMillis, 1, maxDrain)
	return c.Findings()
}

// Check returns the findings about the settings. Each names its key.
func (a *Agent) Check() []burdockfinding.Finding {
	c := &checker{}
	c.common(a.Common)
	burdockrule.Name(&c.Checker, "upstream", a.Upstream)
	c.Address("engineAddress", a.EngineAddress)
	burdockrule.OneOf(&c.Checker, "kind", a.Kind, burdockmember.KindModel, burdockmember.KindPlain)
	burdockrule.Between(&c.Checker, "slots", a.Slots, 1, maxSlots)
	burdockrule.Between(&c.Checker, "drainGraceMillis", a.DrainGraceMillis, 1, maxDrain)
	return c.Findings()
}

func (c *checker) common(m Common) {
	burdockrule.Name(&c.Checker, "site", m.Site)
	burdockrule.Name(&c.Checker, "dataCentre", m.DataCentre)
	burdockrule.Name(&c.Checker, "vm", m.VM)
	c.listen("peerListen", m.PeerListen)
	c.listen("adminListen", m.AdminListen)
	c.stores(m.StoreAddresses)
	c.peers(m.Peers)
	c.Address("membershipAddress", m.MembershipAddress)
	burdockrule.OneOf(&c.Checker, "logLevel", m.LogLevel, "debug", "info", "warn", "error")
	c.transport(m)
	c.limits(m.Limits)
}

func (c *checker) listen(key, value string) {
	addr := c.Listen(key, value)
	if addr.Port() != 0 {
		c.listeners.Add(&c.Checker, key, addr)
	}
}

func (c *checker) stores(addresses []string) {
	if len(addresses) == 0 {
		c.Add("storeAddresses", "no address", "at least one IP number and port")
	}
	var seen burdockrule.Unique[netip.AddrPort]
	for i, address := range addresses {
		key := burdocktoml.Item("storeAddresses", i)
		seen.Add(&c.Checker, key, c.Address(key, address))
	}
}

func (c *checker) peers(addresses []string) {
	var seen burdockrule.Unique[netip.AddrPort]
	for i, address := range addresses {
		key := burdocktoml.Item("peers", i)
		seen.Add(&c.Checker, key, c.Address(key, address))
	}
}

// transport requires the settings to choose between TLS and plain text for connections
// between the system's processes. There is no default, so that nobody gets plain text
// by leaving a key out.
func (c *checker) transport(m Common) {
	switch {
	case m.PlainText != "" && m.PlainText != PlainTextAccepted:
		c.Add("plainText", fmt.Sprintf("is %q", m.PlainText), fmt.Sprintf("the words %q, or no such key", PlainTextAccepted))
	case m.PlainText != "" && m.TLS != TLS{}:
		c.Add("plainText", "stands beside tls", "one of the two")
	case m.PlainText == "" && m.TLS == TLS{}:
		c.Add("tls", "missing", fmt.Sprintf("a [tls] table, or plainText = %q", PlainTextAccepted))
	case m.PlainText == "":
		c.tls(m.TLS)
	}
}

func (c *checker) limits(l Limits) {
	burdockrule.Between(&c.Checker, "limits.maxHeaderBytes", l.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	burdockrule.Between(&c.Checker, "limits.maxBodyBytes", l.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	burdockrule.Between(&c.Checker, "limits.readHeaderTimeoutMillis", l.ReadHeaderTimeoutMillis, 1, maxTimeout)
	burdockrule.Between(&c.Checker, "limits.bodyTimeoutMillis", l.BodyTimeoutMillis, 1, maxTimeout)
	burdockrule.Between(&c.Checker, "limits.idleTimeoutMillis", l.IdleTimeoutMillis, 1, maxTimeout)
	burdockrule.Between(&c.Checker, "limits.writeStallMillis", l.WriteStallMillis, 1, maxTimeout)
	burdockrule.Between(&c.Checker, "limits.maxConnections", l.MaxConnections, 1, maxConnections)
}
