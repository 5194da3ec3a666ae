// Package reach decides to which agents an entry is connected. In a small fleet that is all of
// them. In a larger one it is a bounded set, so that what a process keeps and sends is bounded
// by what it does and not by how many there are:
//
//   - the homes, where jobs are claimed: the first agents by a rank that all entries reckon
//     alike, so that two entries meet at the same homes;
//   - the entry's own: the first by a rank of its own, in which its tasks run, enough that each
//     agent is in the sets of some entries;
//   - more of its own while its jobs wait for room, as long as those that came last give some.
//
// Agents that are lost stay in the set and do not count, so that others take their place until
// they are back.
//
// It owns which agents are known, wanted and homes. It relies on its process (package node) to
// connect to those that are wanted, and on package owner to say which connections are in use.
// Set is a state machine without goroutines, clock or sockets, called under one lock.
// docs/design/fleet.md says why, and what else was weighed.
package reach

import (
	"cmp"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
)

const (
	// FullMesh is up to how many agents an entry connects to all of them.
	FullMesh = 128
	// homes is how many agents jobs are claimed at. Half of the fleet may go; of the rest 32
	// are homes still, before others take their place.
	homes = 64
	// leastOwn is how many agents of its own an entry has at the least: an entry watches 12
	// and two more for each that runs something of it.
	leastOwn = 64
	// coverage is in how many entries' own sets an agent is on the mean: of 10,000 agents
	// four are in none (e to the power of -8).
	coverage = 8
	// walkFactor bounds how many agents are tried for each that is wanted, where many are
	// lost: at a loss of three quarters of the fleet all are found.
	walkFactor = 4
	// growStep is how many agents are added at once while room is short, and growPause how
	// long after that the next may be: a connection, a watch and a reservation. Not measured.
	growStep  = 32
	growPause = 100 * time.Millisecond
	// growTime is for how long they stay wanted once room is not short any more. Not
	// measured.
	growTime = 10 * time.Second
	// wideTime is for how long all agents are wanted after a job asked for a label that none
	// of the connected ones has. Not measured.
	wideTime = time.Minute
)

// agent is an agent that is known.
type agent struct {
	name              string
	homeRank, ownRank claim.Rank
	lost              bool // it was tried and is not connected
	wanted, home, own bool
	before            bool // it was wanted before the last Update
}

// Set is the set of one entry.
type Set struct {
	entry   uint64 // hash of its name
	agents  map[string]*agent
	byHome  []*agent // in the order of homeRank
	byOwn   []*agent // in the order of ownRank
	entries int      // of the fleet, as far as is known
	fleet   int      // how many agents the fleet has, as others say
	changed bool

	extra     int           // how many more of its own than usual
	added     []string      // those that the last step added
	shortAt   time.Duration // when room was short last
	grownAt   time.Duration // when the last step was
	wideUntil time.Duration // until when all are wanted
	wide      bool
}

// NewSet returns the set of an entry that knows no agent.
func NewSet(entry string) *Set {
	return &Set{entry: claim.Hash(entry), agents: make(map[string]*agent)}
}

// homeSalt makes the ranks of homes, which are the same for all entries.
const homeSalt = 0x9e3779b97f4a7c15

// Add makes an agent known.
func (s *Set) Add(name string) {
	if s.agents[name] != nil {
		return
	}
	hash := claim.Hash(name)
	a := &agent{name: name, homeRank: claim.RankOf(homeSalt, hash), ownRank: claim.RankOf(s.entry, hash)}
	s.agents[name] = a
	s.byHome = insert(s.byHome, a, (*agent).byHomeRank)
	s.byOwn = insert(s.byOwn, a, (*agent).byOwnRank)
	s.changed = true
}

// Remove forgets an agent.
func (s *Set) Remove(name string) {
	a := s.agents[name]
	if a == nil {
		return
	}
	delete(s.agents, name)
	s.byHome = slices.DeleteFunc(s.byHome, func(b *agent) bool { return a == b })
	s.byOwn = slices.DeleteFunc(s.byOwn, func(b *agent) bool { return a == b })
	s.changed = true
}

// SetEntries says how many entries the fleet has.
func (s *Set) SetEntries(n int) {
	s.changed = s.changed || n != s.entries
	s.entries = n
}

