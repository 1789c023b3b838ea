// Command burdock-hosted runs an entry or an agent on the users' platform, with
// the settings that the platform provides. See docs/OPERATIONS.md.
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
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// memoryLimitPercent is the runtime's soft memory limit as a percentage of the
// memory that the VM gives the process. Near the limit the garbage collector runs more
// often; a process that uses more than the VM gives is killed.
const memoryLimitPercent = 60

func main() { os.Exit(run()) }

func run() int {
	// Registered first, so that a stop signal during startup also leads to a
	// planned stop.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	settings, err := burdockplatform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return burdockmain.ExitUsage
	}
	debug.SetMemoryLimit(int64(settings.MemoryMB) << 20 * memoryLimitPercent / 100)
	logWriter := burdocklog.NewWriter(os.Stdout)
	defer logWriter.Close()
	level := zap.NewAtomicLevelAt(burdocklog.Level(settings.LogLevel))
	log := burdocklog.New(logWriter, level)
	defer burdocklog.RedirectStdLog(log)()
	set := metrics.NewSet()
	platform := burdockhosted.Platform{
		Store: burdockplatform.NewClient(settings.StoreAddress, set), Metrics: set, Records: burdockplatform.Records{}, Dialect: burdockplatform.Dialect{},
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
	(&settingsWatcher{load: burdockplatform.LoadSettings, startup: settings, latest: settings, level: level, log: log}).run(signals)
	process.Stop()
	return burdockmain.ExitOK
}
