package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/node"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/platform"
	"github.com/beaconpoint/beaconpoint/settings"
)

// nodeCommand returns the command that runs an entry or agent on the platform.
func nodeCommand() *command {
	var path string
	c := &command{sub: newCommand("node", "runs the entry or agent of one host on the platform")}
	settingsFlag(c.sub, &path)
	c.run = func(ctx context.Context) int {
		s, err := settings.LoadNode(path)
		if err != nil {
			return reportError(exitUsage, fmt.Errorf("%s: %w", path, err))
		}
		lines, stopLog := startLog()
		defer stopLog()
		level := new(slog.LevelVar)
		level.Set(logLevelOf(s))
		log := lines.Logger(level).With("node", s.Name)
		go reload(ctx, path, level, log)
		if err := runNode(ctx, s, log); err != nil && !errors.Is(err, context.Canceled) {
			log.Error(event.Fault, "why", err.Error())
			return reportError(exitFailed, err)
		}
		return exitOK
	}
	return c
}

// startLog returns a log on standard output and a function that flushes and stops it.
func startLog() (lines *event.Log, stop func()) {
	lines = event.NewLog(os.Stdout)
	ctx, cancel := context.WithCancel(context.Background())
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		lines.Run(ctx)
	}()
	return lines, func() {
		cancel()
		<-flushed
	}
}

// runNode runs an entry or agent until the context is cancelled.
func runNode(ctx context.Context, s settings.Node, log *slog.Logger) error {
	if s.Role == peer.RoleEntry {
		return newEntryNode(s, log).Run(ctx)
	}
	return newAgentNode(s, log).Run(ctx)
}

// newEntryNode returns an entry that uses the platform's store and serves callers.
func newEntryNode(s settings.Node, log *slog.Logger) *node.Entry {
	store := platform.NewStore(s.StoreAddr, log)
	e := node.NewEntry(s, store.Directory(), store.Source(), log)
	e.SetGoal(platform.Goal(s))
	e.Serve = platform.NewCallerAPI(e, s, log).Serve
	return e
}

// newAgentNode returns an agent that uses the platform's store and serves its target.
func newAgentNode(s settings.Node, log *slog.Logger) *node.Agent {
	store := platform.NewStore(s.StoreAddr, log)
	a := node.NewAgent(s, store.Directory(), platform.NewTargetClient(s.TargetAddr).Calls(), log)
	a.Serve = platform.NewTargetAPI(a, s.HeartbeatAddr, log).Serve
	return a
}

// reload reads the settings again on each SIGHUP until the context is cancelled. Only the
// log level takes effect; other settings require a restart.
func reload(ctx context.Context, path string, level *slog.LevelVar, log *slog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		s, err := settings.LoadNode(path)
		if err != nil {
			log.Error(event.SettingsRefused, "why", err.Error())
			continue
		}
		level.Set(logLevelOf(s))
		log.Info(event.SettingsReloaded, "name", s.Name, "log_level", s.LogLevel)
	}
}

// logLevelOf returns the log level in the settings, which have been validated.
func logLevelOf(s settings.Node) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return slog.LevelInfo
	}
	return l
}
