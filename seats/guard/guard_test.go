package guard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

const testLease = 3 * time.Second

var (
	self  = roster.NewID("worker", 1)
	seatA = roster.NewID("entry-a", 1)
	seatB = roster.NewID("entry-b", 1)
)

// harness is one Guard with two seats.
type harness struct {
	t   *testing.T
	g   *Guard
	now clock.Moment
	seq uint64
}

func rosterAt(revision uint64, seats ...roster.ID) roster.Roster {
	r := roster.Roster{Revision: revision, Agents: []roster.ID{self}}
	for _, id := range seats {
		r.Seats = append(r.Seats, roster.Seat{ID: id})
	}
	return r
}

func newHarness(t *testing.T) *harness {
	x := &harness{
		t:   t,
		g:   NewGuard(Config{Self: self, Lease: testLease, Skew: time.Second, OutputBytes: 100}),
		now: clock.Moment{Mono: time.Second, Wall: time.Unix(1_700_000_000, 0)},
	}
	x.receive(seatA, 1, wire.Roster{Roster: rosterAt(1, seatA, seatB)})
	x.receive(seatA, 1, wire.Target{Known: true, Service: "s", Slots: 2, Connections: 8})
	x.confirmAll(1)
	return x
}

// receive passes the guard a frame that echoes its current time.
func (x *harness) receive(from roster.ID, revision uint64, m wire.Message) Effects {
	x.seq++
	return x.g.Receive(x.now, from, wire.Frame{
		Header: wire.Header{Kind: m.Kind(), Seq: x.seq, Revision: revision, Config: 1, Echo: int64(x.now.Mono)}, Body: m,
	})
}

func (x *harness) confirmAll(revision uint64) {
	x.receive(seatA, revision, wire.Heartbeat{})
	x.receive(seatB, revision, wire.Heartbeat{})
}

// start sends the start of a task and returns the immediate result, if any.
func (x *harness) start(from roster.ID, job string) (wire.Result, Effects) {
	out := x.receive(from, 1, wire.Start{
		Key: wire.TaskKey{Job: "s/" + job}, Digest: 7, Service: "s", Expiry: x.now.Wall.Add(time.Minute).UnixMilli(),
	})
	for _, s := range out.Sends {
		if r, ok := s.Frame.Body.(wire.Result); ok {
			return r, out
		}
	}
	return wire.Result{}, out
}

func (x *harness) assertRefused(from roster.ID, job string, want code.Code) {
	x.t.Helper()
	r, out := x.start(from, job)
	assert.Equal(x.t, r.Status, wire.NotRun)
	assert.Equal(x.t, r.Code, want)
	assert.Equal(x.t, len(out.Runs), 0)
}

func TestStartRequiresConfirmationByEverySeat(t *testing.T) {
	x := newHarness(t)
	_, out := x.start(seatA, "first")
	assert.Equal(t, len(out.Runs), 1)
	x.now = x.now.Plus(testLease - time.Millisecond)
	x.receive(seatA, 1, wire.Heartbeat{}) // the other seat stops confirming
	_, out = x.start(seatA, "second")
	assert.Equal(t, len(out.Runs), 1)
	x.now = x.now.Plus(time.Millisecond)
	x.assertRefused(seatA, "third", code.AgentNotConfirmed)
	x.receive(seatB, 1, wire.Heartbeat{})
	x.g.Ended(x.now, wire.TaskKey{Job: "s/first"}, wire.Done, code.OK, nil)
	_, out = x.start(seatA, "third")
	assert.Equal(t, len(out.Runs), 1)
}

func TestConfirmationCountsFromEchoedTimestamp(t *testing.T) {
	x := newHarness(t)
	old := x.now.Mono
	x.now = x.now.Plus(testLease)
	for _, id := range []roster.ID{seatA, seatB} {
		x.seq++
		x.g.Receive(x.now, id, wire.Frame{Header: wire.Header{Seq: x.seq, Revision: 1, Echo: int64(old)}, Body: wire.Heartbeat{}})
	}
	x.assertRefused(seatA, "late", code.AgentNotConfirmed)
}

func TestStartsRefusedUntilNewerRosterIsAdopted(t *testing.T) {
	x := newHarness(t)
	x.receive(seatB, 2, wire.Heartbeat{})
	x.assertRefused(seatA, "early", code.StaleRevision)
	x.receive(seatB, 2, wire.Roster{Roster: rosterAt(2, seatB)})
	x.receive(seatB, 2, wire.Heartbeat{})
	x.assertRefused(seatA, "removed", code.NotASeat)
	_, out := x.start(seatB, "seated")
	assert.Equal(t, len(out.Runs), 1)
}

func TestFrameWithHigherRevisionDoesNotConfirm(t *testing.T) {
	x := newHarness(t)
	x.now = x.now.Plus(testLease)
	x.receive(seatA, 1, wire.Heartbeat{})
	x.receive(seatB, 2, wire.Heartbeat{})
	assert.Assert(t, !x.g.Standing(x.now))
}

func TestRepeatedStartIsAnsweredFromRecord(t *testing.T) {
	x := newHarness(t)
	_, out := x.start(seatA, "job")
	assert.Equal(t, len(out.Runs), 1)
	r, out := x.start(seatB, "job")
	assert.Equal(t, len(out.Runs), 0)
	assert.Equal(t, r.Status, wire.Status(0), "the answer waits for the task's end")
	out = x.g.Ended(x.now, wire.TaskKey{Job: "s/job"}, wire.Done, code.OK, []byte("1"))
	assert.Equal(t, len(out.Sends), 2, "both seats get the result")
	r, _ = x.start(seatB, "job")
	assert.Equal(t, string(r.Output), "1")
}

func TestDroppedOutputDoesNotAllowSecondStart(t *testing.T) {
	x := newHarness(t)
	for _, job := range []string{"one", "two"} {
		x.start(seatA, job)
		x.g.Ended(x.now, wire.TaskKey{Job: "s/" + job}, wire.Done, code.OK, make([]byte, 80))
	}
	r, out := x.start(seatA, "one")
	assert.Equal(t, len(out.Runs), 0)
	assert.Equal(t, r.Code, code.AnswerDropped)
	r, _ = x.start(seatA, "two")
	assert.Equal(t, r.Status, wire.Done)
}
