// Command beaconpoint is the dispatcher's one binary. `node` is what the deploy file
// runs, explain.go its tool; the files seats_*.go are the commands of the earlier
// engine (seats/README.md).
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

// version is set by the build.
var version = "0.1.0-dev"

// Exit codes by kind of failure.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitUnknown     = 5
	exitUnreachable = 6
)

// command is one subcommand: its flags, and what it does.
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

// codesCommand prints the table of result codes, as docs/result-codes.md holds it.
func codesCommand() *command {
	c := &command{sub: newCommand("codes", "prints the table of result codes")}
	c.run = func(context.Context) int {
		fmt.Print(code.Markdown())
		return exitOK
	}
	return c
}

// eventsCommand prints the table of log events, as docs/log-events.md holds it.
func eventsCommand() *command {
	c := &command{sub: newCommand("events", "prints the table of log events")}
	c.run = func(context.Context) int {
		fmt.Print(event.Markdown())
		return exitOK
	}
	return c
}

// versionCommand prints the version.
func versionCommand() *command {
	c := &command{sub: newCommand("version", "prints the version")}
	c.run = func(context.Context) int {
		fmt.Println(version)
		return exitOK
	}
	return c
}

// fault prints an error and returns the exit code.
func fault(exit int, err error) int {
	fmt.Fprintln(os.Stderr, "beaconpoint: "+err.Error())
	return exit
}

// newLog returns a log of JSON lines on standard error.
func newLog(level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: l}))
}
