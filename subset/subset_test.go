package subset

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

// namesOf returns the names of the agents that meet a condition.
func (s *Set) namesOf(meets func(*agent) bool) []string {
	var names []string
	for _, a := range s.byHome {
		if meets(a) {
			names = append(names, a.name)
		}
	}
	return names
}

func (s *Set) wantedNames() []string { return s.namesOf(func(a *agent) bool { return a.wanted }) }
func (s *Set) homeNames() []string   { return s.namesOf(func(a *agent) bool { return a.home }) }

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
	// The last fleet has so few entries that coverage requires more than minPreferred agents.
	for _, c := range []struct{ entries, agents int }{{184, 800}, {368, 1600}, {20, 1200}} {
		covered := make(map[string]int)
		for k := range c.entries {
			s := newSet(fmt.Sprintf("edge-%d", k), c.entries, c.agents)
			covering := (coverage*c.agents + c.entries - 1) / c.entries
			assert.Assert(t, len(s.wantedNames()) <= homeAgents+max(minPreferred, covering),
				"%d wanted", len(s.wantedNames()))
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
		t.Logf("%d entries, %d agents: %d agents in no set, those that are no homes in at most %d sets",
			c.entries, c.agents, none, most)
		assert.Assert(t, none*1000 <= c.agents, "%d of %d agents are in no set", none, c.agents)
		// Four times the mean leaves room for the chance distribution.
		assert.Assert(t, most <= 4*max(coverage, minPreferred*c.entries/c.agents), "an agent is in %d sets", most)
	}
}

// TestLossesKeepCommonHomes guards against entries without common homes after one of them
// has lost agents.
func TestLossesKeepCommonHomes(t *testing.T) {
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
// that restarts while the store is down and only finds the agents it was connected to.
func TestEntryWithPartialDirectorySelectsSameHomes(t *testing.T) {
	before := newSet("edge-1", 184, 800)
	after := NewSet("edge-1")
	for _, name := range before.wantedNames() {
		after.Add(name)
	}
	after.RaiseFleetSize(800)
	after.Update(0)
	assert.DeepEqual(t, after.homeNames(), before.homeNames())
}

// TestLostAgentsReplacedWithinBounds guards against too few live agents after the loss of half
// of the fleet, unbounded tries, and a set that is not restored when the agents return.
func TestLostAgentsReplacedWithinBounds(t *testing.T) {
	s := newSet("edge-1", 184, 800)
	before := s.wantedNames()
	for k := 0; k < 800; k += 2 {
		s.SetLost(agentName(k), true)
	}
	s.Update(0)
	live := s.namesOf(func(a *agent) bool { return a.wanted && !a.lost })
	// Fewer than a quarter of the homes are also preferred agents.
	assert.Assert(t, len(live) >= homeAgents+minPreferred-homeAgents/4, "%d live agents wanted", len(live))
	assert.Assert(t, len(s.wantedNames()) <= maxTriedFactor*(homeAgents+minPreferred))
	for k := range 800 {
		s.SetLost(agentName(k), true)
	}
	s.Update(0)
	assert.Assert(t, len(s.wantedNames()) <= maxTriedFactor*(homeAgents+minPreferred),
		"%d agents tried", len(s.wantedNames()))
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
		s.RecordShortage(now, func(string) bool { return runsTasks })
		s.Update(now)
		now += growInterval
		return len(s.wantedNames())
	}
	first := step(false) // no agents were added before
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

// TestMissingLabelWantsAllAgents guards against a job that never finds a target with its
// label: an entry has the labels of the targets of connected agents only.
func TestMissingLabelWantsAllAgents(t *testing.T) {
	s := newSet("edge-1", 184, 800)
	usual := len(s.wantedNames())
	s.WantAll(time.Second)
	s.Update(time.Second)
	assert.Equal(t, len(s.wantedNames()), 800)
	assert.Assert(t, !s.Partial())
	assert.Equal(t, len(s.homeNames()), homeAgents, "the homes changed in number when all agents were wanted")
	s.Update(time.Second + wantAllDuration)
	assert.Equal(t, len(s.wantedNames()), usual)
}

// TestRandomHistoriesKeepSetConsistent guards against homes that are not wanted, a full mesh
// without some agents, an unsorted order of homes, and orders of different length.
func TestRandomHistoriesKeepSetConsistent(t *testing.T) {
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
				s.RecordShortage(now, func(string) bool { return true })
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
		assert.Equal(t, len(s.byHome), len(s.byPreference))
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
