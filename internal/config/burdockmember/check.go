package burdockmember

import (
	"fmt"
	"net/netip"

	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockkey"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/config/burdockrule"
	"burdockbend.example/burdockbend/internal/config/burdocktoml"
)

// checker collects findings about a fleet, and the entities that others may refer to.
type checker struct {
	burdockrule.Checker
	profiles    []burdockprofile.Profile
	dataCentres burdockrule.Unique[burdockid.DataCentre]
	services    map[burdockid.Service]Service
	routes      []keyedRoute
	models      burdockrule.Unique[string]
	addresses   burdockrule.Unique[netip.AddrPort]
}

// Check validates the fleet and returns its findings, each with its key. Profile names and
// route classes are checked against profiles, unless it is empty.
func Check(f Fleet, profiles []burdockprofile.Profile) []burdockfinding.Finding {
	c := &checker{profiles: profiles, services: map[burdockid.Service]Service{}}
	burdockrule.Name(&c.Checker, "site", f.Site)
	c.checkDataCentres(f.DataCentres)
	c.checkServices(f.Services)
	c.checkUpstreams(f.Upstreams)
	c.checkGroups(f.Upstreams)
	c.checkEntries(f.Entries)
	c.checkCustomers(f.Customers)
	return c.Findings()
}

func (c *checker) checkDataCentres(dataCentres []DataCentre) {
	if len(dataCentres) == 0 {
		c.Add("dataCentre", "no data centre", "at least one [[dataCentre]] table")
	}
	for i, dc := range dataCentres {
		key := burdocktoml.Item("dataCentre", i) + ".name"
		if burdockrule.Name(&c.Checker, key, dc.Name) {
			c.dataCentres.Add(&c.Checker, key, dc.Name)
		}
	}
}

func (c *checker) checkUpstreams(upstreams []Upstream) {
	var names burdockrule.Unique[burdockid.Upstream]
	var vms burdockrule.Unique[burdockid.VM]
	for i, u := range upstreams {
		key := burdocktoml.Item("upstream", i)
		if burdockrule.Name(&c.Checker, key+".name", u.Name) {
			names.Add(&c.Checker, key+".name", u.Name)
		}
		// The VM of an upstream has room for only one process of the system.
		if burdockrule.Name(&c.Checker, key+".vm", u.VM) {
			vms.Add(&c.Checker, key+".vm", u.VM)
		}
		c.checkDataCentre(key+".dataCentre", u.DataCentre)
		c.addresses.Add(&c.Checker, key+".agent", c.Address(key+".agent", u.Agent))
		_, exists := c.services[u.Service]
		checkReference(c, key+".service", u.Service, exists, "service")
	}
}

func (c *checker) checkDataCentre(key string, name burdockid.DataCentre) {
	checkReference(c, key, name, c.dataCentres.Has(name), "dataCentre")
}

// checkReference adds a finding for a reference to an entity that doesn't exist.
func checkReference[S ~string](c *checker, key string, name S, exists bool, table string) {
	switch {
	case exists:
	case name == "":
		c.Add(key, "missing", fmt.Sprintf("the name of a [[%s]]", table))
	default:
		c.Add(key, fmt.Sprintf("is %q, which the fleet doesn't have", name), fmt.Sprintf("the name of a [[%s]]", table))
	}
}

func (c *checker) checkEntries(entries []Entry) {
	var vms burdockrule.Unique[burdockid.VM]
	for i, e := range entries {
		key := burdocktoml.Item("entry", i)
		if burdockrule.Name(&c.Checker, key+".vm", e.VM) {
			vms.Add(&c.Checker, key+".vm", e.VM)
		}
		c.checkDataCentre(key+".dataCentre", e.DataCentre)
		c.addresses.Add(&c.Checker, key+".peer", c.Address(key+".peer", e.Peer))
	}
}

func (c *checker) checkCustomers(customers []Customer) {
	var names burdockrule.Unique[burdockid.Customer]
	var hashes burdockrule.Unique[string]
	for i, customer := range customers {
		key := burdocktoml.Item("customer", i)
		if burdockrule.Name(&c.Checker, key+".name", customer.Name) {
			names.Add(&c.Checker, key+".name", customer.Name)
		}
		if !burdockkey.IsHash(customer.KeyHash) {
			// The finding omits the value, which may be the key itself by mistake.
			c.Add(key+".keyHash", "is no hash of a key", "sha256: and 64 hexadecimal digits in lower case, as printed by burdock customer key")
			continue
		}
		if burdockkey.Matches(customer.KeyHash, "") {
			c.Add(key+".keyHash", "is the hash of an empty key, which anyone has", "the hash of a key of burdock customer key")
		}
		hashes.Add(&c.Checker, key+".keyHash", customer.KeyHash)
	}
}
