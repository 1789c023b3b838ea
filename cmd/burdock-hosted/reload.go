package main

import (
	"os"
	"syscall"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdocklog"
	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"go.uber.org/zap"
)

// settingsEvery is how often it is looked whether the settings have changed
// without a signal. To read them takes some tens of microseconds.
const settingsEvery = 5 * time.Second

// follower takes over changed settings while a process runs.
type follower struct {
	load    func() (burdocksettings.Hosted, error)
	inForce burdocksettings.Hosted // that the process started with
	last    burdocksettings.Hosted // that were read last
	failed  bool                   // the last reading failed
	level   zap.AtomicLevel
	log     *zap.Logger
}

// follow returns when the process is to stop.
func (f *follower) follow(signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return
			}
			f.read(true)
		case <-ticker.C:
			f.read(false)
		}
	}
}

// read checks the settings as they are now and takes over what a running process
// can. Unless it was asked to, it says only what is new.
func (f *follower) read(asked bool) {
	now, err := f.load()
	if err != nil {
		if asked || !f.failed {
			f.log.Error("settings not usable; those in force stay", zap.Error(err))
		}
		f.failed = true
		return
	}
	if !asked && !f.failed && now == f.last {
		return
	}
	f.failed, f.last = false, now
	f.level.SetLevel(burdocklog.Level(now.LogLevel))
	f.log.Info("settings read again", zap.String("logLevel", now.LogLevel), zap.Strings("needStart", f.inForce.RestartRequired(now)))
}
