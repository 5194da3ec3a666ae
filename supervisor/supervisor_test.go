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

// harness is a supervisor that records its calls and frames.
type harness struct {
	*Supervisor
	now    time.Duration
	starts []StartCall
	stops  []StopCall
	frames []*peer.Frame
}

// newHarness returns a supervisor with the current target i-1 and the entry edge on
// connection 1.
func newHarness(t *testing.T) *harness {
	t.Helper()
	b := &harness{Supervisor: NewSupervisor(slog.New(slog.DiscardHandler)), now: 10 * time.Second}
	b.Start = func(c StartCall) { b.starts = append(b.starts, c) }
	b.Stop = func(c StopCall) { b.stops = append(b.stops, c) }
	b.Send = func(_ ConnID, f *peer.Frame) { b.frames = append(b.frames, f) }
	b.Heartbeat(b.now, b.report("i-1", 1))
	b.answerRenewal(nil, nil)
	b.answerRenewal(nil, nil)
	assert.Assert(t, b.target.cleared)
	b.Connected(b.now, 1, peer.Hello{Name: "edge", Level: peer.LevelBase})
	return b
}

func (b *harness) report(id string, seq uint64) Report {
	return Report{
		ID: id, Service: "trackd", Capacity: task.Resources{CPU: 4000, MemoryMB: 1000},
		Clock: b.targetClock(), HasClock: true, Seq: seq,
	}
}

func (b *harness) targetClock() time.Duration {
	return b.now - 9*time.Second
}

// answerRenewal sends a renewal and answers it with the given lists.
func (b *harness) answerRenewal(running []ListedRun, ended []ListedEnd) {
	c, _ := b.NextRenewal(b.now)
	b.now += ms
	b.RenewalAnswered(b.now, c, b.reply(Accepted), &RunLists{Running: running, Ended: ended})
}

func (b *harness) reply(o Outcome) Reply {
	return Reply{Outcome: o, Clock: b.targetClock(), HasClock: true}
}

func order(index, cpu int) task.Order {
	return task.Order{Task: task.ID{Job: "0123456789abcdef", Index: index}, Run: 1, Needs: task.Resources{CPU: cpu},
		Estimate: 100 * ms, Guess: 100 * ms}
}

// sendOrders sends orders from the entry and renews the entry's lease.
func (b *harness) sendOrders(list ...task.Order) {
	b.Receive(b.now, 1, &peer.Frame{Seq: 1, Echo: b.now, Starts: list})
}

// advance advances the time and keeps the entry's lease valid.
func (b *harness) advance(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now += 10 * ms
		b.Receive(b.now, 1, &peer.Frame{Echo: b.now})
		b.Tick(b.now)
	}
}

// sentEnds returns the ends of runs sent to entries.
func (b *harness) sentEnds() []peer.RunEnd {
	var list []peer.RunEnd
	for _, f := range b.frames {
		list = append(list, f.Ended...)
	}
	return list
}

func TestCapacityNeverExceeded(t *testing.T) {
	b := newHarness(t)
	b.sendOrders(order(0, 3000), order(1, 1500), order(2, 1000))
	assert.Equal(t, len(b.starts), 2) // 3000 and 1000
	assert.Equal(t, b.sentEnds()[0].Reason, code.RunNoRoom)
	assert.Equal(t, b.sentEnds()[0].Ref.Task.Index, 1)
}

