// Package clock gives the two readings of time that the state machines take:
// they have no clock of their own.
package clock

import "time"

// Moment is one reading of a process's clocks.
type Moment struct {
	// Mono is the time since the process began. It never goes back and
	// counts on while the process is stopped.
	Mono time.Duration
	// Wall is the calendar time, which other hosts share within the
	// allowed skew.
	Wall time.Time
}

// Clock reads the time of one process.
type Clock struct {
	began time.Time
}

// New returns a clock whose monotonic reading begins at one second, so that a
// zero reading never counts as a time.
func New() Clock {
	return Clock{began: time.Now().Add(-time.Second)}
}

// Now returns the present moment.
func (c Clock) Now() Moment {
	now := time.Now()
	return Moment{Mono: now.Sub(c.began), Wall: now}
}

// Plus returns the moment d later.
func (m Moment) Plus(d time.Duration) Moment {
	return Moment{Mono: m.Mono + d, Wall: m.Wall.Add(d)}
}
