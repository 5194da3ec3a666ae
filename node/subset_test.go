package node

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/settings"
	"github.com/beaconpoint/beaconpoint/subset"
)

// newEntryWithAgents returns an entry whose directory has the given number of agents, none of
// which listens.
func newEntryWithAgents(t *testing.T, agents int) *Entry {
	t.Helper()
	e := NewEntry(settings.DefaultNode(), Directory{}, ConfigSource{}, slog.New(slog.DiscardHandler))
	for k := range agents {
		e.applyProcess(peer.RoleAgent, Registration{Name: fmt.Sprintf("side-%d", k), Addr: "127.0.0.1:1"}, false)
	}
	return e
}

// tickSubset calls adjustSubset as a tick does.
func (e *Entry) tickSubset(t *testing.T) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adjustSubset(t.Context(), e.clock.now())
}

// TestEntryLimitsLinks guards against connecting to more than subset.FullMesh agents of a large fleet,
// or to fewer than all of a small one.
func TestEntryLimitsLinks(t *testing.T) {
	for _, agents := range []int{11, subset.FullMesh, 800} {
		e := newEntryWithAgents(t, agents)
		e.tickSubset(t)
		e.mu.Lock()
		links := len(e.links)
		e.mu.Unlock()
		assert.Assert(t, links <= subset.FullMesh)
		assert.Assert(t, links >= min(agents, subset.FullMesh-subset.FullMesh/8),
			"%d links to %d agents", links, agents)
	}
}

// TestOnlyDisconnectedAgentIsDropped guards against dropping a connected agent that another entry has
// removed from the directory, since that entry may have been cut off itself.
func TestOnlyDisconnectedAgentIsDropped(t *testing.T) {
	e := newEntryWithAgents(t, 3)
	e.tickSubset(t)
	e.mu.Lock()
	conn := peer.NewConn(nil)
	e.links["side-0"].conn = conn
	e.mu.Unlock()
	e.applyProcess(peer.RoleAgent, Registration{Name: "side-0"}, true)
	e.applyProcess(peer.RoleAgent, Registration{Name: "side-1"}, true)
	e.tickSubset(t)
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.Equal(t, len(e.links), 2)
	assert.Assert(t, e.links["side-0"] != nil && e.links["side-2"] != nil)
}

// TestStoreWatchRateIsBounded guards against a rate of watches that grows with the number of entries
// before the wait reaches maxWatchWait, and against long waits after a failed watch.
func TestStoreWatchRateIsBounded(t *testing.T) {
	for _, entries := range []int{1, 3, 16, 55, 184, 1000} {
		e := newEntryWithAgents(t, 0)
		for k := range entries {
			e.applyProcess(peer.RoleEntry, Registration{Name: fmt.Sprintf("edge-%d", k), Addr: "127.0.0.1:1"}, false)
		}
		least, most := maxWatchWait, time.Duration(0)
		for range 100 {
			wait := e.watchWait(0)
			least, most = min(least, wait), max(most, wait)
		}
		assert.Assert(t, least >= minWatchWait && most <= maxWatchWait)
		if entries < 4*watchesPerSecond { // the wait is below maxWatchWait
			// The longest of 100 random waits is up to 10% below the limit.
			assert.Assert(t, float64(entries)/most.Seconds() <= 1.1*watchesPerSecond)
		}
		if entries > 2*watchesPerSecond { // the wait is at least twice minWatchWait
			assert.Assert(t, most-least > most/4, "waits are not spread out")
		}
		assert.Equal(t, e.watchWait(1), minWatchWait)
	}
}

// TestAgentForgetsDisconnectedEntries guards against dialing entries on replaced hosts forever.
func TestAgentForgetsDisconnectedEntries(t *testing.T) {
	a := NewAgent(settings.DefaultNode(), Directory{}, TargetCalls{}, slog.New(slog.DiscardHandler))
	var now time.Duration
	a.clock = newBootClockFrom(func() time.Duration { return now })
	a.clock.origin = 0
	now = time.Second
	a.addEntries([]Registration{{Name: "edge-1", Addr: "127.0.0.1:1"}})
	count, _ := a.disconnectedEntries()
	assert.Equal(t, count, 0) // the entry was just listed
	now += dialRetryMin
	count, due := a.disconnectedEntries()
	assert.Equal(t, count, 1)
	assert.Equal(t, len(due), 1)
	a.recordIntroduction("edge-1")
	now += reintroduceInterval / 2
	_, due = a.disconnectedEntries()
	assert.Equal(t, len(due), 0, "introduced again before reintroduceInterval")
	now += reintroduceInterval
	_, due = a.disconnectedEntries()
	assert.Equal(t, len(due), 1, "not introduced again after reintroduceInterval")
	now += forgetAfter
	count, due = a.disconnectedEntries()
	assert.Equal(t, count+len(due)+len(a.entries), 0)
}

// TestAgentLimitsIntroductions guards against introductions to every entry of a large fleet.
func TestAgentLimitsIntroductions(t *testing.T) {
	a := NewAgent(settings.DefaultNode(), Directory{}, TargetCalls{}, slog.New(slog.DiscardHandler))
	var list []Registration
	for k := range 184 {
		list = append(list, Registration{Name: fmt.Sprintf("edge-%d", k), Addr: "127.0.0.1:1"})
	}
	a.addEntries(list)
	assert.Equal(t, len(a.entries), maxIntroductions)
}
