//go:build race

package burdockprograms

const raceEnabled = true
