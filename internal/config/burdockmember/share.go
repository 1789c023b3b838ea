package burdockmember

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/config/burdockrule"
	"burdockbend.example/burdockbend/internal/config/burdocktoml"
)

// CheckShares returns the shares of customers that the fleet doesn't have, by
// key of the profiles. A misspelt name would leave the customer it was meant
// for with the default share, and nobody would notice before it is slow.
func CheckShares(f Fleet, profiles []burdockprofile.Profile) []burdockfinding.Finding {
	known := make(map[burdockid.Customer]bool, len(f.Customers))
	for _, customer := range f.Customers {
		known[customer.Name] = true
	}
	var c burdockrule.Checker
	for i, p := range profiles {
		shares := burdocktoml.Item("profile", i) + ".share"
		for j, share := range p.Shares {
			if !known[share.Customer] {
				key := burdocktoml.Item(shares, j) + ".customer"
				c.Add(key, fmt.Sprintf("is %q, which the fleet doesn't have", share.Customer), "the name of a [[customer]]")
			}
		}
	}
	return c.Findings()
}
