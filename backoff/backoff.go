// Package backoff computes exponential backoff intervals with an upper limit.
package backoff

import "time"

// maxDoublings keeps the shift from overflowing. Interval does not reach a limit that is more
// than 2^maxDoublings times the initial interval.
const maxDoublings = 16

// Interval returns the time between two tries after the given number of consecutive
// failures: initial, doubled for each failure, but at most limit.
func Interval(initial, limit time.Duration, failures int) time.Duration {
	return min(initial<<min(failures, maxDoublings), limit)
}
