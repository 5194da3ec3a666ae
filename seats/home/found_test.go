package home_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/seats/testutil/world"
)

// TestFoundHistories tells the histories that once broke a promise, each by the
// fault that it found.
func TestFoundHistories(t *testing.T) {
	for _, c := range []struct {
		name  string
		cfg   world.Config
		story []step
	}{
		{
			// What a home gathered of a job that a leaving seat went on with
			// counted as all there is; the seat died later.
			name: "holder goes on after the gathering",
			cfg:  world.Config{Entries: 3, Agents: 4, Shards: 1, Seed: 264, Loss: 0.05, Late: 0.02, LateBy: 8 * time.Second},
			story: []step{
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
				_, err := tell(cfg, c.story)
				assert.NilError(t, err)
			}
		})
	}
}
