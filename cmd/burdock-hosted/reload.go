package main

import (
	"os"
	"syscall"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdocklog"
	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"go.uber.org/zap"
)

// settingsPollInterval is how often the settings are checked for a change that no
// signal announced. Reading them takes some tens of microseconds.
const settingsPollInterval = 5 * time.Second

// settingsWatcher applies changed settings while a process runs.
type settingsWatcher struct {
	load       func() (burdocksettings.Hosted, error)
	startup    burdocksettings.Hosted // in effect since the process started
	latest     burdocksettings.Hosted // most recently loaded without an error
	loadFailed bool                   // the most recent load failed
	level      zap.AtomicLevel
	log        *zap.Logger
}

// run watches signals and settings; it returns when the process is to stop.
func (w *settingsWatcher) run(signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return
			}
			w.reload(true)
		case <-ticker.C:
			w.reload(false)
		}
	}
}

// reload loads the settings and applies those that can change at run time. When not
// requested by a signal, it logs only changes, the first of repeated failures and
// the recovery.
func (w *settingsWatcher) reload(requested bool) {
	now, err := w.load()
	if err != nil {
		if requested || !w.loadFailed {
			w.log.Error("settings not usable; those in force stay", zap.Error(err))
		}
		w.loadFailed = true
		return
	}
	if !requested && !w.loadFailed && now == w.latest {
		return
	}
	w.loadFailed, w.latest = false, now
	w.level.SetLevel(burdocklog.Level(now.LogLevel))
	w.log.Info("settings read again", zap.String("logLevel", now.LogLevel), zap.Strings("needStart", w.startup.RestartRequired(now)))
}
