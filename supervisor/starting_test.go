package supervisor

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// rejections are the outcomes by which a target rejects one call of a start. RejectedStaleRun rejects
// the run.
var rejections = []Outcome{
	RejectedToken, RejectedDeadline, RejectedCapacity, RejectedUnhealthy, RejectedMalformed,
}

// sendTries orders a run that takes the whole target and waits until its start was sent the given
// number of times.
func (b *harness) sendTries(t *testing.T, tries int) {
	t.Helper()
	b.sendOrders(order(0, 4000))
	for len(b.starts) < tries {
		b.advance(StartRetry)
	}
	assert.Equal(t, len(b.starts), tries)
}

// list applies an empty list.
func (b *harness) list() {
	b.answerRenewal(nil, nil)
	b.Tick(b.now)
}

// assertKept checks that the run of sendTries is neither reported as ended nor its room free.
func (b *harness) assertKept(t *testing.T, when string) {
	t.Helper()
	assert.Equal(t, len(b.sentEnds()), 0, "%s: reported as ended: %+v", when, b.sentEnds())
	assert.Equal(t, b.freeRoom(b.now, nil).CPU, 0, "%s: room is free", when)
}

// TestRejectedTryKeepsRunWhileAnotherIsOpen guards against two runs of a task (review/4): a target
// that was still handling one start call rejected another one, and the task was started elsewhere.
func TestRejectedTryKeepsRunWhileAnotherIsOpen(t *testing.T) {
	for _, outcome := range rejections {
		for rejected := range 3 {
			t.Run(fmt.Sprintf("%s of try %d", outcome.Code(), rejected+1), func(t *testing.T) {
				b := newHarness(t)
				b.sendTries(t, 3)
				b.StartAnswered(b.now, b.starts[rejected], b.reply(outcome))
				for range 4 {
					b.list()
					b.assertKept(t, "two tries are open")
					b.now += 10 * ms
				}
				started := b.starts[(rejected+1)%3]
				b.StartAnswered(b.now, started, b.reply(Accepted))
				running := []ListedRun{{Name: order(0, 0).Task.String(), Run: 1}}
				b.answerRenewal(running, nil)
				b.assertKept(t, "running")
				b.StartAnswered(b.now, b.starts[(rejected+2)%3], b.reply(RejectedStaleRun))
				b.answerRenewal(running, nil)
				b.assertKept(t, "all tries are answered and the run goes on")
			})
		}
	}
}

// TestStaleRunRejectionEndsRunAfterNextList guards against a task that waits for the deadline of an
// unanswered call although the target rejects its run number, and against a run that is reported as
// rejected before a list shows that it did not start and end.
func TestStaleRunRejectionEndsRunAfterNextList(t *testing.T) {
	b := newHarness(t)
	b.sendTries(t, 2)
	before, _ := b.NextRenewal(b.now)
	b.now += ms
	b.StartAnswered(b.now, b.starts[1], b.reply(RejectedStaleRun))
	b.RenewalAnswered(b.now, before, b.reply(Accepted), &RunLists{})
	b.assertKept(t, "the list was requested before the rejection")
	b.list()
	assert.Equal(t, len(b.sentEnds()), 1)
	assert.Equal(t, b.sentEnds()[0].Reason, code.RunAbsent)
	assert.Equal(t, b.freeRoom(b.now, nil).CPU, 4000)
}

// TestRunEndsOnceAllTriesAreRejected guards against a task that waits for the deadline of its start
// although the target has answered that none of the calls has done anything.
func TestRunEndsOnceAllTriesAreRejected(t *testing.T) {
	for _, sequence := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 0, 2}} {
		b := newHarness(t)
		b.sendTries(t, 3)
		for k, try := range sequence {
			b.assertKept(t, fmt.Sprintf("%d of 3 tries are rejected", k))
			b.StartAnswered(b.now, b.starts[try], b.reply(RejectedUnhealthy))
		}
		assert.Equal(t, len(b.sentEnds()), 1)
		assert.Equal(t, b.sentEnds()[0].End, task.EndRejected)
		assert.Equal(t, b.sentEnds()[0].Reason, code.RunTargetUnhealthy)
		assert.Equal(t, b.freeRoom(b.now, nil).CPU, 4000)
	}
}

// TestRejectedTryStopsRun guards against a task that waits for the deadline of an unanswered call after
// another one was rejected: the run is stopped, and over once the stop is accepted.
func TestRejectedTryStopsRun(t *testing.T) {
	for _, outcome := range rejections {
		b := newHarness(t)
		b.sendTries(t, 2)
		b.StartAnswered(b.now, b.starts[1], b.reply(outcome))
		assert.Equal(t, len(b.stops), 1)
		b.list()
		b.assertKept(t, "the stop has no answer")
		b.StopAnswered(b.now, b.stops[0], b.reply(Accepted))
		b.list()
		assert.Equal(t, len(b.sentEnds()), 1)
		assert.Equal(t, b.sentEnds()[0].End, task.EndRejected)
		assert.Equal(t, b.freeRoom(b.now, nil).CPU, 4000)
		assert.Equal(t, len(b.starts), 2, "sent again after the stop")
	}
}

