package home

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/job"
)

// TestAHomeIsAskedAlsoAfterTheDeadline: a job whose expiry is long past is answered by
// its home; given up before the next tick, its caller would read that the home is
// unreachable.
func TestAHomeIsAskedAlsoAfterTheDeadline(t *testing.T) {
	now := clock.Moment{Mono: time.Minute, Wall: time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)}
	at := func(left time.Duration) time.Duration {
		return forwardUntil(now, job.Submission{Deadline: now.Wall.Add(left).UnixMilli()})
	}
	assert.Equal(t, at(time.Second), now.Mono+time.Second+forwardGrace)
	assert.Equal(t, at(-6*365*24*time.Hour), now.Mono+forwardGrace)
}
