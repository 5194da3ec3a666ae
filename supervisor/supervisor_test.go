package supervisor

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

const ms = time.Millisecond

// bench is a supervisor whose calls and frames are kept.
type bench struct {
	*Supervisor
	now    time.Duration
	starts []StartCall
	stops  []StopCall
	frames []*peer.Frame
}

// newBench returns a supervisor that serves target i-1 and is connected to the
// entry edge by connection 1.
func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{Supervisor: NewSupervisor(slog.New(slog.DiscardHandler)), now: 10 * time.Second}
	b.Start = func(c StartCall) { b.starts = append(b.starts, c) }
	b.Stop = func(c StopCall) { b.stops = append(b.stops, c) }
	b.Send = func(_ ConnID, f *peer.Frame) { b.frames = append(b.frames, f) }
	b.Heartbeat(b.now, b.report("i-1", 1))
	b.list(nil, nil)
	b.list(nil, nil)
	assert.Assert(t, b.target.cleared)
	b.Connected(b.now, 1, peer.Hello{Name: "edge", Level: peer.LevelBase})
	return b
}

func (b *bench) report(id string, seq uint64) Report {
	return Report{ID: id, Service: "trackd", Capacity: task.Needs{CPU: 4000, MemoryMB: 1000}, Clock: b.clockNow(), HasClock: true, Seq: seq}
}

func (b *bench) clockNow() time.Duration {
	return b.now - 9*time.Second
}

// list answers a renewal that is asked now.
func (b *bench) list(running []RunningRow, ended []EndedRow) {
	c, _ := b.NextRenewal(b.now)
	b.now += ms
	b.RenewalAnswered(b.now, c, b.reply(Accepted), &RunLists{Running: running, Ended: ended})
}

func (b *bench) reply(o Outcome) Reply {
	return Reply{Outcome: o, Clock: b.clockNow(), HasClock: true}
}

func order(index, cpu int) task.Order {
	return task.Order{Task: task.ID{Job: "0123456789abcdef", Index: index}, Run: 1, Needs: task.Needs{CPU: cpu},
		Estimate: 100 * ms, Guess: 100 * ms}
}

// orders has the entry order runs, with its lease renewed now.
func (b *bench) orders(list ...task.Order) {
	b.Receive(b.now, 1, &peer.Frame{Seq: 1, Echo: b.now, Starts: list})
}

// beat keeps the entry's lease while the time goes on.
func (b *bench) beat(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now += 10 * ms
		b.Receive(b.now, 1, &peer.Frame{Echo: b.now})
		b.Tick(b.now)
	}
}

// ends returns the ends that entries were sent.
func (b *bench) ends() []peer.Ended {
	var list []peer.Ended
	for _, f := range b.frames {
		list = append(list, f.Ended...)
	}
	return list
}

func TestRoomIsNeverExceeded(t *testing.T) {
	b := newBench(t)
	b.orders(order(0, 3000), order(1, 1500), order(2, 1000))
	assert.Equal(t, len(b.starts), 2) // 3000 and 1000
	assert.Equal(t, b.ends()[0].Reason, code.RunNoRoom)
	assert.Equal(t, b.ends()[0].Ref.Task.Index, 1)
}

