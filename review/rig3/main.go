// Command rig plays one case of the third review: it starts the processes of a small deployment with the
// commands of the deploy file, on loopback addresses, beside stand-ins of the platform, the workers
// and the clients. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if
// the case could not run. TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// scene is a running deployment with its clients.
type scene struct {
	*system
	client
	links   []*link // links[k] leads to entries[k]
	trouble bool
}

// cases are the cases by name.
var cases = map[string]func(*scene) error{
	"roll-after-cancel": rollAfterCancel,
	"refused-copy":      refusedCopy,
	"short-freeze":      shortFreeze,
	"blind-cancel":      blindCancel,
	"kill-after-cancel": killAfterCancel,
}

// longest is the longest time that a case may take.
const longest = 110 * time.Second

func main() {
	runtime.LockOSThread() // the processes end with the thread that started them
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run plays a case and returns the exit code.
func run(play func(*scene) error, recordPath string) int {
	rec := newRecorder()
	sys, err := startSystem(rec, 3, 11)
	if sys != nil {
		defer sys.stopAll()
		go endEarly(sys)
	}
	s := &scene{system: sys, client: client{rec}, trouble: os.Getenv("TROUBLE") != "0"}
	for k := 0; err == nil && k < len(sys.entries); k++ {
		var l *link
		l, err = newLink(sys.entries[k])
		s.links = append(s.links, l)
	}
	code := 2
	if err == nil {
		rec.mu.Lock()
		rec.start = time.Now()
		rec.mu.Unlock()
		switch err = play(s); {
		case err == nil:
			code = 0
		case errors.Is(err, errBroken):
			code = 1
		}
	}
	if err == nil {
		rec.notef("the rule held")
	} else {
		rec.notef("%v", err)
	}
	if werr := rec.write(recordPath); werr != nil {
		fmt.Fprintln(os.Stderr, werr)
		return 2
	}
	return code
}

// endEarly ends all processes with exit code 2 on a signal or after the longest time.
func endEarly(sys *system) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-stop:
	case <-time.After(longest):
	}
	sys.stopAll()
	os.Exit(2)
}
