package burdockprofile

import "burdockbend.example/burdockbend/internal/base/burdockid"

// Class returns the index of the named class, 0 being the most urgent, and whether the
// profile has it.
func (p Profile) Class(name string) (int, bool) {
	for i, class := range p.Classes {
		if class.Name == name {
			return i, true
		}
	}
	return 0, false
}

// ShareOf returns the share of a customer, DefaultShare if Shares does not list it.
func (p Profile) ShareOf(customer burdockid.Customer) float64 {
	for _, share := range p.Shares {
		if share.Customer == customer {
			return share.Share
		}
	}
	return p.DefaultShare
}

// Find returns the profile with the given name and whether it is among profiles.
func Find(profiles []Profile, name burdockid.Profile) (Profile, bool) {
	for _, p := range profiles {
		if p.Name == name {
			return p, true
		}
	}
	return Profile{}, false
}
