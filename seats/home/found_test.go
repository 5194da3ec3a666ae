package home_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/seats/testutil/world"
)

// TestRecordedHistoriesKeepGuarantees repeats histories that once violated a
// guarantee, each named by the fault that it exposed.
func TestRecordedHistoriesKeepGuarantees(t *testing.T) {
	for _, c := range []struct {
		name  string
		cfg   world.Config
		steps []step
	}{
		{
			// The records of a job that a leaving seat still ran were taken
			// for complete; the seat failed later.
			name: "leaving holder continues job after takeover",
			cfg:  world.Config{Entries: 3, Agents: 4, Shards: 1, Seed: 264, Loss: 0.05, Late: 0.02, LateBy: 8 * time.Second},
			steps: []step{
				{world.Submit, 1, 149}, {world.Resubmit, 1, 232}, {world.Resubmit, 1, 679}, {world.Leave, 1, 870},
				{world.Split, 0, 1114}, {world.Submit, 1, 677}, {world.Resume, 11, 134}, {world.Leave, 68, 4},
				{world.Resubmit, 42, 6}, {world.Submit, 194, 356}, {world.Resubmit, 480, 107}, {world.Resubmit, 508, 561},
				{world.Resubmit, 378, 1}, {world.Submit, 0, 79}, {world.Submit, 5, 92}, {world.Kill, 439, 31},
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			for group := range uint64(groups) {
				cfg := c.cfg
				cfg.Seed += group
				_, err := runHistory(cfg, c.steps)
				assert.NilError(t, err)
			}
		})
	}
}