// TestUnansweredTryKeepsRunUntilItsDeadline guards against a second run of a task: the first call
// has no answer, the last one was rejected, and the first is carried out just before its deadline.
func TestUnansweredTryKeepsRunUntilItsDeadline(t *testing.T) {
	b := newHarness(t)
	b.sendTries(t, 2)
	b.StartAnswered(b.now, b.starts[1], b.reply(RejectedUnhealthy))
	b.StartAnswered(b.now, b.starts[0], Reply{Outcome: NoAnswer})
	for b.targetClock() <= b.starts[0].Deadline {
		for _, c := range b.starts[2:] {
			b.StartAnswered(b.now, c, b.reply(RejectedUnhealthy))
		}
		b.starts = b.starts[:2]
		b.advance(10 * ms)
		b.list()
		b.assertKept(t, "before the deadline")
	}
	b.advance(40 * ms) // the clock may be 2% slow
	b.list()
	assert.Equal(t, b.sentEnds()[0].Reason, code.RunAbsent)
	assert.Equal(t, b.freeRoom(b.now, nil).CPU, 4000)
}

// TestUndefinedAnswerKeepsRun guards against a second run of a task whose start was answered with an
// undefined status, such as 500 or 502, and carried out.
func TestUndefinedAnswerKeepsRun(t *testing.T) {
	b := newHarness(t)
	b.sendTries(t, 1)
	b.StartAnswered(b.now, b.starts[0], b.reply(Undefined))
	b.list()
	b.assertKept(t, "the only try has an undefined answer")
	b.advance(StartRetry)
	assert.Equal(t, len(b.starts), 2)
	b.StartAnswered(b.now, b.starts[1], b.reply(RejectedUnhealthy))
	b.list()
	b.assertKept(t, "the second try is rejected")
	b.advance(TargetLease + 100*ms)
	b.list()
	assert.Equal(t, len(b.runs), 0)
}

// TestEarlierTryMayHaveTheLaterDeadline guards against a run that is given up at the deadline of
// its last start call: the reading of the target's clock in a delayed answer is low, and with it the
// deadline of the next call.
func TestEarlierTryMayHaveTheLaterDeadline(t *testing.T) {
	b := newHarness(t)
	b.answerRenewal(nil, nil)
	delayed := b.reply(Accepted)
	delayed.Clock += ms
	c, _ := b.NextRenewal(b.now)
	b.sendTries(t, maxStartTries-1)
	b.RenewalAnswered(b.now, c, delayed, &RunLists{})
	b.advance(StartRetry)
	assert.Equal(t, len(b.starts), maxStartTries)
	last, before := b.starts[maxStartTries-1].Deadline, b.starts[maxStartTries-2].Deadline
	assert.Assert(t, last < before-30*ms)
	for b.targetClock() < before-10*ms {
		b.advance(10 * ms)
		b.list()
		b.assertKept(t, "before the deadline of an earlier call")
	}
}

// TestAnswerToEarlierRunWithSameNumber guards against a delayed answer to a start call of an earlier
// order of the same task and run number that is taken for an answer to the present one.
func TestAnswerToEarlierRunWithSameNumber(t *testing.T) {
	for _, outcome := range append([]Outcome{Accepted}, rejections...) {
		b := newHarness(t)
		b.sendTries(t, 2)
		b.StartAnswered(b.now, b.starts[1], b.reply(Accepted))
		b.answerRenewal(nil, []ListedEnd{{N: 1, Name: order(0, 0).Task.String(), Run: 1, End: task.EndStopped}})
		assert.Equal(t, len(b.runs), 0)
		b.sendOrders(order(0, 4000))
		b.StartAnswered(b.now, b.starts[0], b.reply(outcome))
		r := b.runs[order(0, 0).Task.String()]
		assert.Assert(t, r != nil && !r.started && !r.cannotStart, "%s of the earlier order", outcome.Code())
		open, _ := r.tries.open()
		assert.Equal(t, open, 1)
	}
}

// TestStopRejectedByBusyTargetEndsAbsentRun guards against a run that is kept forever: its start had no
// answer and its stops are rejected, and the lists after the deadline don't contain it.
func TestStopRejectedByBusyTargetEndsAbsentRun(t *testing.T) {
	b := newHarness(t)
	b.sendTries(t, 1)
	b.StartAnswered(b.now, b.starts[0], Reply{Outcome: NoAnswer})
	b.Receive(b.now, 1, &peer.Frame{Echo: b.now, Stops: []task.Ref{{Task: order(0, 0).Task, Run: 1}}})
	for end := b.now + 2*time.Second; b.now < end; {
		for _, c := range b.stops {
			b.StopAnswered(b.now, c, b.reply(RejectedUnhealthy))
		}
		b.stops = nil
		if b.targetClock() < b.starts[0].Deadline {
			b.assertKept(t, "before the deadline")
		}
		b.advance(50 * ms)
		b.list()
	}
	assert.Equal(t, len(b.runs), 0)
	assert.Equal(t, b.sentEnds()[0].End, task.EndRejected)
}

// TestOrderForPresentRunLeavesItAlone guards against an entry that connects again and orders a task whose
// run from its earlier connection may be active: the rejection of the order must not end that run.
func TestOrderForPresentRunLeavesItAlone(t *testing.T) {
	b := newHarness(t)
	b.sendTries(t, 2)
	b.Disconnected(b.now, 1)
	b.Connected(b.now, 2, peer.Hello{Name: "edge", Level: peer.LevelBase})
	again := order(0, 4000)
	again.Run = 2
	b.Receive(b.now, 2, &peer.Frame{Seq: 1, Echo: b.now, Starts: []task.Order{again}})
	assert.Equal(t, len(b.sentEnds()), 1)
	assert.Equal(t, b.sentEnds()[0].Ref.Run, 2)
	assert.Equal(t, b.sentEnds()[0].Reason, code.RunPresent)
	assert.Equal(t, b.runs[order(0, 0).Task.String()].order.Run, 1)
	assert.Equal(t, b.freeRoom(b.now, nil).CPU, 0)
	assert.Assert(t, !b.currentCoreState(b.now, b.sessions[2]).cleared)
}
