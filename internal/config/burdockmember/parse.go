package burdockmember

import (
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/config/burdocktoml"
)

// Parse reads a fleet from a TOML file. Profiles are those that its services
// may run under; when there are none, they are not checked. The error is a
// *burdockfinding.Error that holds every finding with its place.
func Parse(file string, data []byte, profiles []burdockprofile.Profile) (Fleet, error) {
	fleet, doc := Decode(file, data, profiles)
	if err := doc.Err(); err != nil {
		return Fleet{}, err
	}
	return fleet, nil
}

// Decode is Parse for a caller that has more to report on the file.
func Decode(file string, data []byte, profiles []burdockprofile.Profile) (Fleet, *burdocktoml.Document) {
	var fleet Fleet
	doc := burdocktoml.Decode(file, data, &fleet)
	if !doc.Broken() {
		doc.Report(Check(fleet, profiles))
	}
	return fleet, doc
}
