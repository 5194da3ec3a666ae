package node

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// bootClock is the clock of a process for leases, timeouts and deadlines. It is monotonic and
// includes time during which the host was suspended, unlike the clock of package time: a
// process that resumes must not treat leases granted before the suspension as valid. Readings
// start at one second, so that zero can mean "unset".
//
// Timers still use the runtime's clock: a timer that is due during a suspension fires after it.
type bootClock struct {
	uptime func() time.Duration // since the host booted
	origin time.Duration        // uptime at which the clock would read zero
}

func newBootClock() bootClock {
	return newBootClockFrom(sinceBoot)
}

// newBootClockFrom returns a clock that starts now, based on the given function.
func newBootClockFrom(uptime func() time.Duration) bootClock {
	return bootClock{uptime: uptime, origin: uptime() - time.Second}
}

func (c bootClock) now() time.Duration {
	return c.uptime() - c.origin
}

// processStart is the fallback epoch of sinceBoot on hosts without CLOCK_BOOTTIME.
var processStart = time.Now()

// sinceBoot returns the time since the host booted, including suspensions.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart) // CLOCK_BOOTTIME is not supported
	}
	return time.Duration(t.Nano())
}

// sleep waits for d and reports whether it elapsed before ctx was done.
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

// notify signals a channel of capacity 1. A signal that is already pending is not repeated.
func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
