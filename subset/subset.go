// Package subset selects the agents to which an entry connects (subsetting). In a small
// fleet these are all agents. In a larger fleet the selection is bounded, so that the state
// and the traffic of a process do not grow with the size of the fleet:
//
//   - home agents, where jobs are claimed: the lowest ranks in an order shared by
//     all entries, so that the entries have the same homes;
//   - the entry's preferred agents, where its tasks run: the lowest ranks in an order
//     specific to the entry, enough for each agent to be selected by some entries;
//   - further preferred agents while jobs wait for free resources, as long as one of the
//     agents that were added last runs tasks of the entry.
//
// Lost agents remain selected but do not count towards the bounds, so that others replace
// them until they return.
//
// The package records which agents are known, wanted, preferred and homes. It relies on its process
// (package node) to connect to the wanted ones, and on package owner to report which agents
// run tasks of the entry. Set is a state machine without goroutines, clock or sockets,
// called under one lock. docs/design/fleet.md has the rationale and the alternatives.
package subset

import (
	"cmp"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
)

const (
	// FullMesh is the largest fleet, in agents, in which an entry connects to all of them.
	FullMesh = 128
	// homeAgents is the number of home agents that are not lost.
	homeAgents = 64
	// minPreferred is the smallest number of preferred agents of an entry that are not lost.
	minPreferred = 64
	// coverage is the mean number of entries that prefer an agent, at least.
	coverage = 8
	// maxTriedFactor limits the number of agents tried per wanted one when many are lost:
	// enough for the loss of three quarters of the fleet.
	maxTriedFactor = 4
	// growStep is the number of agents added at once while resources are short, and
	// growInterval the shortest time between two additions: the time for a connection, a
	// watch and a reservation.
	growStep     = 32
	growInterval = 100 * time.Millisecond
	// growRetention is how long added agents stay wanted after the shortage ends.
	growRetention = 10 * time.Second
	// wantAllDuration is how long all agents are wanted after a job required a label that
	// no connected agent has.
	wantAllDuration = time.Minute
)

// agent is a known agent.
type agent struct {
	name                     string
	homeRank, preferenceRank claim.Rank
	lost                     bool // not connected although a connection was tried
	wanted, home, preferred  bool
	wasWanted                bool // wanted before the last Update
}

// Set is the selection of one entry.
type Set struct {
	entry        uint64 // hash of the entry's name
	agents       map[string]*agent
	byHome       []*agent // sorted by homeRank
	byPreference []*agent // sorted by preferenceRank
	entries      int      // known number of entries in the fleet
	fleetSize    int      // number of agents in the fleet reported by other processes
	changed      bool

	extra          int           // additional preferred agents because of a shortage
	lastAdded      []string      // agents added the last time, because of a shortage
	shortAt        time.Duration // time of the last shortage
	grownAt        time.Duration // when agents were last added because of a shortage
	allWantedUntil time.Duration // end of the time in which all agents are wanted
	allWanted      bool          // as of the last Update
}

// NewSet returns the set of an entry without known agents.
func NewSet(entry string) *Set {
	return &Set{entry: claim.Hash(entry), agents: make(map[string]*agent)}
}

// homeSalt seeds the home ranks, which are the same for all entries.
const homeSalt = 0x9e3779b97f4a7c15

// Add adds a known agent.
func (s *Set) Add(name string) {
	if s.agents[name] != nil {
		return
	}
	hash := claim.Hash(name)
	a := &agent{name: name, homeRank: claim.RankOf(homeSalt, hash), preferenceRank: claim.RankOf(s.entry, hash)}
	s.agents[name] = a
	s.byHome = insert(s.byHome, a, (*agent).byHomeRank)
	s.byPreference = insert(s.byPreference, a, (*agent).byPreferenceRank)
	s.changed = true
}

// Remove removes an agent.
func (s *Set) Remove(name string) {
	a := s.agents[name]
	if a == nil {
		return
	}
	delete(s.agents, name)
	s.byHome = slices.DeleteFunc(s.byHome, func(b *agent) bool { return a == b })
	s.byPreference = slices.DeleteFunc(s.byPreference, func(b *agent) bool { return a == b })
	s.changed = true
}

// SetEntries sets the number of entries in the fleet.
func (s *Set) SetEntries(n int) {
	s.changed = s.changed || n != s.entries
	s.entries = n
}

// RaiseFleetSize records the number of agents reported by another process, if it is higher than
// those before. With it, an entry that has found only a few agents, because the directory is
// unavailable, selects its homes as the others do.
func (s *Set) RaiseFleetSize(n int) {
	s.changed = s.changed || n > s.fleetSize
	s.fleetSize = max(s.fleetSize, n)
}