// SetFleet says how many agents others know of: an entry that has found few of them, and the
// directory not, chooses the homes as the others do.
func (s *Set) SetFleet(n int) {
	s.changed = s.changed || n > s.fleet
	s.fleet = max(s.fleet, n)
}

// large reports whether the fleet is too large to be connected whole.
func (s *Set) large() bool {
	return max(len(s.agents), s.fleet) > FullMesh
}

// SetLost says that an agent was lost or can't be reached, or that it is connected.
func (s *Set) SetLost(name string, lost bool) {
	if a := s.agents[name]; a != nil && a.lost != lost {
		a.lost = lost
		s.changed = true
	}
}

// Known returns how many agents are known.
func (s *Set) Known() int {
	return len(s.agents)
}

// Partial reports whether there are agents that are known and not wanted.
func (s *Set) Partial() bool {
	return s.large() && !s.wide
}

// Wanted reports whether the entry should be connected to an agent.
func (s *Set) Wanted(name string) bool {
	a := s.agents[name]
	return a != nil && a.wanted
}

// Home reports whether jobs may be claimed at an agent.
func (s *Set) Home(name string) bool {
	a := s.agents[name]
	return a != nil && a.home
}

// Short says that jobs wait for room at now. gave reports whether an agent runs tasks of this
// entry: where none of those that were added last does, there is no room to be found, and
// connections would only cost.
func (s *Set) Short(now time.Duration, gave func(name string) bool) {
	s.shortAt = now
	if !s.Partial() || s.grownAt > 0 && now-s.grownAt < growPause {
		return
	}
	if len(s.added) > 0 && !slices.ContainsFunc(s.added, gave) || s.own() >= len(s.agents) {
		return
	}
	s.grownAt = now
	s.extra += growStep
	s.changed = true
}

// Widen says that a job asks for a label that no connected agent has.
func (s *Set) Widen(now time.Duration) {
	s.wideUntil = now + wideTime
}

// own returns how many agents of its own the entry wants.
func (s *Set) own() int {
	covering := 0
	if s.entries > 0 {
		covering = (coverage*len(s.agents) + s.entries - 1) / s.entries
	}
	return max(leastOwn, covering) + s.extra
}

// Own reports whether an agent is one of the entry's own, in which its tasks run. One that is only
// a home is one of all entries: tasks that ran there for its being connected would pile up.
func (s *Set) Own(name string) bool {
	a := s.agents[name]
	return a != nil && a.own
}

// Update reckons anew which agents are wanted, where something has changed. It reports whether it
// did.
func (s *Set) Update(now time.Duration) bool {
	if s.extra > 0 && now-s.shortAt >= growTime {
		s.extra, s.added, s.changed = 0, nil, true
	}
	if wide := now < s.wideUntil; wide != s.wide {
		s.wide, s.changed = wide, true
	}
	if !s.changed {
		return false
	}
	s.changed = false
	for _, a := range s.byHome {
		a.before = a.wanted
		a.wanted, a.home, a.own = !s.Partial(), !s.large(), !s.Partial()
	}
	if s.large() {
		walk(s.byHome, homes, func(a *agent) { a.wanted, a.home = true, true })
		walk(s.byOwn, s.own(), func(a *agent) { a.wanted, a.own = true, true })
	}
	if s.grownAt == now && now > 0 {
		s.added = nil
		for _, a := range s.byOwn {
			if a.wanted && !a.before {
				s.added = append(s.added, a.name)
			}
		}
	}
	return true
}

// walk takes agents from the first one on until so many that are not lost are taken, or too many
// were tried.
func walk(list []*agent, count int, take func(*agent)) {
	list = list[:min(len(list), walkFactor*count)]
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

// byHomeRank and byOwnRank order agents.
func (a *agent) byHomeRank(b *agent) int {
	return cmp.Or(cmp.Compare(a.homeRank, b.homeRank), cmp.Compare(a.name, b.name))
}

func (a *agent) byOwnRank(b *agent) int {
	return cmp.Or(cmp.Compare(a.ownRank, b.ownRank), cmp.Compare(a.name, b.name))
}

// insert inserts a into a sorted list.
func insert(list []*agent, a *agent, compare func(a, b *agent) int) []*agent {
	k, _ := slices.BinarySearchFunc(list, a, compare)
	return slices.Insert(list, k, a)
}
