package supervisor

import (
	"testing"

	"gotest.tools/v3/assert"
)

// answerRenewalAs sends a renewal and answers it as the given incarnation, which rejects the
// call if it is addressed to another one.
func (b *harness) answerRenewalAs(answering string) {
	c, _ := b.NextRenewal(b.now)
	b.now += ms
	outcome := Accepted
	if c.Incarnation.ID != answering {
		outcome = WrongIncarnation
	}
	b.RenewalAnswered(b.now, c, b.reply(outcome), &RunLists{Running: b.runningRows()})
}

// runningRows returns the runs as the target lists them.
func (b *harness) runningRows() []ListedRun {
	var rows []ListedRun
	for _, r := range b.sortedRuns() {
		rows = append(rows, ListedRun{Name: r.name, Run: r.order.Run})
	}
	return rows
}

// TestDelayedHeartbeatOfCrashedIncarnationIgnored guards against replacing the current
// incarnation by an earlier one, whatever the sequence number of its heartbeat.
func TestDelayedHeartbeatOfCrashedIncarnationIgnored(t *testing.T) {
	for _, seq := range []uint64{1, 2, 900} {
		b := newHarness(t)
		b.Heartbeat(b.now, b.report("i-2", 1))
		b.answerRenewalAs("i-2")
		b.answerRenewalAs("i-2")
		b.answerRenewalAs("i-2")
		assert.Assert(t, b.target.cleared)
		b.sendOrders(order(0, 1000))
		b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
		b.Heartbeat(b.now, b.report("i-1", seq))
		assert.Equal(t, b.target.id(), "i-2")
		assert.Equal(t, len(b.sentEnds()), 0)
		b.answerRenewalAs("i-2")
		b.advance(100 * ms)
		assert.Equal(t, b.target.id(), "i-2")
		assert.Equal(t, len(b.sentEnds()), 0, "ended an active run")
		assert.Equal(t, len(b.runs), 1)
	}
}

// TestDelayedHeartbeatAtRestartedAgentIgnored guards against replacing the current
// incarnation by an earlier one of which a restarted agent has no record.
func TestDelayedHeartbeatAtRestartedAgentIgnored(t *testing.T) {
	b := newHarness(t)
	b.sendOrders(order(0, 1000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	b.Heartbeat(b.now, b.report("i-0", 77))
	assert.Equal(t, b.target.id(), "i-1")
	b.answerRenewalAs("i-1")
	assert.Assert(t, b.target.candidate == nil)
	b.advance(100 * ms)
	assert.Equal(t, b.target.id(), "i-1")
	assert.Equal(t, len(b.runs), 1)
}

// TestEndedIncarnationNotKeptAsCurrent guards against keeping an ended incarnation
// as the current one because its delayed heartbeat is the first that the agent receives.
func TestEndedIncarnationNotKeptAsCurrent(t *testing.T) {
	b := newHarness(t)
	b.endIncarnation(b.now)
	b.Heartbeat(b.now, b.report("i-0", 77))
	assert.Equal(t, b.target.id(), "i-0")
	b.Heartbeat(b.now, b.report("i-2", 1))
	b.answerRenewalAs("i-2")
	assert.Equal(t, b.target.id(), "i-2")
	b.Heartbeat(b.now, b.report("i-0", 78))
	assert.Equal(t, b.target.id(), "i-2")
	assert.Assert(t, b.target.candidate == nil, "i-0 is a candidate although it is over")
}

// TestSilentIncarnationReplacedOnlyAfterLease guards against replacing a silent
// incarnation while its runs may be active.
func TestSilentIncarnationReplacedOnlyAfterLease(t *testing.T) {
	b := newHarness(t)
	b.sendOrders(order(0, 1000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	b.Heartbeat(b.now, b.report("i-2", 1))
	b.advance(silenceLimit + 10*ms)
	assert.Equal(t, b.target.id(), "i-1")
	assert.Equal(t, len(b.sentEnds()), 0)
	b.advance(TargetLease + 200*ms)
	assert.Equal(t, b.target.id(), "i-2")
	assert.Equal(t, len(b.runs), 0)
}

// TestExcessiveHeartbeatNumberDoesNotExcludeTarget guards against a heartbeat of another
// process with the target's id and a sequence number that the target never reaches.
func TestExcessiveHeartbeatNumberDoesNotExcludeTarget(t *testing.T) {
	b := newHarness(t)
	b.Heartbeat(b.now, b.report("i-1", 1<<53))
	b.Heartbeat(b.now, b.report("i-1", 3))
	assert.Equal(t, b.target.report.Seq, uint64(1<<53))
	b.now += maxHeartbeatAge
	b.Heartbeat(b.now, b.report("i-1", 4))
	assert.Equal(t, b.target.report.Seq, uint64(4))
}