func TestAnUnansweredStopIsSentAgain(t *testing.T) {
	b := newBench(t)
	b.orders(order(0, 1000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	b.Receive(b.now, 1, &peer.Frame{Echo: b.now, Stops: []task.Ref{{Task: order(0, 0).Task, Run: 1}}})
	assert.Equal(t, len(b.stops), 1)
	b.StopAnswered(b.now, b.stops[0], Reply{Outcome: NoAnswer})
	b.beat(300 * ms)
	assert.Assert(t, len(b.stops) > 1, "the stop was not sent again")
}

func TestAnUnansweredStartKeepsItsRoom(t *testing.T) {
	b := newBench(t)
	b.orders(order(0, 4000))
	b.StartAnswered(b.now, b.starts[0], Reply{Outcome: NoAnswer})
	b.orders(order(1, 1000))
	assert.Equal(t, b.ends()[0].Reason, code.RunNoRoom)
	b.beat(60 * ms)
	assert.Assert(t, len(b.starts) > 1) // the same run again
	assert.Equal(t, b.starts[1].Order.Run, 1)
	b.list(nil, nil)
	assert.Equal(t, len(b.runs), 1) // a start may still take effect
	for range 14 {
		b.beat(100 * ms)
		b.list(nil, nil)
	}
	assert.Equal(t, len(b.runs), 0) // not any more
	assert.Equal(t, b.ends()[1].Reason, code.RunAbsent)
}

func TestASilentEntryLosesItsRuns(t *testing.T) {
	b := newBench(t)
	b.orders(order(0, 1000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	b.now += OwnerLease
	b.Tick(b.now)
	assert.Equal(t, len(b.stops), 0)
	b.now += ms
	b.Tick(b.now)
	assert.Equal(t, len(b.stops), 1)
}

func TestAnOrderUnderAnExpiredLeaseIsRejected(t *testing.T) {
	b := newBench(t)
	b.now += OwnerLease + ms
	b.Receive(b.now, 1, &peer.Frame{Seq: 1, Starts: []task.Order{order(0, 1000)}})
	assert.Equal(t, len(b.starts), 0)
	assert.Equal(t, b.ends()[0].Reason, code.RunStaleOwner)
}

func TestADrainingTargetGetsNothing(t *testing.T) {
	b := newBench(t)
	r := b.report("i-1", 2)
	r.Draining = true
	b.Heartbeat(b.now, r)
	b.orders(order(0, 1000))
	assert.Equal(t, len(b.starts), 0)
	r = b.report("i-1", 3) // a report that was overtaken by the later one
	b.Heartbeat(b.now, r)
	b.orders(order(0, 1000))
	assert.Equal(t, len(b.starts), 0)
}

func TestANewIncarnationEndsAllRuns(t *testing.T) {
	b := newBench(t)
	b.orders(order(0, 1000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	b.Heartbeat(b.now, b.report("i-2", 1))
	assert.Equal(t, len(b.ends()), 0, "nothing shows that i-1 is over")
	b.renewedBy("i-2")
	assert.Equal(t, b.ends()[0].End, task.EndLost)
	assert.Equal(t, b.ends()[0].Reason, code.RunTargetGone)
	assert.Equal(t, b.target.id(), "i-2")
	b.orders(order(1, 1000))
	assert.Equal(t, b.ends()[1].Reason, code.RunNotTaking) // until it is known to be cleared
}

// TestANewAgentAwaitsAClearedTarget shows that orders of an earlier agent are fenced
// off, and its runs stopped, before the new one serves.
func TestANewAgentAwaitsAClearedTarget(t *testing.T) {
	b := newBench(t)
	earlier := b.target.token
	again := &bench{Supervisor: NewSupervisor(slog.New(slog.DiscardHandler)), now: b.now + 50*ms}
	again.Start = func(StartCall) { t.Error("a start before the target is cleared") }
	again.Stop = func(c StopCall) { again.stops = append(again.stops, c) }
	again.Send = func(ConnID, *peer.Frame) {}
	again.Heartbeat(again.now, again.report("i-1", 9))
	again.list([]RunningRow{{Name: "old", Run: 3}}, nil)
	assert.Assert(t, again.target.token > earlier)
	again.list([]RunningRow{{Name: "old", Run: 3}}, nil)
	assert.Assert(t, !again.target.cleared)
	assert.Assert(t, len(again.stops) > 0)
	assert.Equal(t, again.stops[0].Name, "old")
	assert.Equal(t, again.stops[0].Ref.Run, 3)
	again.list(nil, nil)
	assert.Assert(t, again.target.cleared)
}

func TestASilentTargetIsNotRenewedAndItsRunsLapse(t *testing.T) {
	b := newBench(t)
	b.orders(order(0, 1000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	b.beat(silenceLimit + 10*ms)
	c, _ := b.NextRenewal(b.now)
	assert.Equal(t, c.Deadline, time.Duration(0))
	assert.Equal(t, len(b.runs), 1)
	b.beat(TargetLease + 200*ms)
	assert.Equal(t, len(b.runs), 0)
	assert.Equal(t, b.ends()[0].Reason, code.RunTargetSilent)
}

func TestRoomIsReservedForTheMostUrgent(t *testing.T) {
	b := newBench(t)
	b.Connected(b.now, 2, peer.Hello{Name: "other", Level: peer.LevelBase})
	b.orders(order(0, 4000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	need := task.Needs{CPU: 3000}
	b.Receive(b.now, 1, &peer.Frame{Echo: b.now, RoomRequest: &peer.RoomRequest{Slack: 80 * ms, Needs: need, Total: need}})
	b.Receive(b.now, 2, &peer.Frame{Echo: b.now, RoomRequest: &peer.RoomRequest{Slack: 20 * ms, Needs: need, Total: need}})
	b.frames = nil
	var first ConnID
	b.Send = func(id ConnID, f *peer.Frame) {
		if f.Reservation != nil && first == 0 {
			first = id
		}
	}
	b.list(nil, []EndedRow{{N: 1, Name: order(0, 0).Task.String(), Run: 1, End: task.EndDone}})
	assert.Equal(t, first, ConnID(2))
	b.Receive(b.now, 1, &peer.Frame{Echo: b.now, Starts: []task.Order{order(1, 2000)}})
	assert.Equal(t, len(b.starts), 1) // three cores are reserved for the other
}

// profiles returns how many frames since the given one carry the profile.
func (b *bench) profiles(since int) int {
	count := 0
	for _, f := range b.frames[since:] {
		if f.State != nil && f.State.Profile != nil {
			count++
		}
	}
	return count
}

// TestAProfileIsSentWhenItChanges and not with each state: most of a state's
// bytes would be the same again.
func TestAProfileIsSentWhenItChanges(t *testing.T) {
	b := newBench(t)
	assert.Equal(t, b.profiles(0), 1)
	sent := len(b.frames)
	b.orders(order(1, 1000))
	b.beat(300 * ms)
	assert.Assert(t, len(b.frames) > sent)
	assert.Equal(t, b.profiles(sent), 0)
	larger := b.report("i-1", 2)
	larger.Capacity.CPU = 6000
	b.Heartbeat(b.now, larger)
	b.beat(100 * ms)
	assert.Equal(t, b.profiles(sent), 1)
	sent = len(b.frames)
	b.Connected(b.now, 2, peer.Hello{Name: "edge-2", Level: peer.LevelBase})
	b.beat(100 * ms)
	assert.Equal(t, b.profiles(sent), 1) // the new connection knows nothing
}

// TestStatesAreFewerWithManyEntries: each costs a frame for each of them.
func TestStatesAreFewerWithManyEntries(t *testing.T) {
	b := newBench(t)
	assert.Equal(t, b.stateInterval(), 25*ms)
	for k := range 11 {
		b.Connected(b.now, ConnID(k+2), peer.Hello{Name: "edge-" + string(rune('a'+k)), Level: peer.LevelBase})
	}
	assert.Equal(t, b.stateInterval(), 120*ms)
}

// TestACallThatFailsIsRetriedLessOften: a target that turns every connection away
// must not be called fifty times a second.
func TestACallThatFailsIsRetriedLessOften(t *testing.T) {
	b := newBench(t)
	var waits []time.Duration
	for range 6 {
		c, _ := b.NextRenewal(b.now)
		waits = append(waits, b.RenewalBackoff())
		b.RenewalAnswered(b.now, c, Reply{Outcome: NoAnswer}, nil)
	}
	assert.DeepEqual(t, waits, []time.Duration{0, 20 * ms, 40 * ms, 80 * ms, 160 * ms, 160 * ms})
	b.list(nil, nil)
	assert.Equal(t, b.RenewalBackoff(), time.Duration(0))
}

// TestLostAnswersCallForASecondRenewal: while the answer of one is lost, the other
// tells what has ended.
func TestLostAnswersCallForASecondRenewal(t *testing.T) {
	b := newBench(t)
	b.orders(order(1, 1000))
	assert.Assert(t, !b.LosingReplies(b.now))
	c, _ := b.NextRenewal(b.now)
	b.now += 70 * ms
	b.RenewalAnswered(b.now, c, Reply{Outcome: NoAnswer}, nil)
	assert.Assert(t, b.LosingReplies(b.now))
	first, _ := b.NextRenewal(b.now)
	second, _ := b.NextRenewal(b.now)
	b.now += 5 * ms
	lists := &RunLists{Ended: []EndedRow{{N: 1, Name: b.starts[0].Order.Task.String(), Run: 1, End: task.EndDone}}}
	b.RenewalAnswered(b.now, second, b.reply(Accepted), lists)
	b.RenewalAnswered(b.now, first, b.reply(Accepted), lists)
	assert.Equal(t, len(b.ends()), 1)         // sent once
	assert.Assert(t, !b.LosingReplies(b.now)) // nothing runs
	assert.Assert(t, !b.LosingReplies(b.now+lossyDuration))
}

// TestASilentTargetGetsNoSecondRenewal: where nothing is answered, more calls tell
// nothing more.
func TestASilentTargetGetsNoSecondRenewal(t *testing.T) {
	b := newBench(t)
	b.orders(order(1, 1000))
	c, _ := b.NextRenewal(b.now)
	b.beat(silenceLimit + 10*ms)
	b.RenewalAnswered(b.now, c, Reply{Outcome: NoAnswer}, nil)
	assert.Assert(t, !b.LosingReplies(b.now))
}

// TestRoomThatShrinksIsGivenToNobody: neither to an order of a reservation that was made before,
// nor while what runs takes more than there is. What runs goes on.
func TestRoomThatShrinksIsGivenToNobody(t *testing.T) {
	b := newBench(t)
	b.orders(order(0, 1500))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	b.Receive(b.now, 1, &peer.Frame{Seq: 2, Echo: b.now, RoomRequest: &peer.RoomRequest{Needs: task.Needs{CPU: 2000}, Total: task.Needs{CPU: 2000}}})
	reserved := b.frames[len(b.frames)-1].Reservation
	assert.Equal(t, reserved.Room.CPU, 2000)
	shrunk := b.report("i-1", 2)
	shrunk.Capacity.CPU = 1000
	b.Heartbeat(b.now, shrunk)
	b.Receive(b.now, 1, &peer.Frame{Seq: 3, Echo: b.now, UsedReservation: reserved.ID, Starts: []task.Order{order(1, 2000), order(2, 100)}})
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, len(b.ends()), 2)
	assert.Equal(t, b.ends()[1].Reason, code.RunNoRoom)
	assert.Equal(t, len(b.stops), 0, "what runs goes on")
	b.Heartbeat(b.now, b.report("i-1", 3))
	b.orders(order(3, 2500))
	assert.Equal(t, len(b.starts), 2)
}
