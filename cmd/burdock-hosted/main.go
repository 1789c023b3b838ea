// Command burdock-hosted runs an entry or an agent on the users' platform, by
// the settings that the platform gives. See docs/OPERATIONS.md.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"burdockbend.example/burdockbend/internal/base/burdocklog"
	"burdockbend.example/burdockbend/internal/serve/burdockhosted"
	"burdockbend.example/burdockbend/internal/tool/burdockmain"
	"burdockbend.example/burdockbend/platform/burdockplatform"
	"go.uber.org/zap"
)

// memoryPercent of what the VM gives is where the runtime begins to collect
// garbage more often: a process beyond all of it is killed.
const memoryPercent = 60

func main() { os.Exit(run()) }

func run() int {
	// First of all, so that a stop that comes while the process starts is a
	// planned one too.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	settings, err := burdockplatform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return burdockmain.ExitUsage
	}
	debug.SetMemoryLimit(int64(settings.MemoryMB) << 20 * memoryPercent / 100)
	lines := burdocklog.NewWriter(os.Stdout)
	defer lines.Close()
	level := zap.NewAtomicLevelAt(burdocklog.Level(settings.LogLevel))
	log := burdocklog.New(lines, level)
	defer burdocklog.RedirectStdLog(log)()
	client := burdockplatform.NewClient(settings.StoreAddress)
	platform := burdockhosted.Platform{
		Store: client, Records: burdockplatform.Records{}, Dialect: burdockplatform.Dialect{},
		NewRank: func(address string) burdockhosted.Rank { return burdockplatform.NewRank(address) },
	}
	start := burdockhosted.StartEntry
	if settings.CallerListen == "" {
		start = burdockhosted.StartAgent
	}
	process, err := start(settings, platform, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return burdockmain.ExitFailure
	}
	(&follower{load: burdockplatform.LoadSettings, inForce: settings, last: settings, level: level, log: log}).follow(signals)
	process.Stop()
	return burdockmain.ExitOK
}
