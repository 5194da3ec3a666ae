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

// nodeCommand runs a process on the users' platform.
func nodeCommand() *command {
	var path string
	c := &command{sub: newCommand("node", "runs the entry or agent of one machine on the platform")}
	settingsFlag(c.sub, &path)
	c.run = func(ctx context.Context) int {
		s, err := settings.LoadNode(path)
		if err != nil {
			return fault(exitUsage, fmt.Errorf("%s: %w", path, err))
		}
		lines, stopLog := startLog()
		defer stopLog()
		level := new(slog.LevelVar)
		level.Set(levelOf(s))
		log := lines.Logger(level).With("node", s.Name)
		go reload(ctx, path, level, log)
		if err := runNode(ctx, s, log); err != nil && !errors.Is(err, context.Canceled) {
			log.Error(event.Fault, "why", err.Error())
			return fault(exitFailed, err)
		}
		return exitOK
	}
	return c
}

// startLog returns a log on standard output, and a function that writes what is left
// of it and ends it.
func startLog() (lines *event.Log, stop func()) {
	lines = event.NewLog(os.Stdout)
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		lines.Run(ctx)
	}()
	return lines, func() {
		cancel()
		<-written
	}
}

// runNode runs the process of the settings' role until the context ends.
func runNode(ctx context.Context, s settings.Node, log *slog.Logger) error {
	if s.Role == peer.RoleEntry {
		return newEntryNode(s, log).Run(ctx)
	}
	return newAgentNode(s, log).Run(ctx)
}

// newEntryNode returns an entry with the adapter to the platform around it.
func newEntryNode(s settings.Node, log *slog.Logger) *node.Entry {
	store := platform.NewStore(s.Store, log)
	e := node.NewEntry(s, store.Directory(), store.Source(), log)
	e.SetTerm(platform.Term(s))
	e.Serve = platform.NewCallerAPI(e, s, log).Serve
	return e
}

// newAgentNode returns an agent with the adapter to the platform around it.
func newAgentNode(s settings.Node, log *slog.Logger) *node.Agent {
	store := platform.NewStore(s.Store, log)
	a := node.NewAgent(s, store.Directory(), platform.NewTargetClient(s.Target).Calls(), log)
	a.Serve = platform.NewTargetAPI(a, s.Reports, log).Serve
	return a
}

// reload reads the settings again at each SIGHUP until the context ends. The log's
// level takes effect at once, the rest at the next start.
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
		level.Set(levelOf(s))
		log.Info(event.SettingsReloaded, "name", s.Name, "log_level", s.LogLevel)
	}
}

// levelOf returns the log's level; settings that passed their check have one.
func levelOf(s settings.Node) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return slog.LevelInfo
	}
	return l
}
