package owner

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/stage"
	"github.com/beaconpoint/beaconpoint/task"
)

const ms = time.Millisecond

// harness drives an owner in virtual time and records its frames and answers.
type harness struct {
	*Owner
	t       *testing.T
	now     time.Duration
	seq     uint64
	frames  map[string][]*peer.Frame
	answers map[string]Answer
}

// newHarness returns an owner that is connected to agents, each with a target of four cores.
func newHarness(t *testing.T, agents ...string) *harness {
	t.Helper()
	b := &harness{t: t, now: 10 * time.Second, frames: make(map[string][]*peer.Frame), answers: make(map[string]Answer)}
	b.Owner = NewOwner(slog.New(slog.DiscardHandler))
	b.Send = func(agent string, f *peer.Frame) uint64 {
		b.seq++
		b.frames[agent] = append(b.frames[agent], f)
		return b.seq
	}
	for _, name := range agents {
		b.Connected(b.now, name)
		b.reportState(name, 4000, 1, peer.Healthy)
	}
	return b
}

// reportState has an agent report its target's state, which includes all orders sent so far.
func (b *harness) reportState(agent string, cpu int, speed float64, health peer.Health) {
	b.Receive(b.now, agent, &peer.Frame{State: &peer.State{
		Profile: &peer.Profile{Target: "i", Service: "trackd", Capacity: task.Resources{CPU: 4000, MemoryMB: 100}},
		Free:    task.Resources{CPU: cpu, MemoryMB: 100}, Speed: speed, Health: health, Accepting: true, Cleared: true,
		SeenSeq: b.seq}})
}

// jobOf returns a job of one step with the given number of tasks of one core and 100 ms each.
func jobOf(id string, tasks int) task.Job {
	return task.Job{ID: id, Queue: "q", Service: "trackd", Attempts: 2, ObjectiveFactor: 1.6, ObjectiveSlack: 60 * ms,
		Steps: []task.Step{{Count: tasks, Needs: task.Resources{CPU: 1000}, Estimate: 100 * ms}}}
}

// submit submits a job and records its answer.
func (b *harness) submit(j task.Job) uint64 {
	return b.Submit(b.now, j, func(a Answer) { b.answers[j.ID] = a })
}

// cancel cancels a job on a caller's request and returns whether it was cancelled at once.
func (b *harness) cancel(id string) (cancelled bool) {
	b.CancelJob(b.now, id, func(c bool) { cancelled = c })
	return cancelled
}

// starts returns the start orders sent to an agent.
func (b *harness) starts(agent string) []task.Order {
	var list []task.Order
	for _, f := range b.frames[agent] {
		list = append(list, f.Starts...)
	}
	return list
}

// reportEnd has an agent report the end of a run.
func (b *harness) reportEnd(agent string, o task.Order, end task.End, why code.Code) {
	b.Receive(b.now, agent, &peer.Frame{Ended: []peer.RunEnd{{
		Ref: task.Ref{Task: o.Task, Run: o.Run}, End: end, Reason: why, Took: 100 * ms}}})
}

// advance lets time pass while all agents send frames.
func (b *harness) advance(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now += 20 * ms
		for _, a := range b.byName {
			b.Receive(b.now, a.name, &peer.Frame{})
		}
		b.Tick(b.now)
	}
}

func TestJobCompletesOnlyAfterAllTasks(t *testing.T) {
	b := newHarness(t, "a", "b")
	b.submit(jobOf("1", 3))
	all := map[string][]task.Order{"a": b.starts("a"), "b": b.starts("b")}
	assert.Equal(t, len(all["a"])+len(all["b"]), 3)
	left := 3
	for agent, orders := range all {
		for _, o := range orders {
			_, answered := b.answers["1"]
			assert.Assert(t, !answered)
			b.reportEnd(agent, o, task.EndDone, code.RunListed)
			left--
		}
	}
	assert.Equal(t, left, 0)
	assert.Equal(t, b.answers["1"].Kind, Completed)
}

