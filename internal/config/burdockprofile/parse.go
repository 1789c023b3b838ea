package burdockprofile

import "burdockbend.example/burdockbend/internal/config/burdocktoml"

// document is the structure of a profile file.
type document struct {
	Profiles []Profile `toml:"profile"`
}

// Parse reads the profiles in a TOML file. The error is a *burdockfinding.Error with
// every finding and its line.
func Parse(file string, data []byte) ([]Profile, error) {
	profiles, doc := Decode(file, data)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return profiles, nil
}

// Decode is like Parse, but returns the document, so that the caller can add findings
// of its own.
func Decode(file string, data []byte) ([]Profile, *burdocktoml.Document) {
	var d document
	doc := burdocktoml.Decode(file, data, &d)
	if !doc.Broken() {
		doc.Report(Check(d.Profiles))
	}
	return d.Profiles, doc
}
