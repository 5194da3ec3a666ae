package supervisor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/evacuation"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// reportHall handles a heartbeat of the target with the given hall.
func (b *harness) reportHall(hall string) {
	r := b.report("i-1", b.target.report.Seq+1)
	r.Hall = hall
	b.Heartbeat(b.now, r)
}

// sendEvacuations handles a frame of the entry with the evacuated halls at a revision.
func (b *harness) sendEvacuations(revision uint64, halls ...string) {
	set := evacuation.NewSet(revision, halls)
	b.Receive(b.now, 1, &peer.Frame{Echo: b.now, Evacuations: &set})
}

// TestNoStartsInEvacuatedHall guards against starts and stops on a target of an evacuated
// hall, and against outdated sets of halls that take effect.
func TestNoStartsInEvacuatedHall(t *testing.T) {
	b := newHarness(t)
	b.reportHall("mtm")
	b.sendOrders(order(0, 1000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	b.sendEvacuations(7, "bay", "mtm")
	b.sendOrders(order(1, 1000))
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, len(b.stops), 0)
	assert.Equal(t, b.sentEnds()[0].Reason, code.RunHallEvacuated)
	assert.Equal(t, b.sentEnds()[0].End, task.EndRejected)
	assert.Equal(t, b.frames[len(b.frames)-1].State.Accepting, false)

	b.sendEvacuations(6)
	b.sendOrders(order(2, 1000))
	assert.Equal(t, len(b.starts), 1, "an outdated message ended the evacuation")

	b.sendEvacuations(9, "bay")
	b.sendOrders(order(3, 1000))
	assert.Equal(t, len(b.starts), 2)
	b.sendEvacuations(8, "mtm")
	b.sendOrders(order(4, 1000))
	assert.Equal(t, len(b.starts), 3, "an outdated message evacuated the hall again")
}

// TestEvacuationAppliesToLaterTarget guards against starts on a target that first reports
// the evacuated hall after the evacuation was received.
func TestEvacuationAppliesToLaterTarget(t *testing.T) {
	b := newHarness(t)
	b.sendEvacuations(7, "mtm")
	b.sendOrders(order(0, 1000))
	assert.Equal(t, len(b.starts), 1) // the target's hall is not evacuated
	b.reportHall("mtm")
	b.sendOrders(order(1, 1000))
	assert.Equal(t, len(b.starts), 1)
}

// TestReservationsDroppedOnEvacuation guards against starts that use an earlier
// reservation, and against reservations during the evacuation.
func TestReservationsDroppedOnEvacuation(t *testing.T) {
	b := newHarness(t)
	b.reportHall("mtm")
	b.Receive(b.now, 1, &peer.Frame{Echo: b.now,
		RoomRequest: &peer.RoomRequest{Needs: task.Resources{CPU: 1000}, Total: task.Resources{CPU: 1000}}})
	assert.Equal(t, len(b.room.reservations), 1)
	b.sendEvacuations(7, "mtm")
	assert.Equal(t, len(b.room.reservations), 0)
	b.Receive(b.now, 1, &peer.Frame{Echo: b.now, UsedReservation: 1, Starts: []task.Order{order(0, 1000)},
		RoomRequest: &peer.RoomRequest{Needs: task.Resources{CPU: 1000}, Total: task.Resources{CPU: 1000}}})
	assert.Equal(t, len(b.starts), 0)
	assert.Equal(t, len(b.room.reservations), 0)
	b.sendEvacuations(8)
	assert.Equal(t, len(b.room.reservations), 1) // for the pending request
}

// TestRunAwaitingSpecRejectedOnEvacuation guards against a start when the spec arrives
// after the evacuation.
func TestRunAwaitingSpecRejectedOnEvacuation(t *testing.T) {
	b := newHarness(t)
	b.reportHall("mtm")
	b.Connected(b.now, 1, peer.Hello{Name: "edge", Level: peer.LevelNewest})
	b.FetchSpec = func(string, string) {}
	o := order(0, 1000)
	o.SpecAt = "10.1.0.30:7720"
	b.sendOrders(o)
	b.sendEvacuations(7, "mtm")
	assert.Equal(t, b.sentEnds()[0].Reason, code.RunHallEvacuated)
	b.SpecFetched(b.now, o.Task.Job, "spec", true)
	assert.Equal(t, len(b.starts), 0)
}

// TestEvacuationsForwardedToEntries guards against entries that do not receive a revision,
// receive it twice, or receive it back from the agent to which they sent it.
func TestEvacuationsForwardedToEntries(t *testing.T) {
	b := newHarness(t)
	received := make(map[ConnID][]uint64)
	b.Send = func(id ConnID, f *peer.Frame) {
		if f.Evacuations != nil {
			received[id] = append(received[id], f.Evacuations.Revision)
		}
	}
	b.Connected(b.now, 2, peer.Hello{Name: "other", Level: peer.LevelNewest})
	b.sendEvacuations(7, "mtm")
	b.Connected(b.now, 3, peer.Hello{Name: "third", Level: peer.LevelNewest})
	b.now += peer.IdleHeartbeatInterval
	b.SendHeartbeats(b.now)
	assert.DeepEqual(t, received, map[ConnID][]uint64{2: {7}, 3: {7}})
	b.sendEvacuations(7, "mtm")
	b.now += peer.IdleHeartbeatInterval
	b.SendHeartbeats(b.now)
	assert.DeepEqual(t, received, map[ConnID][]uint64{2: {7}, 3: {7}})
}