func TestFasterHealthyTargetIsChosen(t *testing.T) {
	b := newHarness(t, "a", "b")
	b.reportState("a", 4000, 0.8, peer.Healthy)
	b.reportState("b", 4000, 1.25, peer.Healthy)
	b.submit(jobOf("1", 1))
	assert.Equal(t, len(b.starts("b")), 1)
	b.reportState("b", 3000, 1.25, peer.Ejected)
	b.submit(jobOf("2", 1))
	assert.Equal(t, len(b.starts("a")), 1) // a slow target is preferred to an ejected one
}

func TestRoomIsRequestedAndReservationUsed(t *testing.T) {
	b := newHarness(t, "a")
	b.submit(jobOf("1", 4))
	b.submit(jobOf("2", 2))
	assert.Equal(t, len(b.starts("a")), 4)
	last := b.frames["a"][len(b.frames["a"])-1]
	assert.Assert(t, last.RoomRequest != nil)
	assert.Equal(t, last.RoomRequest.Total.CPU, 2000)
	b.Receive(b.now, "a",
		&peer.Frame{Reservation: &peer.Reservation{ID: 7, Room: task.Resources{CPU: 1500, MemoryMB: 100}}})
	last = b.frames["a"][len(b.frames["a"])-1]
	assert.Equal(t, last.UsedReservation, uint64(7))
	assert.Equal(t, len(last.Starts), 1)      // the second task does not fit
	assert.Assert(t, last.RoomRequest != nil) // so room for it is requested again
}

func TestReservationGoesToMostUrgentJob(t *testing.T) {
	b := newHarness(t, "a")
	b.submit(jobOf("full", 4))
	long := jobOf("long", 1)
	long.Queue = "long"
	long.Steps[0].Estimate = time.Second
	b.submit(long)
	b.submit(jobOf("short", 1))
	b.Receive(b.now, "a",
		&peer.Frame{Reservation: &peer.Reservation{ID: 1, Room: task.Resources{CPU: 1000, MemoryMB: 100}}})
	orders := b.starts("a")
	assert.Equal(t, orders[len(orders)-1].Task.Job, "short")
}

func TestStepWaitsForDependencies(t *testing.T) {
	b := newHarness(t, "a")
	j := jobOf("1", 2)
	j.Steps = append(j.Steps,
		task.Step{Count: 1, Needs: task.Resources{CPU: 1000}, Estimate: 100 * ms, DependsOn: []int{0}})
	b.submit(j)
	assert.Equal(t, len(b.starts("a")), 2)
	b.reportEnd("a", b.starts("a")[0], task.EndDone, code.RunListed)
	assert.Equal(t, len(b.starts("a")), 2)
	b.reportEnd("a", b.starts("a")[1], task.EndDone, code.RunListed)
	assert.Equal(t, len(b.starts("a")), 3)
	assert.Equal(t, b.starts("a")[2].Task.Step, 1)
}

func TestFailedRunIsRetriedUpToAttemptLimit(t *testing.T) {
	b := newHarness(t, "a", "b")
	b.submit(jobOf("1", 1))
	first := "a"
	if len(b.starts("b")) > 0 {
		first = "b"
	}
	second := map[string]string{"a": "b", "b": "a"}[first]
	b.reportEnd(first, b.starts(first)[0], task.EndFailed, code.RunListed)
	assert.Equal(t, len(b.starts(second)), 1)
	assert.Equal(t, b.starts(second)[0].Run, 2)
	assert.Assert(t, b.starts(second)[0].FailedElsewhere) // first failed at the other agent
	b.reportEnd(second, b.starts(second)[0], task.EndFailed, code.RunListed)
	assert.Equal(t, b.answers["1"].Kind, Failed)
	assert.Equal(t, b.answers["1"].Why, code.JobAttempts)
}

func TestRejectedOrderIsSentElsewhere(t *testing.T) {
	b := newHarness(t, "a", "b")
	b.reportState("b", 4000, 0.9, peer.Healthy)
	b.submit(jobOf("1", 1))
	b.reportEnd("a", b.starts("a")[0], task.EndRejected, code.RunNoRoom)
	assert.Equal(t, len(b.starts("b")), 1)
	assert.Equal(t, b.Stats().Rejected, uint64(1))
}

