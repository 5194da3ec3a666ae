//go:build knownred

package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestJobsMeetObjectivesAfterLongUptime guards against an entry that counts each job as too
// late for its objective once the process has run for an hour.
func TestJobsMeetObjectivesAfterLongUptime(t *testing.T) {
	for _, uptime := range []time.Duration{10 * time.Second, 59 * time.Minute, 2 * time.Hour} {
		t.Run(uptime.String(), func(t *testing.T) {
			b := newHarness(t, "a")
			b.now += uptime
			b.reportState("a", 0, 1, 0)
			b.submit(jobOf("1", 1))
			j := b.jobs["1"]
			j.rank = j.rankAt(b.now)
			assert.Assert(t, b.now <= j.rankInputs(b.now).latestStart())
			assert.Assert(t, !j.missesObjective())
		})
	}
}
