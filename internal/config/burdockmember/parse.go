package burdockmember

import (
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/config/burdocktoml"
)

// Parse decodes a fleet from TOML and validates it as Check does. The error is a
// *burdockfinding.Error with every finding and its position in the file.
func Parse(file string, data []byte, profiles []burdockprofile.Profile) (Fleet, error) {
	fleet, doc := Decode(file, data, profiles)
	if err := doc.Err(); err != nil {
		return Fleet{}, err
	}
	return fleet, nil
}

// Decode is like Parse, for a caller that adds findings of its own to the document.
func Decode(file string, data []byte, profiles []burdockprofile.Profile) (Fleet, *burdocktoml.Document) {
	var fleet Fleet
	doc := burdocktoml.Decode(file, data, &fleet)
	if !doc.Broken() {
		doc.Report(Check(fleet, profiles))
	}
	return fleet, doc
}
