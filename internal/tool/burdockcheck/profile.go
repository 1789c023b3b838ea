package burdockcheck

import (
	"context"
	"fmt"
	"io"

	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const profileUsage = "burdock profile check FILE"

// ProfileCommand returns the "check" command of "burdock profile".
func ProfileCommand(w io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: profileUsage,
		ShortHelp:  "check a file of profiles, without a store",
		FlagSet:    newFlagSet(profileUsage, w),
		Exec:       func(_ context.Context, args []string) error { return checkProfiles(args, w) },
	}
}

func checkProfiles(args []string, w io.Writer) error {
	file, data, err := readOneFile(profileUsage, args)
	if err != nil {
		return err
	}
	profiles, err := burdockprofile.Parse(file, data)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%s: no findings; profiles: %d\n", file, len(profiles))
	return nil
}