// Guards against repeated orders under a run number that the target rejects as stale.
func TestStaleRunNumberIsRaised(t *testing.T) {
	b := newHarness(t, "a", "b")
	b.reportState("b", 4000, 0.9, peer.Healthy)
	b.submit(jobOf("1", 1))
	b.reportEnd("a", b.starts("a")[0], task.EndRejected, code.RunStaleNumber)
	assert.Equal(t, b.starts("b")[0].Run, 3) // the rejected number doubled, plus one for the new run
}

// Guards against a task that runs on two targets at once.
func TestLostAgentTaskIsNotRestartedBeforeClearTime(t *testing.T) {
	b := newHarness(t, "a", "b")
	b.reportState("b", 4000, 0.9, peer.Healthy)
	j := jobOf("1", 1)
	j.ObjectiveFactor = 100
	b.submit(j)
	lost := b.now
	b.Disconnected(b.now, b.now, "a")
	for b.now < lost+ClearTime-20*ms {
		b.advance(20 * ms)
		assert.Equal(t, len(b.starts("b")), 0, "after %v", b.now-lost)
	}
	b.advance(40 * ms)
	assert.Equal(t, len(b.starts("b")), 1)
}

func TestClearedAgentReleasesTasksImmediately(t *testing.T) {
	b := newHarness(t, "a", "b")
	b.reportState("b", 4000, 0.9, peer.Healthy)
	b.submit(jobOf("1", 1))
	b.Disconnected(b.now, b.now, "a")
	b.now += 50 * ms
	b.Connected(b.now, "a")
	assert.Equal(t, len(b.starts("a"))+len(b.starts("b")), 1)
	b.reportState("a", 4000, 1, peer.Healthy)
	assert.Equal(t, len(b.starts("a"))+len(b.starts("b")), 2)
}

func TestResubmissionWaitsForRunsOfLostAgent(t *testing.T) {
	b := newHarness(t, "a", "b")
	b.reportState("b", 4000, 0.9, peer.Healthy)
	j := jobOf("1", 1)
	caller := b.submit(j)
	b.Disconnected(b.now, b.now, "a")
	b.RemoveCaller(b.now, "1", caller)
	b.advance(500 * ms)
	j.ObjectiveFactor = 100
	b.submit(j)
	assert.Equal(t, len(b.starts("b")), 0)
	b.advance(ClearTime)
	assert.Equal(t, len(b.starts("b")), 1)
}

func TestRunsStopWhenCallerDisconnects(t *testing.T) {
	b := newHarness(t, "a")
	caller := b.submit(jobOf("1", 2))
	b.RemoveCaller(b.now, "1", caller)
	var stops []task.Ref
	for _, f := range b.frames["a"] {
		stops = append(stops, f.Stops...)
	}
	assert.Equal(t, len(stops), 2)
	assert.Equal(t, b.Jobs(), 0)
}

// A refusal guarantees that nothing ran, so a started job must be given up instead.
func TestStartedJobIsNotRefused(t *testing.T) {
	b := newHarness(t, "a")
	b.submit(jobOf("started", 5)) // room for four of its tasks
	b.submit(jobOf("waiting", 1))
	b.advance(3 * time.Second)
	assert.Equal(t, b.answers["waiting"].Kind, Refused)
	assert.Assert(t, b.answers["waiting"].Retry > 0)
	assert.Equal(t, b.answers["started"].Kind, GivenUp)
}

func TestOverdueRunIsRetriedOnlyAfterItsEnd(t *testing.T) {
	b := newHarness(t, "a", "b")
	b.reportState("b", 4000, 0.9, peer.Healthy)
	j := jobOf("1", 1)
	j.ObjectiveFactor = 100
	b.submit(j)
	b.advance(2 * time.Second)
	o := b.starts("a")[0]
	assert.Equal(t, len(b.starts("b")), 0) // not before the end of the run is reported
	b.reportEnd("a", o, task.EndStopped, code.RunOwnerStops)
	assert.Equal(t, len(b.starts("b")), 1)
	assert.Equal(t, b.Stats().Moved, uint64(1))
}

