package owner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// newWatchHarness returns an owner connected to agents that it does not watch, with claims
// disabled.
func newWatchHarness(t *testing.T, agents int) *harness {
	t.Helper()
	b := newHarness(t)
	b.Homes = 0 // claims are tested separately
	b.Addr = func(agent string) string { return "addr of " + agent }
	b.Random = func(n int) int { return n / 2 }
	for k := range agents {
		name := fmt.Sprintf("side-%03d", k)
		b.Connected(b.now, name)
		b.Receive(b.now, name, &peer.Frame{Hello: &peer.Hello{Role: peer.RoleAgent, Level: peer.LevelNewest}})
		b.reportState(name, 4000, 1, peer.Healthy)
	}
	return b
}

// requested returns the agents with a pending room request.
func (b *harness) requested() []string {
	var list []string
	for _, a := range b.byName {
		if a.roomRequested {
			list = append(list, a.name)
		}
	}
	return list
}

// reserve has an agent send a reservation.
func (b *harness) reserve(agent string, cpu int) {
	b.Receive(b.now, agent,
		&peer.Frame{Reservation: &peer.Reservation{ID: 1, Room: task.Resources{CPU: cpu, MemoryMB: 100}}})
}

// Guards against requests to all agents: two at first, and one more per requestInterval.
func TestRoomRequestsAreLimited(t *testing.T) {
	b := newWatchHarness(t, 100)
	b.submit(jobOf("j", 1))
	assert.Equal(t, len(b.requested()), requestsPerTask)
	assert.Equal(t, len(b.watched), requestsPerTask)
	b.now += 5 * requestInterval
	b.Tick(b.now)
	assert.Equal(t, len(b.requested()), requestsPerTask+5)
	asked := b.requested()[0]
	assert.Equal(t, len(b.starts(asked)), 0)
	b.reserve(asked, 1000)
	assert.Equal(t, len(b.starts(asked)), 1)
}

// Guards against rejected orders: other entries may take the room of a target in use.
func TestUnreservedOrderNeedsEmptyTarget(t *testing.T) {
	b := newWatchHarness(t, 1)
	b.beginWatch(b.now, b.agents["side-000"])
	b.flush(b.now)
	b.reportState("side-000", 3000, 1, peer.Healthy)
	b.submit(jobOf("j", 1))
	assert.Equal(t, len(b.starts("side-000")), 0)
	assert.Equal(t, len(b.requested()), 1)
	b.reportState("side-000", 4000, 1, peer.Healthy)
	assert.Equal(t, len(b.starts("side-000")), 1)
}

// Guards against requests to slow targets while faster ones have room.
func TestRoomIsRequestedFromFastestTargets(t *testing.T) {
	b := newWatchHarness(t, 5)
	for k, a := range b.byName {
		b.beginWatch(b.now, a)
		b.flush(b.now)
		b.reportState(a.name, 2000, 0.5+float64(k)/4, peer.Healthy)
	}
	b.submit(jobOf("j", 1))
	assert.DeepEqual(t, b.requested(), []string{"side-003", "side-004"})
}

// Guards against watching all agents during a long wait, and any agent while idle.
func TestWatchesAreBounded(t *testing.T) {
	b := newWatchHarness(t, 100)
	b.submit(jobOf("j", 30))
	b.now += 200 * requestInterval
	b.schedule(b.now, b.queue("trackd"))
	assert.Equal(t, len(b.watched), minWatched)
	b.cancel("j")
	b.now += watchRetention
	b.Tick(b.now)
	assert.Equal(t, len(b.watched), minWatched)
	b.now += idleTime
	b.Tick(b.now)
	assert.Equal(t, len(b.watched), 0)
}

// Guards against connections in use that are closed as late as idle ones.
func TestSilentConnectionTimesOut(t *testing.T) {
	b := newWatchHarness(t, 1)
	const name = "side-000"
	lastFrameAt := b.now
	assert.Assert(t, !b.ShouldClose(lastFrameAt+peer.IdleSilenceTimeout, name))
	assert.Assert(t, b.ShouldClose(lastFrameAt+peer.IdleSilenceTimeout+1, name))
	b.now += time.Second
	b.submit(jobOf("j", 1))
	assert.Assert(t, !b.ShouldClose(b.now+peer.SilenceTimeout, name))
	assert.Assert(t, b.ShouldClose(b.now+peer.SilenceTimeout+1, name))
}

