package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/beaconpoint/beaconpoint/backoff"
	"github.com/beaconpoint/beaconpoint/event"
)

// attemptTimeouts are the timeouts of successive attempts of a call to the store, used in rotation.
// An attempt made while the store is silent is lost, and a short timeout lets the next one start
// soon after the store is back. The longest one allows a slow store to answer.
var attemptTimeouts = []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond}

const (
	// storeRetryMin is the shortest pause after a failed attempt, and the first interval between
	// the starts of attempts.
	storeRetryMin = 50 * time.Millisecond
	// storeRetryMax is the longest interval between the starts of attempts, up to which the
	// interval doubles. It limits the load on a store that rejects calls immediately.
	storeRetryMax = 500 * time.Millisecond
)

// storeRetrier counts the consecutive failures of a call to the store, on which the timeout of an
// attempt and the pause after it depend. It logs the first failure and the next success.
type storeRetrier struct {
	name     string // of the call, in log lines
	log      *slog.Logger
	failures int // consecutive
}

// attempt makes the call once, with a timeout extended by extra, and reports whether it
// succeeded. After a failure it waits before it returns.
func (c *storeRetrier) attempt(ctx context.Context, extra time.Duration, do func(context.Context) error) bool {
	began := time.Now()
	attemptCtx, cancel := context.WithTimeout(ctx, extra+attemptTimeouts[c.failures%len(attemptTimeouts)])
	err := do(attemptCtx)
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
	interval := backoff.Interval(storeRetryMin, storeRetryMax, c.failures)
	sleep(ctx, max(storeRetryMin, interval-time.Since(began)))
	c.failures++
	return false
}

// retryUntilDone repeats a call to the store until it succeeds or ctx is done.
func retryUntilDone(ctx context.Context, log *slog.Logger, name string, do func(context.Context) error) {
	c := &storeRetrier{name: name, log: log}
	for ctx.Err() == nil && !c.attempt(ctx, 0, do) {
	}
}
