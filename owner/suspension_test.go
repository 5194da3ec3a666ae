package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/peer"
)

// Homes may have granted the jobs to other entries during a suspension, so nothing may start
// before the jobs are claimed again.
func TestSuspendedEntryReclaimsJobs(t *testing.T) {
	b := newClaimHarness(t, 4)
	j := jobOf("0123456789abcdef", 1)
	j.Steps[0].Estimate = 4 * time.Second
	b.submit(j)
	assert.Equal(t, len(b.homesOf(j.ID)), 2)
	b.now += minSuspensionTime
	b.Tick(b.now)
	assert.Assert(t, b.Isolated())
	assert.Assert(t, b.RecoveringFromSuspension(b.now))
	for _, a := range b.byName {
		assert.Assert(t, b.ShouldClose(b.now, a.name))
	}
	starts := len(b.allStarts())
	for _, a := range b.byName {
		b.Disconnected(b.now, b.now, a.name)
	}
	for _, a := range b.byName {
		b.Connected(b.now, a.name)
		b.Receive(b.now, a.name, &peer.Frame{Hello: &peer.Hello{Role: peer.RoleAgent, Level: peer.LevelNewest}})
		b.reportState(a.name, 4000, 1, peer.Healthy)
	}
	b.grantAll(j.ID)
	assert.Equal(t, len(b.allStarts()), starts, "no start before isolation ends")
	b.advance(resumeIsolationTime)
	assert.Assert(t, !b.Isolated())
	b.grantAll(j.ID)
	for _, a := range b.byName {
		b.reportState(a.name, 4000, 1, peer.Healthy)
	}
	assert.Equal(t, len(b.allStarts()), starts+1)
}

// Guards against a reset on a host whose CPU quota pauses the process for about 100 ms.
func TestLateTickIsNotASuspension(t *testing.T) {
	b := newClaimHarness(t, 4)
	b.submit(jobOf("0123456789abcdef", 1))
	b.now += 100 * time.Millisecond
	b.Tick(b.now)
	assert.Equal(t, len(b.homesOf("0123456789abcdef")), 2)
	assert.Assert(t, !b.RecoveringFromSuspension(b.now))
}
