package burdocksettings

import (
	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"burdockbend.example/burdockbend/internal/config/burdocktoml"
)

// LoadEntry reads the settings of an entry. The error is a *burdockfinding.Error with
// every finding and its line.
func LoadEntry(file string, data []byte) (Entry, error) {
	var e Entry
	if err := load(file, data, &e); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// LoadAgent reads the settings of an agent. The error is a *burdockfinding.Error with
// every finding and its line.
func LoadAgent(file string, data []byte) (Agent, error) {
	var a Agent
	if err := load(file, data, &a); err != nil {
		return Agent{}, err
	}
	return a, nil
}

// checkable is settings that are checked after they are decoded.
type checkable interface {
	Check() []burdockfinding.Finding
}

func load(file string, data []byte, target checkable) error {
	doc := burdocktoml.Decode(file, data, target)
	if !doc.Broken() {
		doc.Report(target.Check())
	}
	return doc.Err()
}
