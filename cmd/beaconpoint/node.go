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
		lines := event.NewLog(os.Stdout)
		written := make(chan struct{})
		logging, stopLogging := context.WithCancel(context.Background())
		go func() {
			defer close(written)
			lines.Run(logging)
		}()
		defer func() {
			stopLogging()
			<-written
		}()
		level := new(slog.LevelVar)
		level.Set(levelOf(s))
		log := lines.Logger(level).With("node", s.Name)
		go reload(ctx, path, level, log)
		if s.Role == peer.RoleEntry {
			err = newEntryNode(s, log).Run(ctx)
		} else {
			err = newAgentNode(s, log).Run(ctx)
		}
		if err != nil && !errors.Is(err, context.Canceled) {
			log.Error(event.Fault, "why", err.Error())
			return fault(exitFailed, err)
		}
		return exitOK
	}
	return c
}

func newEntryNode(s settings.Node, log *slog.Logger) *node.Entry {
	store := platform.NewStore(s.Store, log)
	e := node.NewEntry(s, store.Directory(), store.Source(), log)
	e.Serve = platform.NewCallerAPI(e, s.Callers, s.Readiness, log).Serve
	return e
}

func newAgentNode(s settings.Node, log *slog.Logger) *node.Agent {
	store := platform.NewStore(s.Store, log)
	a := node.NewAgent(s, store.Directory(), platform.NewTargetClient(s.Target).Calls(), log)
	a.Serve = platform.NewTargetAPI(a, s.Reports).Serve
	return a
}

// reload reads the settings again at each SIGHUP. What a running process can't
// change is left as it is, and said.
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

// levelOf returns the level of the settings.
func levelOf(s settings.Node) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return slog.LevelInfo
	}
	return l
}
