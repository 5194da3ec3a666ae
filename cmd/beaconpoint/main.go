// Command beaconpoint runs and operates the dispatcher. The deploy file runs `beaconpoint
// node`; `beaconpoint explain` analyses its logs. The commands in the files seats_*.go
// belong to the earlier engine (seats/README.md).
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/event"
)

// version is overwritten by the build.
var version = "0.1.0-dev"

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitUnknown     = 5
	exitUnreachable = 6
)

// command is a subcommand and its action, which returns the exit code.
type command struct {
	sub *flaggy.Subcommand
	run func(context.Context) int
}

func main() {
	commands := []*command{
		nodeCommand(), entryCommand(), agentCommand(), checkCommand(), demoCommand(),
		submitCommand(), loadCommand(),
		planCommand(), confirmCommand(), drainCommand(), showCommand(), historyCommand(), statusCommand(),
		explainCommand(), codesCommand(), eventsCommand(), versionCommand(),
	}
	flaggy.SetName("beaconpoint")
	flaggy.SetDescription("a dispatcher for sub-second tasks")
	flaggy.SetVersion(version)
	for _, c := range commands {
		flaggy.AttachSubcommand(c.sub, 1)
	}
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	for _, c := range commands {
		if c.sub.Used {
			os.Exit(c.run(ctx))
		}
	}
	flaggy.ShowHelpAndExit("name one of the subcommands")
}

// newCommand returns a subcommand without flags.
func newCommand(name, description string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	return s
}

// codesCommand returns the command that prints the content of docs/result-codes.md.
func codesCommand() *command {
	c := &command{sub: newCommand("codes", "prints the table of result codes")}
	c.run = func(context.Context) int {
		fmt.Print(code.Markdown())
		return exitOK
	}
	return c
}

// eventsCommand returns the command that prints the content of docs/log-events.md.
func eventsCommand() *command {
	c := &command{sub: newCommand("events", "prints the table of log events")}
	c.run = func(context.Context) int {
		fmt.Print(event.Markdown())
		return exitOK
	}
	return c
}

func versionCommand() *command {
	c := &command{sub: newCommand("version", "prints the version")}
	c.run = func(context.Context) int {
		fmt.Println(version)
		return exitOK
	}
	return c
}

// reportError prints err and returns the given exit code.
func reportError(exit int, err error) int {
	fmt.Fprintln(os.Stderr, "beaconpoint: "+err.Error())
	return exit
}

// newStderrLogger returns a JSON logger on standard error. An invalid level means info.
func newStderrLogger(level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: l}))
}
