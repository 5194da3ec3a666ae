package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/beaconpoint/beaconpoint/event"
)

// tryTimeouts are how long the calls of a row of tries to the store may take, over
// and over. A store that was silent has lost the call that waits: the next must
// come soon after it is back. One that is slow needs a long try now and then.
var tryTimeouts = []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond}

// Intervals between the tries of a row.
const (
	// firstPause follows each fault at least. From one try to the next passes
	// twice as long each time, up to storeRetry, so that a store that refuses
	// at once is not pressed.
	firstPause = 50 * time.Millisecond
	storeRetry = 500 * time.Millisecond
)

// storeCall is a call to the store that is repeated until it succeeds. It logs
// when the store is lost and when it is back.
type storeCall struct {
	name  string
	log   *slog.Logger
	tries int // faults in a row
}

// try makes the call once, with extra on top of the time that a try may take.
// It reports whether it succeeded; after a fault it has paused.
func (c *storeCall) try(ctx context.Context, extra time.Duration, do func(context.Context) error) bool {
	began := time.Now()
	bounded, cancel := context.WithTimeout(ctx, extra+tryTimeouts[c.tries%len(tryTimeouts)])
	err := do(bounded)
	cancel()
	if err == nil {
		if c.tries > 0 {
			c.log.Info(event.StoreBack, "call", c.name, "tries", c.tries)
		}
		c.tries = 0
		return true
	}
	if c.tries == 0 && ctx.Err() == nil {
		c.log.Warn(event.StoreLost, "call", c.name, "why", err.Error())
	}
	interval := min(firstPause<<min(c.tries, maxDoublings), storeRetry)
	sleep(ctx, max(firstPause, interval-time.Since(began)))
	c.tries++
	return false
}

// maxDoublings bounds how often the interval is doubled.
const maxDoublings = 8

// untilDone repeats a call to the store until it succeeds.
func untilDone(ctx context.Context, log *slog.Logger, name string, do func(context.Context) error) {
	c := &storeCall{name: name, log: log}
	for ctx.Err() == nil && !c.try(ctx, 0, do) {
	}
}
