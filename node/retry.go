package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/beaconpoint/beaconpoint/backoff"
	"github.com/beaconpoint/beaconpoint/event"
)

// tryTimeouts are how long the tries of a call to the store may take, by turns. A
// silent store has lost the call that waits, so the next must come soon after it is
// back; a slow one needs a long try now and then. Before they were bounded so, calls
// that were lost in a silent store took 1.4 s.
var tryTimeouts = []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond}

// The next try follows firstPause after each failure at least. From the beginning of
// one try to the next passes twice as long each time, up to storeRetry, so that a
// store that refuses at once is not pressed. Not measured.
const (
	firstPause = 50 * time.Millisecond
	storeRetry = 500 * time.Millisecond
)

// storeCall is a call to the store that is repeated until it succeeds. It logs when
// the store is lost and when it is back.
type storeCall struct {
	name     string // for logs
	log      *slog.Logger
	failures int // in a row
}

// try makes the call once, with extra on top of the time that a try may take. It
// reports whether it succeeded; after a failure it has paused.
func (c *storeCall) try(ctx context.Context, extra time.Duration, do func(context.Context) error) bool {
	began := time.Now()
	bounded, cancel := context.WithTimeout(ctx, extra+tryTimeouts[c.failures%len(tryTimeouts)])
	err := do(bounded)
	cancel()
	if err == nil {
		if c.failures > 0 {
			c.log.Info(event.StoreBack, "call", c.name, "tries", c.failures)
		}
		c.failures = 0
		return true
	}
	if c.failures == 0 && ctx.Err() == nil {
		c.log.Warn(event.StoreLost, "call", c.name, "why", err.Error())
	}
	interval := backoff.Interval(firstPause, storeRetry, c.failures)
	sleep(ctx, max(firstPause, interval-time.Since(began)))
	c.failures++
	return false
}

// untilDone repeats a call to the store until it succeeds or the context ends.
func untilDone(ctx context.Context, log *slog.Logger, name string, do func(context.Context) error) {
	c := &storeCall{name: name, log: log}
	for ctx.Err() == nil && !c.try(ctx, 0, do) {
	}
}
