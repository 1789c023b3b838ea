package burdockprofile

import (
	"cmp"
	"slices"

	"burdockbend.example/burdockbend/internal/config/burdockentity"
)

// Split encodes each profile as an entity of the store.
func Split(profiles []Profile) ([]burdockentity.Entity, error) {
	entities := make([]burdockentity.Entity, 0, len(profiles))
	for _, p := range profiles {
		e, err := burdockentity.Encode(burdockentity.ProfilePrefix+string(p.Name), p)
		if err != nil {
			return nil, err
		}
		entities = append(entities, e)
	}
	return entities, nil
}

// Assemble decodes the profiles among entities and sorts them by name. A key that a
// stored profile lacks gets its default.
func Assemble(entities []burdockentity.Entity) ([]Profile, error) {
	var profiles []Profile
	for _, e := range burdockentity.Select(entities, burdockentity.ProfilePrefix) {
		p, err := decode(e)
		if err != nil {
			return nil, err
		}
		profiles = append(profiles, p)
	}
	slices.SortFunc(profiles, func(a, b Profile) int { return cmp.Compare(a.Name, b.Name) })
	return profiles, nil
}

func decode(e burdockentity.Entity) (Profile, error) {
	var p Profile
	p.SetDefaults()
	if err := burdockentity.Decode(e, &p); err != nil {
		return Profile{}, err
	}
	return p, burdockentity.CheckName(e, burdockentity.ProfilePrefix, p.Name)
}
