package supervisor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// newHarnessWithStartTime returns a harness whose target reports its start time.
func newHarnessWithStartTime(t *testing.T) *harness {
	t.Helper()
	b := newHarness(t)
	r := b.report("i-1", 2)
	r.StartedUnixMS = 100
	b.Heartbeat(b.now, r)
	return b
}

// answerRenewalFrom sends a renewal and answers it as the process with the given start
// time.
func (b *harness) answerRenewalFrom(born int64, running ...ListedRun) RenewCall {
	c, _ := b.NextRenewal(b.now)
	b.now += ms
	b.RenewalAnswered(b.now, c, b.reply(Accepted), &RunLists{StartedUnixMS: born, Running: running})
	return c
}

// restartTarget restarts the target under the same id: the next list comes from the new
// process, and then a heartbeat.
func (b *harness) restartTarget() {
	b.answerRenewalFrom(200)
	r := b.report("i-1", 1)
	r.StartedUnixMS = 200
	b.Heartbeat(b.now, r)
}

// TestRunOfRestartedTargetEndsAfterFirstList guards against ending a run whose start
// reached the new process, which may be running it.
func TestRunOfRestartedTargetEndsAfterFirstList(t *testing.T) {
	b := newHarnessWithStartTime(t)
	b.sendOrders(order(0, 1000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	b.sendOrders(order(1, 1000)) // without an answer
	b.restartTarget()
	assert.Equal(t, len(b.sentEnds()), 0, "ended a run that may be active in the new process")
	c := b.answerRenewalFrom(200, ListedRun{Name: order(1, 0).Task.String(), Run: 1})
	assert.Assert(t, c.Token > b.starts[0].Token, "the token does not exceed that of delayed starts")
	assert.Equal(t, c.LastSeen, uint64(0), "the last sequence number of the old process was sent to the new one")
	assert.Equal(t, len(b.sentEnds()), 1)
	assert.Equal(t, b.sentEnds()[0].Ref.Task.Index, 0)
	c, _ = b.NextRenewal(b.now)
	b.RenewalAnswered(b.now, c, b.reply(Accepted), &RunLists{StartedUnixMS: 200,
		Ended: []ListedEnd{{N: 1, Name: order(1, 0).Task.String(), Run: 1, End: task.EndDone}}})
	assert.Equal(t, b.sentEnds()[1].End, task.EndDone)
	assert.Assert(t, b.target.cleared)
}

// TestUnansweredRunOfRestartedTargetEnds guards against a run that ends before the new process
// has returned an empty list under a higher token, or stays after that.
func TestUnansweredRunOfRestartedTargetEnds(t *testing.T) {
	b := newHarnessWithStartTime(t)
	b.sendOrders(order(0, 1000))
	b.restartTarget()
	b.advance(2 * TargetLease)
	assert.Equal(t, len(b.sentEnds()), 0, "ended before the new process has answered")
	b.answerRenewalFrom(200)
	assert.Equal(t, b.sentEnds()[0].Reason, code.RunAbsent)
	assert.Assert(t, b.target.cleared)
	assert.Equal(t, len(b.runs), 0)
}

// TestDelayedHeartbeatOfEarlierProcessIgnored guards against ending runs because of a
// delayed heartbeat with the same id.
func TestDelayedHeartbeatOfEarlierProcessIgnored(t *testing.T) {
	b := newHarnessWithStartTime(t)
	b.sendOrders(order(0, 1000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	r := b.report("i-1", 900)
	r.StartedUnixMS = 50
	b.Heartbeat(b.now, r)
	b.answerRenewalFrom(100, ListedRun{Name: order(0, 0).Task.String(), Run: 1})
	assert.Equal(t, len(b.sentEnds()), 0)
	assert.Equal(t, b.target.incarnation(), Incarnation{ID: "i-1", StartedUnixMS: 100})
	assert.Assert(t, b.target.candidate == nil)
}

// TestHeartbeatOfNewProcessAwaitsList guards against ending the runs of a target because of a
// heartbeat of another process with the same id, before a list confirms the restart.
func TestHeartbeatOfNewProcessAwaitsList(t *testing.T) {
	b := newHarnessWithStartTime(t)
	b.sendOrders(order(0, 1000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	r := b.report("i-1", 1)
	r.StartedUnixMS = 200
	b.Heartbeat(b.now, r)
	assert.Equal(t, b.target.incarnation().StartedUnixMS, int64(100))
	b.answerRenewalFrom(200)
	assert.Equal(t, b.target.incarnation().StartedUnixMS, int64(200))
	assert.Equal(t, len(b.sentEnds()), 0)
	b.answerRenewalFrom(200)
	assert.Equal(t, b.sentEnds()[0].End, task.EndLost)
}

// TestRestartedTargetReportsWhyRunsWereLost guards against a run that is reported as absent, and
// counted as a loss of its task, although the target had announced its shutdown, and against a
// crash that is not recorded, if the target restarts under the same id.
func TestRestartedTargetReportsWhyRunsWereLost(t *testing.T) {
	for _, c := range []struct {
		name     string
		draining bool
		reason   code.Code
	}{
		{"shutdown announced", true, code.RunTargetShutDown},
		{"crash", false, code.RunTargetGone},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarnessWithStartTime(t)
			b.sendOrders(order(0, 1000))
			b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
			if c.draining {
				r := b.report("i-1", 3)
				r.StartedUnixMS, r.Draining = 100, true
				b.Heartbeat(b.now, r)
			}
			b.restartTarget()
			b.answerRenewalFrom(200)
			assert.Equal(t, len(b.sentEnds()), 1)
			assert.Equal(t, b.sentEnds()[0].End, task.EndLost)
			assert.Equal(t, b.sentEnds()[0].Reason, c.reason)
		})
	}
}

// TestDelayedDeregistrationDoesNotStopRestartedTarget guards against a target that gets no work
// after a restart under the same id, because the previous process's notice arrives late.
func TestDelayedDeregistrationDoesNotStopRestartedTarget(t *testing.T) {
	b := newHarnessWithStartTime(t)
	b.restartTarget()
	b.answerRenewalFrom(200)
	assert.Assert(t, b.accepting(b.now))
	b.Deregister(b.now, "i-1")
	assert.Assert(t, !b.accepting(b.now))
	r := b.report("i-1", 2)
	r.StartedUnixMS = 200
	b.Heartbeat(b.now, r)
	assert.Assert(t, b.accepting(b.now))
}
