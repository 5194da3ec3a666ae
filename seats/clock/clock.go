// Package clock reads the monotonic and the wall clock, for state machines that
// receive the time with each call.
package clock

import "time"

// Moment is a reading of both clocks of a process.
type Moment struct {
	// Mono is the monotonic time since the process started. It also advances
	// while the process is stopped.
	Mono time.Duration
	// Wall is the wall-clock time, which differs between hosts by at most the
	// allowed skew.
	Wall time.Time
}

// Clock reads the clocks of one process.
type Clock struct {
	began time.Time
}

// New returns a clock. Its monotonic reading starts at one second, so that zero
// can mean "not set".
func New() Clock {
	return Clock{began: time.Now().Add(-time.Second)}
}

// Now returns the current time.
func (c Clock) Now() Moment {
	now := time.Now()
	return Moment{Mono: now.Sub(c.began), Wall: now}
}

// Plus returns m moved forward by d.
func (m Moment) Plus(d time.Duration) Moment {
	return Moment{Mono: m.Mono + d, Wall: m.Wall.Add(d)}
}
