package burdockcheck

import (
	"context"
	"fmt"
	"io"
	"os"

	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/config/burdocktoml"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const fleetUsage = "burdock fleet check FILE [--profiles FILE]"

// FleetCommand returns the "check" command of "burdock fleet".
func FleetCommand(w io.Writer) *ffcli.Command {
	fs := newFlagSet(fleetUsage, w)
	profiles := fs.String("profiles", "", "file of the profiles that the fleet's services run under")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: fleetUsage,
		ShortHelp:  "check a fleet's membership, without a store",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			args, err := flagsAfterFile(fs, args)
			if err != nil {
				return err
			}
			return checkFleet(args, *profiles, w)
		},
	}
}

func checkFleet(args []string, profileFile string, w io.Writer) error {
	file, data, err := readOneFile(fleetUsage, args)
	if err != nil {
		return err
	}
	profiles, profileDoc, err := readProfiles(profileFile)
	if err != nil {
		return err
	}
	fleet, doc := burdockmember.Decode(file, data, profiles)
	// Shares are checked only against a fleet that was decoded in full. Otherwise
	// every share that names a customer becomes a finding.
	if profileDoc != nil && doc.Err() == nil {
		profileDoc.Report(burdockmember.CheckShares(fleet, profiles))
	}
	if err := mergeFindings(profileDoc, doc); err != nil {
		return err
	}
	fmt.Fprintf(w, "%s: no findings; services: %d, upstreams: %d, entries: %d, customers: %d\n",
		file, len(fleet.Services), len(fleet.Upstreams), len(fleet.Entries), len(fleet.Customers))
	return nil
}

// readProfiles returns a nil document if file is empty.
func readProfiles(file string) ([]burdockprofile.Profile, *burdocktoml.Document, error) {
	if file == "" {
		return nil, nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	profiles, doc := burdockprofile.Decode(file, data)
	return profiles, doc, nil
}

// mergeFindings returns the findings of several documents as one error.
func mergeFindings(docs ...*burdocktoml.Document) error {
	var all burdockfinding.List
	for _, doc := range docs {
		if doc != nil {
			all.Merge(doc.Findings())
		}
	}
	return all.Err()
}
