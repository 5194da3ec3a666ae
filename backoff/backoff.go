// Package backoff holds the one rule for intervals between tries: they double with
// each failure up to a bound.
package backoff

import "time"

// maxDoublings keeps the shift from overflowing; no bound in use is reached later.
const maxDoublings = 16

// Interval returns the time between two tries after the given number of failures in a row: first
// without any, twice as long with each, most at the most.
func Interval(first, most time.Duration, failures int) time.Duration {
	return min(first<<min(failures, maxDoublings), most)
}