func TestUnansweredStopIsRetried(t *testing.T) {
	b := newHarness(t)
	b.sendOrders(order(0, 1000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	b.Receive(b.now, 1, &peer.Frame{Echo: b.now, Stops: []task.Ref{{Task: order(0, 0).Task, Run: 1}}})
	assert.Equal(t, len(b.stops), 1)
	b.StopAnswered(b.now, b.stops[0], Reply{Outcome: NoAnswer})
	b.advance(300 * ms)
	assert.Assert(t, len(b.stops) > 1, "the stop was not sent again")
}

func TestUnansweredStartKeepsResources(t *testing.T) {
	b := newHarness(t)
	b.sendOrders(order(0, 4000))
	b.StartAnswered(b.now, b.starts[0], Reply{Outcome: NoAnswer})
	b.sendOrders(order(1, 1000))
	assert.Equal(t, b.sentEnds()[0].Reason, code.RunNoRoom)
	b.advance(60 * ms)
	assert.Assert(t, len(b.starts) > 1) // retry of the same run
	assert.Equal(t, b.starts[1].Order.Run, 1)
	b.answerRenewal(nil, nil)
	assert.Equal(t, len(b.runs), 1) // a start may still take effect
	for range 14 {                  // beyond the deadline of the last start
		b.advance(100 * ms)
		b.answerRenewal(nil, nil)
	}
	assert.Equal(t, len(b.runs), 0) // a start can no longer take effect
	assert.Equal(t, b.sentEnds()[1].Reason, code.RunAbsent)
}

func TestRunsOfSilentEntryAreStopped(t *testing.T) {
	b := newHarness(t)
	b.sendOrders(order(0, 1000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	b.now += OwnerLease
	b.Tick(b.now)
	assert.Equal(t, len(b.stops), 0)
	b.now += ms
	b.Tick(b.now)
	assert.Equal(t, len(b.stops), 1)
}

func TestOrderUnderExpiredLeaseIsRejected(t *testing.T) {
	b := newHarness(t)
	b.now += OwnerLease + ms
	b.Receive(b.now, 1, &peer.Frame{Seq: 1, Starts: []task.Order{order(0, 1000)}})
	assert.Equal(t, len(b.starts), 0)
	assert.Equal(t, b.sentEnds()[0].Reason, code.RunStaleOwner)
}

func TestDrainingTargetReceivesNoStarts(t *testing.T) {
	b := newHarness(t)
	r := b.report("i-1", 2)
	r.Draining = true
	b.Heartbeat(b.now, r)
	b.sendOrders(order(0, 1000))
	assert.Equal(t, len(b.starts), 0)
	r = b.report("i-1", 3) // a later report without draining
	b.Heartbeat(b.now, r)
	b.sendOrders(order(0, 1000))
	assert.Equal(t, len(b.starts), 0)
}

func TestNewIncarnationEndsAllRuns(t *testing.T) {
	b := newHarness(t)
	b.sendOrders(order(0, 1000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	b.Heartbeat(b.now, b.report("i-2", 1))
	assert.Equal(t, len(b.sentEnds()), 0, "ended before i-1 is known to be over")
	b.answerRenewalAs("i-2")
	assert.Equal(t, b.sentEnds()[0].End, task.EndLost)
	assert.Equal(t, b.sentEnds()[0].Reason, code.RunTargetGone)
	assert.Equal(t, b.target.id(), "i-2")
	b.sendOrders(order(1, 1000))
	assert.Equal(t, b.sentEnds()[1].Reason, code.RunTargetNotAccepting) // until the target is cleared
}

// TestNewAgentWaitsForClearedTarget guards against starts by a new agent before the orders of
// an earlier agent are fenced off and its runs are stopped.
func TestNewAgentWaitsForClearedTarget(t *testing.T) {
	b := newHarness(t)
	earlier := b.target.token
	again := &harness{Supervisor: NewSupervisor(slog.New(slog.DiscardHandler)), now: b.now + 50*ms}
	again.Start = func(StartCall) { t.Error("start sent before the target is cleared") }
	again.Stop = func(c StopCall) { again.stops = append(again.stops, c) }
	again.Send = func(ConnID, *peer.Frame) {}
	again.Heartbeat(again.now, again.report("i-1", 9))
	again.answerRenewal([]ListedRun{{Name: "old", Run: 3}}, nil)
	assert.Assert(t, again.target.token > earlier)
	again.answerRenewal([]ListedRun{{Name: "old", Run: 3}}, nil)
	assert.Assert(t, !again.target.cleared)
	assert.Assert(t, len(again.stops) > 0)
	assert.Equal(t, again.stops[0].Name, "old")
	assert.Equal(t, again.stops[0].Ref.Run, 3)
	again.answerRenewal(nil, nil)
	assert.Assert(t, again.target.cleared)
}

func TestLeaseOfSilentTargetExpires(t *testing.T) {
	b := newHarness(t)
	b.sendOrders(order(0, 1000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	b.advance(silenceLimit + 10*ms)
	c, _ := b.NextRenewal(b.now)
	assert.Equal(t, c.Deadline, time.Duration(0))
	assert.Equal(t, len(b.runs), 1)
	b.advance(TargetLease + 200*ms)
	assert.Equal(t, len(b.runs), 0)
	assert.Equal(t, b.sentEnds()[0].Reason, code.RunTargetSilent)
}

func TestReservationGoesToMostUrgentEntry(t *testing.T) {
	b := newHarness(t)
	b.Connected(b.now, 2, peer.Hello{Name: "other", Level: peer.LevelBase})
	b.sendOrders(order(0, 4000))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	need := task.Resources{CPU: 3000}
	b.Receive(b.now, 1, &peer.Frame{Echo: b.now,
		RoomRequest: &peer.RoomRequest{Slack: 80 * ms, Needs: need, Total: need}})
	b.Receive(b.now, 2, &peer.Frame{Echo: b.now,
		RoomRequest: &peer.RoomRequest{Slack: 20 * ms, Needs: need, Total: need}})
	b.frames = nil
	var first ConnID
	b.Send = func(id ConnID, f *peer.Frame) {
		if f.Reservation != nil && first == 0 {
			first = id
		}
	}
	b.answerRenewal(nil, []ListedEnd{{N: 1, Name: order(0, 0).Task.String(), Run: 1, End: task.EndDone}})
	assert.Equal(t, first, ConnID(2))
	b.Receive(b.now, 1, &peer.Frame{Echo: b.now, Starts: []task.Order{order(1, 2000)}})
	assert.Equal(t, len(b.starts), 1) // three cores are reserved for the other entry
}

// countProfiles returns the number of frames with a profile, starting at index since.
func (b *harness) countProfiles(since int) int {
	count := 0
	for _, f := range b.frames[since:] {
		if f.State != nil && f.State.Profile != nil {
			count++
		}
	}
	return count
}

// TestProfileSentOnlyOnChange guards against repeating the profile, the largest part of a
// state, in every state.
func TestProfileSentOnlyOnChange(t *testing.T) {
	b := newHarness(t)
	assert.Equal(t, b.countProfiles(0), 1)
	sent := len(b.frames)
	b.sendOrders(order(1, 1000))
	b.advance(300 * ms)
	assert.Assert(t, len(b.frames) > sent)
	assert.Equal(t, b.countProfiles(sent), 0)
	larger := b.report("i-1", 2)
	larger.Capacity.CPU = 6000
	b.Heartbeat(b.now, larger)
	b.advance(100 * ms)
	assert.Equal(t, b.countProfiles(sent), 1)
	sent = len(b.frames)
	b.Connected(b.now, 2, peer.Hello{Name: "edge-2", Level: peer.LevelBase})
	b.advance(100 * ms)
	assert.Equal(t, b.countProfiles(sent), 1) // the new connection needs the profile
}

// TestStateIntervalGrowsWithEntries guards against a number of state frames per second that
// grows with the number of entries.
func TestStateIntervalGrowsWithEntries(t *testing.T) {
	b := newHarness(t)
	assert.Equal(t, b.stateInterval(), 25*ms)
	for k := range 11 {
		b.Connected(b.now, ConnID(k+2), peer.Hello{Name: "edge-" + string(rune('a'+k)), Level: peer.LevelBase})
	}
	assert.Equal(t, b.stateInterval(), 120*ms)
}

// TestFailedRenewalsBackOff guards against retrying at the full rate when a target answers no
// renewal.
func TestFailedRenewalsBackOff(t *testing.T) {
	b := newHarness(t)
	var waits []time.Duration
	for range 6 {
		c, _ := b.NextRenewal(b.now)
		waits = append(waits, b.RenewalBackoff())
		b.RenewalAnswered(b.now, c, Reply{Outcome: NoAnswer}, nil)
	}
	assert.DeepEqual(t, waits, []time.Duration{0, 20 * ms, 40 * ms, 80 * ms, 160 * ms, 160 * ms})
	b.answerRenewal(nil, nil)
	assert.Equal(t, b.RenewalBackoff(), time.Duration(0))
}

// TestLostReplyStartsSecondRenewal guards against reports of ends that wait for the timeout
// of a lost reply, and against reporting an end twice.
func TestLostReplyStartsSecondRenewal(t *testing.T) {
	b := newHarness(t)
	b.sendOrders(order(1, 1000))
	assert.Assert(t, !b.NeedsSecondRenewal(b.now))
	c, _ := b.NextRenewal(b.now)
	b.now += 70 * ms
	b.RenewalAnswered(b.now, c, Reply{Outcome: NoAnswer}, nil)
	assert.Assert(t, b.NeedsSecondRenewal(b.now))
	first, _ := b.NextRenewal(b.now)
	second, _ := b.NextRenewal(b.now)
	b.now += 5 * ms
	lists := &RunLists{Ended: []ListedEnd{{N: 1, Name: b.starts[0].Order.Task.String(), Run: 1, End: task.EndDone}}}
	b.RenewalAnswered(b.now, second, b.reply(Accepted), lists)
	b.RenewalAnswered(b.now, first, b.reply(Accepted), lists)
	assert.Equal(t, len(b.sentEnds()), 1)          // reported once
	assert.Assert(t, !b.NeedsSecondRenewal(b.now)) // no active runs
	b.sendOrders(order(2, 1000))
	assert.Assert(t, b.NeedsSecondRenewal(b.now))
	assert.Assert(t, !b.NeedsSecondRenewal(b.now+lossyDuration))
}

// TestSilentTargetGetsNoSecondRenewal guards against useless extra calls to a target that
// answers none.
func TestSilentTargetGetsNoSecondRenewal(t *testing.T) {
	b := newHarness(t)
	b.sendOrders(order(1, 1000))
	c, _ := b.NextRenewal(b.now)
	b.advance(silenceLimit + 10*ms)
	b.RenewalAnswered(b.now, c, Reply{Outcome: NoAnswer}, nil)
	assert.Assert(t, !b.NeedsSecondRenewal(b.now))
}

// TestShrunkCapacityNotOverallocated guards against starts beyond a reduced capacity, also
// under an earlier reservation, and against stopping active runs because of it.
func TestShrunkCapacityNotOverallocated(t *testing.T) {
	b := newHarness(t)
	b.sendOrders(order(0, 1500))
	b.StartAnswered(b.now, b.starts[0], b.reply(Accepted))
	b.Receive(b.now, 1, &peer.Frame{Seq: 2, Echo: b.now,
		RoomRequest: &peer.RoomRequest{Needs: task.Resources{CPU: 2000}, Total: task.Resources{CPU: 2000}}})
	reserved := b.frames[len(b.frames)-1].Reservation
	assert.Equal(t, reserved.Room.CPU, 2000)
	shrunk := b.report("i-1", 2)
	shrunk.Capacity.CPU = 1000
	b.Heartbeat(b.now, shrunk)
	b.Receive(b.now, 1, &peer.Frame{Seq: 3, Echo: b.now, UsedReservation: reserved.ID,
		Starts: []task.Order{order(1, 2000), order(2, 100)}})
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, len(b.sentEnds()), 2)
	assert.Equal(t, b.sentEnds()[1].Reason, code.RunNoRoom)
	assert.Equal(t, len(b.stops), 0, "an active run was stopped")
	b.Heartbeat(b.now, b.report("i-1", 3))
	b.sendOrders(order(3, 2500))
	assert.Equal(t, len(b.starts), 2)
}
