package owner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/evacuation"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// reportStateIn has an agent report an empty target in a hall.
func (b *harness) reportStateIn(agent, hall string, labels ...string) {
	b.Receive(b.now, agent, &peer.Frame{State: &peer.State{
		Profile: &peer.Profile{Target: "i", Service: "trackd", Hall: hall, Labels: labels,
			Capacity: task.Resources{CPU: 4000, MemoryMB: 100}},
		Free: task.Resources{CPU: 4000, MemoryMB: 100}, Speed: 1, Accepting: true, Cleared: true, SeenSeq: b.seq}})
}

// newHallHarness returns an owner with one agent in each hall, named after the hall.
func newHallHarness(t *testing.T, halls ...string) *harness {
	t.Helper()
	b := newHarness(t, halls...)
	for _, h := range halls {
		b.reportStateIn(h, h)
	}
	b.advance(2 * discoveryTime)
	return b
}

// evacuate sets the evacuated halls as read from the store.
func (b *harness) evacuate(revision uint64, halls ...string) {
	b.Evacuate(b.now, evacuation.NewSet(revision, halls), "store")
}

// Guards against orders and room requests in an evacuated hall, and against counting its room.
func TestEvacuatedHallGetsNoWork(t *testing.T) {
	b := newHallHarness(t, "mtm", "sulph")
	b.submit(jobOf("1", 1))
	rate := b.queue("trackd").workRate
	assert.Equal(t, rate, 8.0)
	b.evacuate(7, "mtm")
	assert.Equal(t, b.queue("trackd").workRate, rate/2)
	before := len(b.starts("mtm"))
	b.submit(jobOf("2", 6))
	b.advance(100 * ms)
	assert.Equal(t, len(b.starts("mtm")), before)
	assert.Assert(t, !b.agents["mtm"].roomRequested && b.agents["sulph"].roomRequested)
	assert.Equal(t, len(b.starts("sulph")), 4) // all of its room

	b.evacuate(9)
	assert.Equal(t, len(b.starts("mtm")) > before, true, "waiting tasks start there after the evacuation")
}

// Guards against evacuated targets that take up the limited number of watches.
func TestEvacuatedTargetIsUnwatched(t *testing.T) {
	b := newWatchHarness(t, 30)
	for k, a := range b.byName {
		b.reportStateIn(a.name, []string{"mtm", "sulph"}[k%2])
	}
	b.submit(jobOf("1", 1))
	b.advance(40 * ms)
	assert.Equal(t, len(b.watched), minWatched)
	b.evacuate(7, "mtm")
	for _, a := range b.watched {
		assert.Equal(t, a.profile.Hall, "sulph")
	}
	assert.Equal(t, len(b.watched), minWatched)
}

// Guards against a lost attempt, or a job counted as started, after a rejection for an
// evacuation.
func TestEvacuationRejectionIsRetriedImmediately(t *testing.T) {
	b := newHallHarness(t, "mtm", "sulph")
	b.submit(jobOf("1", 1))
	name, other := "mtm", "sulph"
	if len(b.starts(name)) == 0 {
		name, other = other, name
	}
	o := b.starts(name)[0]
	set := evacuation.NewSet(7, []string{name})
	b.Receive(b.now, name, &peer.Frame{Evacuations: &set, Ended: []peer.RunEnd{{
		Ref: task.Ref{Task: o.Task, Run: o.Run}, End: task.EndRejected, Reason: code.RunHallEvacuated,
		TargetFault: true}}})
	assert.Equal(t, len(b.starts(other)), 1)
	j := b.jobs["1"]
	assert.Equal(t, j.steps[0].tasks[0].failures, 0)
	assert.Equal(t, j.orders, 1)
}

