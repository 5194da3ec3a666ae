package reach

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// newSet returns the set of an entry in a fleet of the given size.
func newSet(entry string, entries, agents int) *Set {
	s := NewSet(entry)
	s.SetEntries(entries)
	for k := range agents {
		s.Add(agentName(k))
	}
	s.Update(0)
	return s
}

func agentName(k int) string { return fmt.Sprintf("side-%d", k) }

// where returns the names of the agents that meet a condition.
func (s *Set) where(meets func(*agent) bool) []string {
	var names []string
	for _, a := range s.byHome {
		if meets(a) {
			names = append(names, a.name)
		}
	}
	return names
}

func (s *Set) wantedNames() []string { return s.where(func(a *agent) bool { return a.wanted }) }
func (s *Set) homeNames() []string   { return s.where(func(a *agent) bool { return a.home }) }

func TestSmallFleetIsFullMesh(t *testing.T) {
	for _, agents := range []int{1, 11, 70, FullMesh} {
		s := newSet("edge-1", 3, agents)
		assert.Equal(t, len(s.wantedNames()), agents)
		assert.Equal(t, len(s.homeNames()), agents)
		assert.Assert(t, !s.Partial())
	}
}

// TestSetSizeIndependentOfFleetSize guards against connection counts that grow with the
// fleet, at entries and at agents that are not homes.
func TestSetSizeIndependentOfFleetSize(t *testing.T) {
	for _, c := range []struct{ entries, agents int }{{184, 800}, {368, 1600}, {20, 1200}} {
		covered := make(map[string]int)
		for k := range c.entries {
			s := newSet(fmt.Sprintf("edge-%d", k), c.entries, c.agents)
			covering := (coverage*c.agents + c.entries - 1) / c.entries
			assert.Assert(t, len(s.wantedNames()) <= homeAgents+max(minOwn, covering), "%d wanted", len(s.wantedNames()))
			assert.Equal(t, len(s.homeNames()), homeAgents)
			for _, name := range s.wantedNames() {
				covered[name]++
			}
		}
		s := newSet("edge-0", c.entries, c.agents)
		none, most := 0, 0
		for k := range c.agents {
			n := covered[agentName(k)]
			if n == 0 {
				none++
			}
			if !s.Home(agentName(k)) {
				most = max(most, n)
			}
		}
		t.Logf("%d entries, %d agents: %d agents in no set, those that are no homes in at most %d sets", c.entries, c.agents, none, most)
		assert.Assert(t, none*1000 <= c.agents, "%d of %d agents are in no set", none, c.agents)
		assert.Assert(t, most <= 4*max(coverage, minOwn*c.entries/c.agents), "an agent is in %d sets", most)
	}
}

// TestEntriesSelectSameHomesDespiteLosses guards against entries without a common home
// after they have lost different agents.
func TestEntriesSelectSameHomesDespiteLosses(t *testing.T) {
	a, b := newSet("edge-a", 50, 500), newSet("edge-b", 50, 500)
	assert.DeepEqual(t, a.homeNames(), b.homeNames())
	for _, name := range a.homeNames()[:30] {
		a.SetLost(name, true)
	}
	a.Update(0)
	assert.Equal(t, len(a.homeNames()), homeAgents+30)
	for _, name := range b.homeNames() {
		assert.Assert(t, a.Home(name))
	}
}

// TestEntryWithPartialDirectorySelectsSameHomes guards against different homes at an entry
// that restarts while the store is down and only learns the agents it was connected to.
func TestEntryWithPartialDirectorySelectsSameHomes(t *testing.T) {
	before := newSet("edge-1", 184, 800)
	after := NewSet("edge-1")
	for _, name := range before.wantedNames() {
		after.Add(name)
	}
	after.SetFleet(800)
	after.Update(0)
	assert.DeepEqual(t, after.homeNames(), before.homeNames())
}

