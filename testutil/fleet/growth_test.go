package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/reach"
)

// growth is what a fleet made and sent in two seconds of a quarter of the load.
type fleetCost struct {
	connections, frames, maxPerAgent int // connections and frames in all, connections at an agent that has most
	completed                        int
	// atHomes is how many times their share the targets had of all starts at which jobs are claimed.
	homeStartRatio float64
}

// grow plays a fleet of so many entries and agents.
func measureFleet(entries, agents int) fleetCost {
	cfg := PolicyConfig(1, entries, agents, Tracking(agents, 0.25))
	cfg.Length = 2 * time.Second
	w := New(cfg)
	maxOpen := 0
	w.At(1500*time.Millisecond, func() {
		for _, a := range w.agents {
			open := 0
			for _, l := range a.links {
				if l.openAtAgent {
					open++
				}
			}
			maxOpen = max(maxOpen, open)
		}
	})
	w.Run()
	homes, startsAtHomes, starts := 0, 0, 0
	for _, a := range w.agents {
		starts += a.target.startCount
		if w.entries[0].reach.Home(a.name) {
			homes++
			startsAtHomes += a.target.startCount
		}
	}
	share := float64(homes) / float64(agents)
	return fleetCost{homeStartRatio: float64(startsAtHomes) / float64(starts) / share, connections: w.Connections, frames: w.Frames, maxPerAgent: maxOpen, completed: w.Counts.Completed}
}

// growthBound is by how much a figure of one host may grow with twice the fleet: the issue of the
// whole fleet asks for less than a tenth.
const maxGrowthPerHost = 1.1

// evenBound is how many times their share of the starts the targets may have at which jobs are
// claimed: all entries are connected to them, which must not draw work there.
const maxHomeStartRatio = 1.25

// TestNothingGrowsWithThePairs: twice the entries and agents at the same load a host make a bounded
// number of connections an entry, and send twice as much, not four times: 2,800 and 11,200
// connections where each entry had one to each agent.
func TestFleetCostGrowsLinearly(t *testing.T) {
	once, twice := measureFleet(20, 140), measureFleet(40, 280)
	t.Logf("%+v, %+v", once, twice)
	assert.Assert(t, once.connections <= 20*reach.FullMesh)
	assert.Assert(t, twice.connections <= 40*reach.FullMesh)
	assert.Assert(t, float64(twice.frames) <= 2*maxGrowthPerHost*float64(once.frames))
	assert.Assert(t, max(once.homeStartRatio, twice.homeStartRatio) <= maxHomeStartRatio, "targets at which jobs are claimed get more work")
	assert.Assert(t, twice.completed >= 2*once.completed*95/100)
}