// Guards against jobs that wait for a hall whose evacuation may not end; started jobs must
// continue.
func TestJobsNeedingEvacuatedTargetsAreRefused(t *testing.T) {
	b := newHallHarness(t, "mtm", "sulph")
	b.reportStateIn("mtm", "mtm", "gpu")
	b.submit(jobOf("started", 1))
	b.evacuate(7, "mtm")
	labelled := jobOf("labelled", 1)
	labelled.Steps[0].Label = "gpu"
	b.submit(labelled)
	assert.Equal(t, b.answers["labelled"].Why, code.JobEvacuated)
	assert.Equal(t, b.answers["labelled"].Kind, Refused)
	assert.Assert(t, b.answers["labelled"].Retry >= minRetryAfter)
	b.submit(jobOf("any", 1))
	assert.Equal(t, b.answers["any"].Kind, Kind(0))

	b.submit(jobOf("waits", 9))
	b.submit(jobOf("last", 1)) // no free room
	b.evacuate(8, "mtm", "sulph")
	b.advance(TickInterval)
	assert.Equal(t, b.answers["last"].Why, code.JobEvacuated)
	assert.Equal(t, b.answers["started"].Kind, Kind(0))
	b.submit(jobOf("new", 1))
	assert.Equal(t, b.answers["new"].Why, code.JobEvacuated)
}

// Guards against refusals while agents in other halls may not have connected yet.
func TestNoEvacuationRefusalDuringDiscovery(t *testing.T) {
	b := newHarness(t, "mtm")
	b.reportStateIn("mtm", "mtm")
	b.evacuate(7, "mtm")
	b.submit(jobOf("1", 1))
	b.advance(60 * ms)
	_, answered := b.answers["1"]
	assert.Assert(t, !answered)
	b.Connected(b.now, "sulph")
	b.reportStateIn("sulph", "sulph")
	assert.Equal(t, len(b.starts("sulph")), 1)
}

// Guards against evacuations that are sent late to agents in the hall, never to the others, or
// more than once.
func TestEvacuationReachesAffectedAgentsFirst(t *testing.T) {
	b := newWatchHarness(t, 20)
	for k, a := range b.byName {
		b.reportStateIn(a.name, []string{"mtm", "sulph"}[k%2])
	}
	b.submit(jobOf("1", 1))
	b.advance(40 * ms)
	informed := func() int {
		count := 0
		for _, a := range b.byName {
			for _, f := range b.frames[a.name] {
				if f.Evacuations != nil {
					assert.DeepEqual(t, *f.Evacuations, evacuation.NewSet(7, []string{"mtm"}))
					count++
				}
			}
		}
		return count
	}
	b.evacuate(7, "mtm")
	for _, a := range b.byName {
		assert.Assert(t, a.profile.Hall != "mtm" || a.knownEvacuations == 7, a.name)
	}
	assert.Assert(t, informed() < 20)
	b.advance(peer.IdleHeartbeatInterval)
	b.Heartbeats(b.now)
	assert.Equal(t, informed(), 20)
	b.Connected(b.now, "new")
	assert.Equal(t, b.frames["new"][0].Evacuations.Revision, uint64(7))
}

// Guards against evacuations that do not reach agents while the store is unavailable: an entry
// must forward an agent's notice to the other agents, but not back to that agent.
func TestEvacuationIsForwardedToOtherAgents(t *testing.T) {
	b := newHallHarness(t, "a", "b", "c")
	b.frames = make(map[string][]*peer.Frame)
	set := evacuation.NewSet(7, []string{"c"})
	b.Receive(b.now, "a", &peer.Frame{Evacuations: &set})
	assert.Assert(t, b.agents["c"].evacuated)
	b.advance(2 * peer.HeartbeatInterval)
	b.Heartbeats(b.now)
	for name, want := range map[string]int{"a": 0, "b": 1, "c": 1} {
		count := 0
		for _, f := range b.frames[name] {
			if f.Evacuations != nil {
				count++
			}
		}
		assert.Equal(t, count, want, name)
	}
}

// BenchmarkEvacuate measures the start and the end of an evacuation.
func BenchmarkEvacuate(b *testing.B) {
	for _, agents := range []int{11, 70, 240, 1200} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			o := newFleet(agents)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				halls := []string{"mtm"}
				if n%2 == 1 {
					halls = nil
				}
				o.Evacuate(time.Hour, evacuation.NewSet(uint64(n+1), halls), "store")
			}
		})
	}
}