// Guards against a narrow link filled with copies of a spec that agents can fetch from each
// other.
func TestSpecIsSentOnceOverNarrowLink(t *testing.T) {
	for megabits, sent := range map[float64]int{0: 3, 1000: 3, 2: 1} {
		b := newWatchHarness(t, 3)
		b.SetLink(megabits)
		j := jobOf("j", 6)
		j.Spec = strings.Repeat("x", 1200)
		b.submit(j)
		specs, elsewhere, kept := 0, 0, 0
		for _, a := range b.byName {
			b.reserve(a.name, 2000)
			for _, o := range b.starts(a.name) {
				switch {
				case o.SpecAt != "":
					elsewhere++
				case o.SpecKept:
					kept++
				default:
					assert.Equal(t, o.Spec, j.Spec)
					specs++
				}
			}
		}
		assert.Equal(t, specs, sent, "%v Mbit/s", megabits)
		assert.Equal(t, specs+elsewhere+kept, 6)
	}
}

// Guards against high traffic of an idle entry with 240 agents.
func TestIdleTrafficIsBounded(t *testing.T) {
	const (
		agents   = 240
		duration = 20 * time.Second
		headers  = 60   // bytes of a packet
		limit    = 14e3 // bytes a second, one way
	)
	b := newWatchHarness(t, agents)
	b.now += idleTime
	b.Tick(b.now)
	bytes := 0
	b.Send = func(_ string, f *peer.Frame) uint64 {
		sent := *f
		sent.Stamp, sent.Echo, sent.Seq, sent.Config = time.Hour, time.Hour, 1e6, 1e6
		buf, err := peer.AppendFrame(nil, &sent)
		assert.NilError(t, err)
		bytes += len(buf) + headers
		return 1
	}
	for end := b.now + duration; b.now < end; b.now += TickInterval {
		b.Tick(b.now)
		b.Heartbeats(b.now)
	}
	perSecond := float64(bytes) / duration.Seconds()
	t.Logf("%.0f bytes a second", perSecond)
	assert.Assert(t, perSecond > 0 && perSecond < limit)
}

// reportLabel has an agent report that its target has a label.
func (b *harness) reportLabel(agent, label string, cpu int) {
	b.Receive(b.now, agent, &peer.Frame{State: &peer.State{
		Profile: &peer.Profile{Target: "i", Service: "trackd", Labels: []string{label},
			Capacity: task.Resources{CPU: 4000, MemoryMB: 100}},
		Free: task.Resources{CPU: cpu, MemoryMB: 100}, Speed: 1, Accepting: true, Cleared: true, SeenSeq: b.seq}})
}

// Guards against requests to watched agents far from the data while others hold it.
func TestRoomIsRequestedNearTheData(t *testing.T) {
	b := newWatchHarness(t, 100)
	for _, a := range b.byName[:5] {
		b.beginWatch(b.now, a)
		b.flush(b.now)
		b.reportLabel(a.name, "rack-1", 4000)
	}
	b.reportLabel("side-040", "rack-2", 4000)
	b.reportLabel("side-080", "rack-2", 4000)
	j := jobOf("j", 1)
	j.Steps[0].Rack = "rack-2"
	b.submit(j)
	assert.DeepEqual(t, b.requested(), []string{"side-040", "side-080"})
	b.now += requestInterval
	b.Tick(b.now)
	assert.Equal(t, len(b.requested()), 3, "other agents later")
}

// Guards against requests to agents that may not run the task.
func TestRoomIsRequestedOnlyWithRequiredLabel(t *testing.T) {
	b := newWatchHarness(t, 100)
	b.reportLabel("side-010", "gpu", 4000)
	j := jobOf("j", 1)
	j.Steps[0].Label = "gpu"
	b.submit(j)
	b.now += 20 * requestInterval
	b.Tick(b.now)
	assert.DeepEqual(t, b.requested(), []string{"side-010"})
}

// Guards against a reservation used by a more urgent job far from its data, or by a job that may
// not run there.
func TestReservationPrefersJobWithLocalData(t *testing.T) {
	b := newWatchHarness(t, 3)
	b.reportLabel("side-000", "rack-1", 0)
	b.reportLabel("side-001", "rack-2", 0)
	urgent, near, never := jobOf("1", 1), jobOf("2", 1), jobOf("3", 1)
	urgent.Steps[0].Rack, near.Steps[0].Rack, never.Steps[0].Label = "rack-1", "rack-2", "none"
	b.submit(urgent)
	b.now += 5 * ms
	b.submit(near)
	b.submit(never)
	b.reserve("side-001", 2000)
	orders := b.starts("side-001")
	assert.Equal(t, len(orders), 2)
	assert.Equal(t, orders[0].Task.Job, "2")
	assert.Equal(t, orders[1].Task.Job, "1")
	b.reserve("side-000", 1000)
	assert.Equal(t, len(b.starts("side-000")), 0)
	assert.Assert(t, !b.agents["side-000"].roomRequested)
}
