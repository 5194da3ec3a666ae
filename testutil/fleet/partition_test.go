package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/owner"
)

// TestPartitionedHallKeepsServing guards against refusing jobs while targets are idle, when one
// hall of three with its entries is cut from the others.
func TestPartitionedHallKeepsServing(t *testing.T) {
	cfg := WorkloadConfig(1, 6, 24, TrackingWorkload(24, 0.25))
	cfg.Halls = 3
	w := New(cfg)
	var before, during owner.Stats
	w.At(4*time.Second, func() { w.partition(hallName(1), 4*time.Second) })
	w.At(4500*time.Millisecond, func() { before = w.Stats() })
	w.At(8*time.Second, func() { during = w.Stats() })
	w.Run()
	assert.Equal(t, w.Violation, "")
	refused, submitted := during.Refused-before.Refused, during.Accepted-before.Accepted
	completed := during.Completed - before.Completed
	t.Logf("during the partition: %d submitted, %d completed, %d refused, %d given up", submitted, completed, refused,
		during.GivenUp-before.GivenUp)
	assert.Assert(t, refused*9 <= submitted, "%d of %d refused while targets were idle", refused, submitted)
	assert.Assert(t, completed*9 >= submitted*8, "%d of %d completed", completed, submitted)
}

// TestPartitionsKeepInvariants guards against violations when halls are cut from each other and
// callers resubmit jobs on the other side after a broken connection.
func TestPartitionsKeepInvariants(t *testing.T) {
	playHistories(t, 14000, 160, func(c *Config) {
		c.Kinds, c.Faults = []FaultKind{Partition, ResetClients, KillEntry, IsolateAgent}, 12
		c.Entries, c.Agents, c.Halls = 3, 9, 3
	})
}
