package burdockmember

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/config/burdockrule"
	"burdockbend.example/burdockbend/internal/config/burdocktoml"
)

// CheckShares returns a finding for each profile share whose customer isn't in the fleet,
// with its key in the profiles. Otherwise a misspelt name leaves the intended customer
// with the default share, which goes unnoticed until that customer's requests are slow.
func CheckShares(f Fleet, profiles []burdockprofile.Profile) []burdockfinding.Finding {
	known := make(map[burdockid.Customer]bool, len(f.Customers))
	for _, customer := range f.Customers {
		known[customer.Name] = true
	}
	var c burdockrule.Checker
	for i, p := range profiles {
		sharesKey := burdocktoml.Item("profile", i) + ".share"
		for j, share := range p.Shares {
			if !known[share.Customer] {
				key := burdocktoml.Item(sharesKey, j) + ".customer"
				c.Add(key, fmt.Sprintf("is %q, which the fleet doesn't have", share.Customer), "the name of a [[customer]]")
			}
		}
	}
	return c.Findings()
}
