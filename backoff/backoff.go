// Package backoff computes exponential backoff intervals with an upper limit.
package backoff

import "time"

// maxDoublings keeps the shift from overflowing; all limits in use are reached before it.
const maxDoublings = 16

// Interval returns the time between two tries after the given number of consecutive
// failures: initial, doubled for each failure, but at most limit.
func Interval(initial, limit time.Duration, failures int) time.Duration {
	return min(initial<<min(failures, maxDoublings), limit)
}
