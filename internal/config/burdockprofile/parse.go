package burdockprofile

import "burdockbend.example/burdockbend/internal/config/burdocktoml"

// document is the shape of a profile file.
type document struct {
	Profiles []Profile `toml:"profile"`
}

// Parse reads the profiles of a TOML file. The error is a
// *burdockfinding.Error that holds every finding with its place.
func Parse(file string, data []byte) ([]Profile, error) {
	profiles, doc := Decode(file, data)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return profiles, nil
}

// Decode is Parse for a caller that has more to report on the file.
func Decode(file string, data []byte) ([]Profile, *burdocktoml.Document) {
	var d document
	doc := burdocktoml.Decode(file, data, &d)
	if !doc.Broken() {
		doc.Report(Check(d.Profiles))
	}
	return d.Profiles, doc
}
