//go:build knownred

package claim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
)

// TestCancellationKeepsThatJobMayHaveRun guards against a claim that is granted as not run
// although an earlier submission of the job may have run.
func TestCancellationKeepsThatJobMayHaveRun(t *testing.T) {
	for name, cancel := range map[string]bool{"not cancelled": false, "cancelled": true} {
		t.Run(name, func(t *testing.T) {
			g := newHarness()
			assert.Equal(t, g.claim(a, 1, "j").State, Granted)
			g.Settle(g.now, a, Settlement{Job: "j", Outcome: GivenUp, Why: code.JobTooLate, Ran: true, Losses: 1, Clear: true})
			g.advance(100 * time.Millisecond)
			if cancel {
				g.Claim(g.now, c, 3, Claim{Job: "j", Cancel: true})
			}
			granted := g.claim(b, 2, "j")
			assert.Equal(t, granted.State, Granted)
			assert.Assert(t, granted.Ran)
			assert.Equal(t, granted.Losses, 1)
		})
	}
}
