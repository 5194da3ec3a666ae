package node

import (
	"context"
	"time"
)

// steadyClock is a process's own clock. It begins at one second, so that zero never
// counts as a time.
type steadyClock struct{ began time.Time }

// newSteadyClock returns a clock that begins now.
func newSteadyClock() steadyClock {
	return steadyClock{began: time.Now().Add(-time.Second)}
}

// now returns the present time.
func (c steadyClock) now() time.Duration {
	return time.Since(c.began)
}

// sleep waits, and reports whether the context still runs.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// notify makes a signal due, if it is not due already. The channel holds one.
func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
