package supervisor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// bornBench is a bench whose target says when it started.
func bornBench(t *testing.T) *bench {
	t.Helper()
	b := newBench(t)
	r := b.report("i-1", 2)
	r.Born = 100
	b.Heartbeat(b.now, r)
	return b
}

// listBorn answers a renewal that is asked now, as the life of the target that began then.
func (b *bench) listBorn(born int64, running ...RunningRow) RenewCall {
	c, _ := b.NextRenewal(b.now)
	b.now += ms
	b.RenewalAnswered(b.now, c, b.reply(Accepted), &RunLists{Born: born, Running: running})
	return c
}

// rebirth has the target restart under its id: the next list tells, and then its heartbeat.
func (b *bench) rebirth() {
	b.listBorn(200)
	r := b.report("i-1", 1)
	r.Born = 200
	b.Heartbeat(b.now, r)
}

// TestARunOfARebornTargetEndsOnceTheNewLifeHasListed: its start may have reached the new life,
// which may be at work on it.
func TestARunOfARebornTargetEndsOnceTheNewLifeHasListed(t *testing.T) {
	b := bornBench(t)
	b.orders(order(0, 1000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	b.orders(order(1, 1000)) // not answered
	b.rebirth()
	assert.Equal(t, len(b.ends()), 0, "a run may be at work in the new life")
	c := b.listBorn(200, RunningRow{Name: order(1, 0).Task.String(), Run: 1})
	assert.Assert(t, c.Token > b.starts[0].Token, "delayed copies of the starts must be refused")
	assert.Equal(t, c.LastSeen, uint64(0), "the new life counts its ends anew")
	assert.Equal(t, len(b.ends()), 1)
	assert.Equal(t, b.ends()[0].Ref.Task.Index, 0)
	c, _ = b.NextRenewal(b.now)
	b.RenewalAnswered(b.now, c, b.reply(Accepted), &RunLists{Born: 200,
		Ended: []EndedRow{{N: 1, Name: order(1, 0).Task.String(), Run: 1, End: task.EndDone}}})
	assert.Equal(t, b.ends()[1].End, task.EndDone)
	assert.Assert(t, b.target.cleared)
}

// TestAnUnansweredRunOfARebornTargetIsOver once the new life has listed nothing under a higher
// token.
func TestAnUnansweredRunOfARebornTargetIsOver(t *testing.T) {
	b := bornBench(t)
	b.orders(order(0, 1000))
	b.rebirth()
	b.beat(2 * TargetLease)
	assert.Equal(t, len(b.ends()), 0, "the new life has not answered")
	b.listBorn(200)
	assert.Equal(t, b.ends()[0].Reason, code.RunAbsent)
	assert.Assert(t, b.target.cleared)
	assert.Equal(t, len(b.runs), 0)
}

// TestAHeldUpHeartbeatOfAnEarlierLife under the same id changes nothing.
func TestAHeldUpHeartbeatOfAnEarlierLife(t *testing.T) {
	b := bornBench(t)
	b.orders(order(0, 1000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	r := b.report("i-1", 900)
	r.Born = 50
	b.Heartbeat(b.now, r)
	b.listBorn(100, RunningRow{Name: order(0, 0).Task.String(), Run: 1})
	assert.Equal(t, len(b.ends()), 0)
	assert.Equal(t, b.target.incarnation(), Incarnation{ID: "i-1", Born: 100})
	assert.Assert(t, b.target.candidate == nil)
}

// TestAHeartbeatOfARebornTargetComesFirst: the next list shows that it is up.
func TestAHeartbeatOfARebornTargetComesFirst(t *testing.T) {
	b := bornBench(t)
	b.orders(order(0, 1000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	r := b.report("i-1", 1)
	r.Born = 200
	b.Heartbeat(b.now, r)
	assert.Equal(t, b.target.incarnation().Born, int64(100))
	b.listBorn(200)
	assert.Equal(t, b.target.incarnation().Born, int64(200))
	assert.Equal(t, len(b.ends()), 0)
	b.listBorn(200)
	assert.Equal(t, b.ends()[0].End, task.EndLost)
}

// TestANumberThatNobodyReachesShutsNoTargetOut: a heartbeat of another writer may bear the
// target's id and any number.
func TestANumberThatNobodyReachesShutsNoTargetOut(t *testing.T) {
	b := newBench(t)
	b.Heartbeat(b.now, b.report("i-1", 1<<53))
	b.Heartbeat(b.now, b.report("i-1", 3))
	assert.Equal(t, b.target.report.Seq, uint64(1<<53))
	b.now += maxHeartbeatAge
	b.Heartbeat(b.now, b.report("i-1", 4))
	assert.Equal(t, b.target.report.Seq, uint64(4))
}
