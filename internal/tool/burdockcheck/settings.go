package burdockcheck

import (
	"context"
	"fmt"
	"io"

	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const settingsUsage = "burdock settings check entry|agent FILE"

// The roles whose settings can be checked.
const (
	roleEntry = "entry"
	roleAgent = "agent"
)

// SettingsCommand returns the "check" command of "burdock settings".
func SettingsCommand(w io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: settingsUsage,
		ShortHelp:  "check the settings of a process",
		FlagSet:    newFlagSet(settingsUsage, w),
		Exec:       func(_ context.Context, args []string) error { return checkSettings(args, w) },
	}
}

func checkSettings(args []string, w io.Writer) error {
	if len(args) == 0 || args[0] != roleEntry && args[0] != roleAgent {
		return ErrUsage.New("usage: %s", settingsUsage)
	}
	file, data, err := readOneFile(settingsUsage, args[1:])
	if err != nil {
		return err
	}
	switch args[0] {
	case roleEntry:
		_, err = burdocksettings.LoadEntry(file, data)
	case roleAgent:
		_, err = burdocksettings.LoadAgent(file, data)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%s: no findings\n", file)
	return nil
}
