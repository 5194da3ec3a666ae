package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/beaconpoint/beaconpoint/backoff"
	"github.com/beaconpoint/beaconpoint/event"
)

// attemptTimeouts are the timeouts of successive attempts of a call to the store, used in
// rotation. An attempt made while the store is silent is lost, so short timeouts let the next
// one start soon after the store is back; a slow store needs a long one now and then.
var attemptTimeouts = []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond}

// After a failed attempt the next one starts no sooner than storeRetryMin. The interval between
// the starts of attempts doubles up to storeRetryMax, which limits the load on a store that
// rejects calls immediately.
const (
	storeRetryMin = 50 * time.Millisecond
	storeRetryMax = 500 * time.Millisecond
)

// storeCall is a call to the store that is repeated until it succeeds. It logs when the store
// becomes unavailable and when it is available again.
type storeCall struct {
	name     string // in log lines
	log      *slog.Logger
	failures int // consecutive
}

// attempt makes the call once, with a timeout extended by extra, and reports whether it
// succeeded. After a failure it waits before it returns.
func (c *storeCall) attempt(ctx context.Context, extra time.Duration, do func(context.Context) error) bool {
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
	c := &storeCall{name: name, log: log}
	for ctx.Err() == nil && !c.attempt(ctx, 0, do) {
	}
}
