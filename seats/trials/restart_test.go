package trials

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/seats/testutil/cluster"
)

// Fails when entries that were all killed at once do not restore their jobs from
// the agents' records and run a resubmitted job again.
func TestRestartOfAllEntriesKeepsAnswers(t *testing.T) {
	c := cluster.Start(t, threeByThree())
	j := jobOf("before", 20, 50)
	a, err := c.Client(0).Submit(context.Background(), cluster.Service, j)
	assert.NilError(t, err)
	assertComplete(t, j, a)
	for _, p := range c.Entries {
		p.Kill()
	}
	calls := storeCalls(c)
	began := time.Now()
	for _, p := range c.Entries {
		c.Begin(p)
	}
	c.UntilReady()
	t.Logf("all 3 entries ready %d ms after their restart, with %d store calls", time.Since(began).Milliseconds(), storeCalls(c)-calls)
	a, err = c.Client(1).Submit(context.Background(), cluster.Service, j)
	assert.NilError(t, err)
	assertComplete(t, j, a)
	doubled, starts := c.Doubled()
	assert.Equal(t, len(doubled), 0)
	assert.Equal(t, starts, len(j.Tasks), "the resubmission is answered from the agents' records")
}
