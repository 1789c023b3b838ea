package burdocksettings

import (
	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"burdockbend.example/burdockbend/internal/config/burdocktoml"
)

// LoadEntry reads the settings of an entry. The error is a
// *burdockfinding.Error that holds every finding with its place.
func LoadEntry(file string, data []byte) (Entry, error) {
	var e Entry
	if err := load(file, data, &e); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// LoadAgent reads the settings of an agent. The error is a
// *burdockfinding.Error that holds every finding with its place.
func LoadAgent(file string, data []byte) (Agent, error) {
	var a Agent
	if err := load(file, data, &a); err != nil {
		return Agent{}, err
	}
	return a, nil
}

// checked is settings that can be checked once they are decoded.
type checked interface {
	Check() []burdockfinding.Finding
}

func load(file string, data []byte, target checked) error {
	doc := burdocktoml.Decode(file, data, target)
	if !doc.Broken() {
		doc.Report(target.Check())
	}
	return doc.Err()
}
