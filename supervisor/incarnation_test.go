package supervisor

import (
	"testing"

	"gotest.tools/v3/assert"
)

// renewedBy answers a renewal that is sent now as the incarnation that is up does: another
// one than the one that is meant refuses it.
func (b *bench) renewedBy(up string) {
	c, _ := b.NextRenewal(b.now)
	b.now += ms
	outcome := Accepted
	if c.Incarnation.ID != up {
		outcome = WrongIncarnation
	}
	b.RenewalAnswered(b.now, c, b.reply(outcome), &RunLists{Running: b.running()})
}

// running returns the runs as the target lists them.
func (b *bench) running() []RunningRow {
	var rows []RunningRow
	for _, r := range b.sortedRuns() {
		rows = append(rows, RunningRow{Name: r.name, Run: r.order.Run})
	}
	return rows
}

// TestADelayedHeartbeatOfACrashedIncarnation: one that a cut held up arrives after its
// sender has crashed and a new incarnation has registered at the same address. The new one
// and its runs stay, whatever number the late heartbeat bears.
func TestADelayedHeartbeatOfACrashedIncarnation(t *testing.T) {
	for _, seq := range []uint64{1, 2, 900} {
		b := newBench(t)
		b.Heartbeat(b.now, b.report("i-2", 1))
		b.renewedBy("i-2")
		b.renewedBy("i-2")
		b.renewedBy("i-2")
		assert.Assert(t, b.target.cleared)
		b.orders(order(0, 1000))
		b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
		b.Heartbeat(b.now, b.report("i-1", seq))
		assert.Equal(t, b.target.id(), "i-2")
		assert.Equal(t, len(b.ends()), 0)
		b.renewedBy("i-2")
		b.beat(100 * ms)
		assert.Equal(t, b.target.id(), "i-2")
		assert.Equal(t, len(b.ends()), 0, "the run is at work still")
		assert.Equal(t, len(b.runs), 1)
	}
}

// TestADelayedHeartbeatReachesANewAgent: an agent that has restarted knows of no earlier
// incarnation. It takes the late heartbeat for one that may have come up, until the present
// one answers.
func TestADelayedHeartbeatReachesANewAgent(t *testing.T) {
	b := newBench(t)
	b.orders(order(0, 1000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	b.Heartbeat(b.now, b.report("i-0", 77))
	assert.Equal(t, b.target.id(), "i-1")
	b.renewedBy("i-1")
	assert.Assert(t, b.target.candidate == nil)
	b.beat(100 * ms)
	assert.Equal(t, b.target.id(), "i-1")
	assert.Equal(t, len(b.runs), 1)
}

// TestADelayedHeartbeatComesFirst: to an agent that knows nothing, before any of the new
// incarnation. Its calls are refused, and the next heartbeat is the new one's.
func TestADelayedHeartbeatComesFirst(t *testing.T) {
	b := newBench(t)
	b.endIncarnation(b.now)
	b.Heartbeat(b.now, b.report("i-0", 77))
	assert.Equal(t, b.target.id(), "i-0")
	b.Heartbeat(b.now, b.report("i-2", 1))
	b.renewedBy("i-2")
	assert.Equal(t, b.target.id(), "i-2")
	b.Heartbeat(b.now, b.report("i-0", 78))
	assert.Equal(t, b.target.id(), "i-2")
	assert.Assert(t, b.target.candidate == nil, "i-0 is known to be over")
}

// TestAnIncarnationWhoseCallsAreNotAnswered is replaced by one that reports itself, once
// its lease has surely expired: until then its runs may be at work.
func TestAnIncarnationWhoseCallsAreNotAnswered(t *testing.T) {
	b := newBench(t)
	b.orders(order(0, 1000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	b.Heartbeat(b.now, b.report("i-2", 1))
	b.beat(silenceLimit + 10*ms)
	assert.Equal(t, b.target.id(), "i-1")
	assert.Equal(t, len(b.ends()), 0)
	b.beat(TargetLease + 200*ms)
	assert.Equal(t, b.target.id(), "i-2")
	assert.Equal(t, len(b.runs), 0)
}
