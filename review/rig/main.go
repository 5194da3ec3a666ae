// Command rig plays the cases of the review: it starts the processes of the deploy file on
// loopback addresses, beside stand-ins for the platform, its store, workers and clients.
//
//	main.go    the command line, and the cases by name
//	system.go  the processes and the settings files that they read
//	worker.go  a stand-in for a worker
//	client.go  stand-ins for the platform's balancer and for clients
//	record.go  the record of what was sent, answered and run
//	case_*.go  one case each
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not
// run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration is the time after which a case counts as one that could not run.
const maxDuration = 112 * time.Second

// cases holds the cases by name. A case returns the ways in which the rule was broken.
var cases = map[string]func(*system) ([]string, error){
	"twice":   runTwice,
	"recover": runRecover,
	"lost":    runLost,
}

func main() {
	os.Exit(play(os.Args[1:]))
}

// play plays the case named by the first argument and writes its record into the folder named by
// the second.
func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig twice|recover|lost FOLDER")
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	log, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer log.close()
	s, err := newSystem(ctx, log, os.Getenv("TROUBLE") != "0")
	if err != nil {
		log.add("not run: %v", err)
		return exitNotRun
	}
	defer s.stop()
	broken, err := cases[args[0]](s)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		log.add("not run: %v", err)
		return exitNotRun
	}
	for _, b := range broken {
		log.add("rule broken: %s", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	log.add("rule held")
	return exitHeld
}
