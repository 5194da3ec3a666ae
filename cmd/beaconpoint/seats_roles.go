package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/integrii/flaggy"

	"github.com/beaconpoint/beaconpoint/seats/agent"
	"github.com/beaconpoint/beaconpoint/seats/demo"
	"github.com/beaconpoint/beaconpoint/seats/entry"
	"github.com/beaconpoint/beaconpoint/seats/settings"
	"github.com/beaconpoint/beaconpoint/seats/wire"
	nodesettings "github.com/beaconpoint/beaconpoint/settings"
)

// The files seats_*.go contain the commands of the earlier engine (seats/README.md), which
// the deploy file does not run: this file those that run processes, seats_submit.go those of
// callers, seats_operate.go those of operators.

// settingsFlag adds the flag for the path of the settings file. The command node has the
// flag, too, for settings of another format.
func settingsFlag(s *flaggy.Subcommand, path *string) {
	s.String(path, "s", "settings", "the YAML settings file of the process")
}

// runner is a process that runs until the context is cancelled.
type runner interface {
	Run(context.Context) error
}

func entryCommand() *command {
	return roleCommand(wire.RoleEntry, "runs an entry: accepts jobs and decides where their tasks run",
		func(s settings.Settings, log *slog.Logger) (runner, error) { return entry.NewEntry(s, log) })
}

func agentCommand() *command {
	return roleCommand(wire.RoleAgent, "runs an agent: starts and supervises tasks on the target of its host",
		func(s settings.Settings, log *slog.Logger) (runner, error) { return agent.NewAgent(s, log) })
}

// roleCommand returns a command that runs a process with settings of the given role.
func roleCommand(
	role wire.Role, description string, build func(settings.Settings, *slog.Logger) (runner, error),
) *command {
	var path string
	c := &command{sub: newCommand(string(role), description)}
	settingsFlag(c.sub, &path)
	c.run = func(ctx context.Context) int {
		cfg, exit := readSettings(path)
		if exit != exitOK {
			return exit
		}
		if cfg.Role != role {
			return reportError(exitUsage, fmt.Errorf("%s: settings have role %s", path, cfg.Role))
		}
		p, err := build(cfg, newStderrLogger(cfg.LogLevel))
		if err != nil {
			return reportError(exitFailed, err)
		}
		if err := p.Run(ctx); err != nil {
			return reportError(exitFailed, err)
		}
		return exitOK
	}
	return c
}

// readSettings loads the settings, prints all faults and returns the exit code.
func readSettings(path string) (settings.Settings, int) {
	if path == "" {
		return settings.Settings{}, reportError(exitUsage, errors.New("no settings given: use --settings FILE"))
	}
	cfg, err := settings.Load(path)
	var faults nodesettings.Faults
	if errors.As(err, &faults) {
		for _, f := range faults {
			fmt.Fprintf(os.Stderr, "%s: %s\n", path, f)
		}
		return cfg, exitUsage
	}
	if err != nil {
		return cfg, reportError(exitUsage, err)
	}
	return cfg, exitOK
}

func checkCommand() *command {
	var path string
	c := &command{sub: newCommand("check", "checks a settings file and prints every fault with its line")}
	settingsFlag(c.sub, &path)
	c.run = func(context.Context) int {
		cfg, exit := readSettings(path)
		if exit == exitOK {
			fmt.Printf("%s: valid settings of %s %s\n", path, cfg.Role, cfg.Name)
		}
		return exit
	}
	return c
}

func demoCommand() *command {
	var stay bool
	level := "error"
	c := &command{sub: newCommand("demo", "runs a small system on loopback and submits a job to it")}
	c.sub.Bool(&stay, "", "stay", "keep serving after the job")
	c.sub.String(&level, "l", "log", "level of the processes' logs: debug, info, warn or error")
	c.run = func(ctx context.Context) int {
		err := demo.Run(ctx, demo.Config{Stay: stay, Out: os.Stdout, Log: newStderrLogger(level)})
		if err != nil {
			return reportError(exitFailed, err)
		}
		return exitOK
	}
	return c
}