func TestRunsOfEjectedTargetAreStopped(t *testing.T) {
	b := newHarness(t, "a", "b")
	b.reportState("b", 4000, 0.9, peer.Healthy)
	b.submit(jobOf("1", 2))
	before := len(b.frames["a"])
	b.reportState("a", 0, 1, peer.Ejected)
	stops := 0
	for _, f := range b.frames["a"][before:] {
		stops += len(f.Stops)
	}
	assert.Equal(t, stops, len(b.starts("a")))
}

func TestJobBeyondLimitIsRefused(t *testing.T) {
	b := newHarness(t)
	for k := range maxJobs {
		b.submit(jobOf(fmt.Sprint(k), 1))
	}
	assert.Equal(t, len(b.answers), 0)
	b.submit(jobOf("more", 1))
	assert.Equal(t, b.answers["more"].Kind, Refused)
	assert.Equal(t, b.answers["more"].Why, code.QueueFull)
	assert.Assert(t, b.answers["more"].Retry > 0)
	assert.Equal(t, b.Jobs(), maxJobs)
}

func TestCancelStopsRuns(t *testing.T) {
	b := newHarness(t, "a")
	b.submit(jobOf("1", 2))
	assert.Assert(t, b.cancel("1"))
	assert.Equal(t, b.answers["1"].Kind, Cancelled)
	last := b.frames["a"][len(b.frames["a"])-1]
	assert.Equal(t, len(last.Stops), 2)
	assert.Assert(t, !b.cancel("1"))
}

// Guards against runs for a caller whose timeout expires before they can end.
func TestJobIsRefusedWhenCallerTimeoutIsTooShort(t *testing.T) {
	b := newHarness(t, "a")
	j := jobOf("1", 2)
	j.CallerTimeout = 50 * ms // its tasks take 100 ms
	b.submit(j)
	assert.Equal(t, b.answers["1"].Kind, Refused)
	assert.Equal(t, b.answers["1"].Why, code.JobCallerTimeout)
	assert.Equal(t, len(b.starts("a")), 0)
	j = jobOf("2", 2)
	j.CallerTimeout = 150 * ms
	b.submit(j)
	assert.Equal(t, len(b.starts("a")), 2)
}

// A rejection by the agent itself means that nothing ran, so the job may still be refused.
func TestJobWithOnlyRejectedOrdersIsRefused(t *testing.T) {
	for why, kind := range map[code.Code]Kind{
		code.RunNoRoom: Refused, code.RunTargetNotAccepting: Refused, code.RunStaleOwner: Refused,
		// the order may have reached a target
		code.RunAbsent: GivenUp, code.RunPresent: GivenUp, code.RunStaleNumber: GivenUp,
	} {
		b := newHarness(t, "a")
		b.submit(jobOf("1", 1))
		b.reportState("a", 0, 1, peer.Healthy)
		b.reportEnd("a", b.starts("a")[0], task.EndRejected, why)
		assert.Equal(t, len(b.answers), 0)
		b.advance(3 * time.Second)
		assert.Equal(t, b.answers["1"].Kind, kind, why.String())
	}
}

func TestAnsweredJobReportsStagesAndCause(t *testing.T) {
	b := newHarness(t, "a")
	took := make(map[stage.Stage][]time.Duration)
	var causes []code.Code
	b.ObserveStage = func(s stage.Stage, d time.Duration) { took[s] = append(took[s], d) }
	b.CountAnswer = func(why code.Code) { causes = append(causes, why) }
	b.reportState("a", 1000, 1, peer.Healthy)
	b.submit(jobOf("1", 2)) // room for one of its tasks
	first := b.starts("a")[0]
	b.now += 30 * ms
	b.reportState("a", 1000, 1, peer.Healthy)
	second := b.starts("a")[1]
	b.now += 70 * ms
	b.reportEnd("a", first, task.EndDone, code.RunListed)
	b.reportEnd("a", second, task.EndDone, code.RunListed)
	assert.DeepEqual(t, took[stage.Waiting], []time.Duration{0})
	assert.DeepEqual(t, took[stage.Placing], []time.Duration{30 * ms})
	assert.DeepEqual(t, took[stage.Running], []time.Duration{100 * ms, 70 * ms})
	assert.DeepEqual(t, causes, []code.Code{code.JobAllDone})
}
