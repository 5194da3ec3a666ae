package home

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/job"
)

// Guards against giving up a forward of an expired job at once, which would report
// that the owner is unreachable instead of the job's outcome.
func TestExpiredJobIsStillForwarded(t *testing.T) {
	now := clock.Moment{Mono: time.Minute, Wall: time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)}
	at := func(left time.Duration) time.Duration {
		return forwardDeadline(now, job.Submission{Deadline: now.Wall.Add(left).UnixMilli()})
	}
	assert.Equal(t, at(time.Second), now.Mono+time.Second+forwardGrace)
	assert.Equal(t, at(-6*365*24*time.Hour), now.Mono+forwardGrace)
}
