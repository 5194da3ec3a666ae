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

// The commands of the files seats_*.go are those of the earlier engine, which the
// deploy file does not run (seats/README.md): its processes here, its callers' tools in
// seats_submit.go, its operators' in seats_operate.go.

// settingsFlag adds the flag that names a settings file; `node` has it, too.
func settingsFlag(s *flaggy.Subcommand, path *string) {
	s.String(path, "s", "settings", "the YAML file with the process's settings")
}

// runner is a process of one role.
type runner interface {
	Run(context.Context) error
}

func entryCommand() *command {
	return roleCommand(wire.RoleEntry, "runs an entry: accepts jobs and decides where their tasks run",
		func(s settings.Settings, log *slog.Logger) (runner, error) { return entry.NewEntry(s, log) })
}

func agentCommand() *command {
	return roleCommand(wire.RoleAgent, "runs an agent: guards and performs the starts at the target beside it",
		func(s settings.Settings, log *slog.Logger) (runner, error) { return agent.NewAgent(s, log) })
}

// roleCommand runs a process of the role until it is told to stop.
func roleCommand(role wire.Role, description string, build func(settings.Settings, *slog.Logger) (runner, error)) *command {
	var path string
	c := &command{sub: newCommand(string(role), description)}
	settingsFlag(c.sub, &path)
	c.run = func(ctx context.Context) int {
		cfg, exit := readSettings(path)
		if exit != exitOK {
			return exit
		}
		if cfg.Role != role {
			return fault(exitUsage, fmt.Errorf("%s: these are the settings of an %s", path, cfg.Role))
		}
		p, err := build(cfg, newLog(cfg.LogLevel))
		if err != nil {
			return fault(exitFailed, err)
		}
		if err := p.Run(ctx); err != nil {
			return fault(exitFailed, err)
		}
		return exitOK
	}
	return c
}

// readSettings reads the settings and prints every fault.
func readSettings(path string) (settings.Settings, int) {
	if path == "" {
		return settings.Settings{}, fault(exitUsage, errors.New("name the settings with --settings FILE"))
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
		return cfg, fault(exitUsage, err)
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
			fmt.Printf("%s: good settings of the %s %s\n", path, cfg.Role, cfg.Name)
		}
		return exit
	}
	return c
}

func demoCommand() *command {
	var stay bool
	level := "error"
	c := &command{sub: newCommand("demo", "runs a whole small system on loopback and a job through it")}
	c.sub.Bool(&stay, "", "stay", "keep serving after the job")
	c.sub.String(&level, "l", "log", "level of the processes' logs: debug, info, warn or error")
	c.run = func(ctx context.Context) int {
		err := demo.Run(ctx, demo.Config{Stay: stay, Out: os.Stdout, Log: newLog(level)})
		if err != nil {
			return fault(exitFailed, err)
		}
		return exitOK
	}
	return c
}