// large reports whether the fleet is too large for a full mesh.
func (s *Set) large() bool {
	return max(len(s.agents), s.fleetSize) > FullMesh
}

// SetLost records whether the connection to an agent is lost or could not be established.
func (s *Set) SetLost(name string, lost bool) {
	if a := s.agents[name]; a != nil && a.lost != lost {
		a.lost = lost
		s.changed = true
	}
}

// Known returns the number of known agents.
func (s *Set) Known() int {
	return len(s.agents)
}

// Partial reports whether only some of the known agents are wanted.
func (s *Set) Partial() bool {
	return s.large() && !s.allWanted
}

// Wanted reports whether the entry should be connected to an agent.
func (s *Set) Wanted(name string) bool {
	a := s.agents[name]
	return a != nil && a.wanted
}

// Home reports whether an agent is a home, where jobs may be claimed.
func (s *Set) Home(name string) bool {
	a := s.agents[name]
	return a != nil && a.home
}

// RecordShortage records that jobs are waiting for free resources at now, and adds preferred agents if
// growInterval has passed since the last time. runsTasks reports whether an agent runs tasks
// of this entry: if none of the agents added last does, the fleet has no free resources, and
// more connections would not help. Update must follow with the same time.
func (s *Set) RecordShortage(now time.Duration, runsTasks func(name string) bool) {
	s.shortAt = now
	if !s.Partial() || s.grownAt > 0 && now-s.grownAt < growInterval {
		return
	}
	if len(s.lastAdded) > 0 && !slices.ContainsFunc(s.lastAdded, runsTasks) || s.preferredQuota() >= len(s.agents) {
		return
	}
	s.grownAt = now
	s.extra += growStep
	s.changed = true
}

// WantAll makes all agents wanted for a while, because a job requires a label that no
// connected agent has.
func (s *Set) WantAll(now time.Duration) {
	s.allWantedUntil = now + wantAllDuration
}

// preferredQuota returns how many preferred agents that are not lost the entry should select.
func (s *Set) preferredQuota() int {
	covering := 0
	if s.entries > 0 {
		covering = (coverage*len(s.agents) + s.entries - 1) / s.entries
	}
	return max(minPreferred, covering) + s.extra
}

// Preferred reports whether an agent is one that the entry prefers, where its tasks run. Agents that
// are only homes run no tasks: they are connected to all entries and would be overloaded.
func (s *Set) Preferred(name string) bool {
	a := s.agents[name]
	return a != nil && a.preferred
}

// Update recomputes the wanted agents, the preferred ones and the homes if anything has changed. It
// reports whether it recomputed them.
func (s *Set) Update(now time.Duration) bool {
	if s.extra > 0 && now-s.shortAt >= growRetention {
		s.extra, s.lastAdded, s.changed = 0, nil, true
	}
	if allWanted := now < s.allWantedUntil; allWanted != s.allWanted {
		s.allWanted, s.changed = allWanted, true
	}
	if !s.changed {
		return false
	}
	s.changed = false
	for _, a := range s.byHome {
		a.wasWanted = a.wanted
		a.wanted, a.home, a.preferred = !s.Partial(), !s.large(), !s.Partial()
	}
	if s.large() {
		selectLive(s.byHome, homeAgents, func(a *agent) { a.wanted, a.home = true, true })
		selectLive(s.byPreference, s.preferredQuota(), func(a *agent) { a.wanted, a.preferred = true, true })
	}
	if s.grownAt == now && now > 0 {
		s.lastAdded = nil
		for _, a := range s.byPreference {
			if a.wanted && !a.wasWanted {
				s.lastAdded = append(s.lastAdded, a.name)
			}
		}
	}
	return true
}

// selectLive calls take for the agents of list, in its order, until count of them were not
// lost. It stops after maxTriedFactor*count agents.
func selectLive(list []*agent, count int, take func(*agent)) {
	list = list[:min(len(list), maxTriedFactor*count)]
	for _, a := range list {
		if count == 0 {
			return
		}
		take(a)
		if !a.lost {
			count--
		}
	}
}

// byHomeRank compares agents by their home rank.
func (a *agent) byHomeRank(b *agent) int {
	return cmp.Or(cmp.Compare(a.homeRank, b.homeRank), cmp.Compare(a.name, b.name))
}

// byPreferenceRank compares agents by the entry's order of preference.
func (a *agent) byPreferenceRank(b *agent) int {
	return cmp.Or(cmp.Compare(a.preferenceRank, b.preferenceRank), cmp.Compare(a.name, b.name))
}

// insert inserts a into a sorted list.
func insert(list []*agent, a *agent, compare func(a, b *agent) int) []*agent {
	k, _ := slices.BinarySearchFunc(list, a, compare)
	return slices.Insert(list, k, a)
}