// TestLostAgentsReplacedWithinBounds checks that half of the fleet can be replaced with a
// bounded number of tries, and that the set is restored when the agents return.
func TestLostAgentsReplacedWithinBounds(t *testing.T) {
	s := newSet("edge-1", 184, 800)
	before := s.wantedNames()
	for k := 0; k < 800; k += 2 {
		s.SetLost(agentName(k), true)
	}
	s.Update(0)
	live := s.where(func(a *agent) bool { return a.wanted && !a.lost })
	assert.Assert(t, len(live) >= homeAgents+minOwn-homeAgents/4, "%d live agents wanted", len(live)) // some agents are both homes and own
	assert.Assert(t, len(s.wantedNames()) <= maxTriedFactor*(homeAgents+minOwn))
	for k := range 800 {
		s.SetLost(agentName(k), true)
	}
	s.Update(0)
	assert.Assert(t, len(s.wantedNames()) <= maxTriedFactor*(homeAgents+minOwn), "%d agents tried", len(s.wantedNames()))
	for k := range 800 {
		s.SetLost(agentName(k), false)
	}
	s.Update(0)
	assert.DeepEqual(t, s.wantedNames(), before)
}

// TestSetGrowsWhileAddedAgentsRunTasks guards against adding agents without end in a full
// fleet.
func TestSetGrowsWhileAddedAgentsRunTasks(t *testing.T) {
	s := newSet("edge-1", 184, 800)
	usual := len(s.wantedNames())
	now := time.Second
	step := func(runsTasks bool) int {
		s.Short(now, func(string) bool { return runsTasks })
		s.Update(now)
		now += growInterval
		return len(s.wantedNames())
	}
	first := step(false) // the first step is unconditional
	assert.Assert(t, first > usual)
	assert.Equal(t, step(false), first, "grew although the added agents run no tasks")
	second := step(true)
	assert.Assert(t, second > first)
	for range 100 {
		step(true)
	}
	assert.Equal(t, len(s.wantedNames()), 800)
	now += growRetention
	s.Update(now)
	assert.Equal(t, len(s.wantedNames()), usual)
}

// TestMissingLabelWantsAllAgents checks that a job's missing label widens the set for a
// while: labels of a target are only known to connected entries.
func TestMissingLabelWantsAllAgents(t *testing.T) {
	s := newSet("edge-1", 184, 800)
	usual := len(s.wantedNames())
	s.Widen(time.Second)
	s.Update(time.Second)
	assert.Equal(t, len(s.wantedNames()), 800)
	assert.Assert(t, !s.Partial())
	assert.Equal(t, len(s.homeNames()), homeAgents, "homes are the same for all entries")
	s.Update(time.Second + wantAllDuration)
	assert.Equal(t, len(s.wantedNames()), usual)
}

// TestSetInvariants checks with random histories that homes are wanted, that a full mesh
// contains all agents, and that the orders stay sorted.
func TestSetInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSet("edge-1", 20, rapid.IntRange(0, 300).Draw(t, "agents"))
		now := time.Second
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			name := agentName(rapid.IntRange(0, 320).Draw(t, "agent"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				s.Add(name)
			case 1:
				s.Remove(name)
			case 2, 3:
				s.SetLost(name, rapid.Bool().Draw(t, "lost"))
			case 4:
				s.Short(now, func(string) bool { return true })
			case 5:
				s.SetEntries(rapid.IntRange(1, 40).Draw(t, "entries"))
			}
			s.Update(now)
			now += growInterval
			for _, name := range s.homeNames() {
				assert.Assert(t, s.Wanted(name))
			}
			if !s.Partial() {
				assert.Equal(t, len(s.wantedNames()), s.Known())
			}
		}
		assert.Assert(t, slices.IsSortedFunc(s.byHome, (*agent).byHomeRank))
		assert.Equal(t, len(s.byHome), len(s.byOwn))
	})
}

// BenchmarkUpdate measures Update after the loss or return of one agent.
func BenchmarkUpdate(b *testing.B) {
	for _, agents := range []int{800, 1600} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			s := newSet("edge-1", 184, agents)
			lost := false
			for b.Loop() {
				lost = !lost
				s.SetLost(agentName(0), lost)
				s.Update(time.Second)
			}
		})
	}
}
