package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/subset"
)

// fleetCost holds the connections and frames of a fleet in two seconds at 25% load.
type fleetCost struct {
	// connections and frames count those of the fleet, maxPerAgent the connections of the agent
	// with the most.
	connections, frames, maxPerAgent int
	completed                        int // jobs
	// homeStartRatio is the share of starts on the targets of home agents, relative to their
	// share of all targets. Home agents are those at which jobs are claimed.
	homeStartRatio float64
}

// measureFleet returns the cost of a fleet of the given size.
func measureFleet(entries, agents int) fleetCost {
	cfg := WorkloadConfig(1, entries, agents, TrackingWorkload(agents, 0.25))
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
		if w.entries[0].subset.Home(a.name) {
			homes++
			startsAtHomes += a.target.startCount
		}
	}
	share := float64(homes) / float64(agents)
	return fleetCost{homeStartRatio: float64(startsAtHomes) / float64(starts) / share, connections: w.Connections,
		frames: w.Frames, maxPerAgent: maxOpen, completed: w.Counts.Completed}
}

// maxGrowthPerHost is how much the cost per host may grow when the fleet doubles.
const maxGrowthPerHost = 1.1

// maxHomeStartRatio bounds homeStartRatio: all entries are connected to home agents, which must
// not attract work.
const maxHomeStartRatio = 1.25

// TestFleetCostGrowsLinearly guards against connections and frames that grow with the number of
// entry-agent pairs rather than with the number of hosts.
func TestFleetCostGrowsLinearly(t *testing.T) {
	once, twice := measureFleet(20, 140), measureFleet(40, 280)
	t.Logf("%+v, %+v", once, twice)
	assert.Assert(t, once.connections <= 20*subset.FullMesh)
	assert.Assert(t, twice.connections <= 40*subset.FullMesh)
	assert.Assert(t, float64(twice.frames) <= 2*maxGrowthPerHost*float64(once.frames))
	assert.Assert(t, max(once.homeStartRatio, twice.homeStartRatio) <= maxHomeStartRatio,
		"targets of home agents get more work than others")
	assert.Assert(t, twice.completed >= 2*once.completed*95/100)
}
