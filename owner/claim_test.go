package owner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// newClaimHarness returns an owner connected to agents that support claims, alternating between
// two data halls.
func newClaimHarness(t *testing.T, agents int) *harness {
	t.Helper()
	b := newHarness(t)
	for k := range agents {
		name := fmt.Sprintf("side-%d", k)
		b.Connected(b.now, name)
		b.Receive(b.now, name, &peer.Frame{Hello: &peer.Hello{Role: peer.RoleAgent, Level: peer.LevelNewest}})
		b.reportStateIn(name, []string{"mtm", "sulph"}[k%2])
	}
	b.advance(startupIsolationTime)
	for _, a := range b.byName {
		b.beginWatch(b.now, a)
		b.reportStateIn(a.name, a.profile.Hall)
	}
	return b
}

// reply has a home reply to a claim.
func (b *harness) reply(a *agent, r claim.Reply) {
	b.Receive(b.now, a.name, &peer.Frame{Claimed: []claim.Reply{r}})
}

// homesOf returns the agents at which a job is claimed, lowest rank first.
func (b *harness) homesOf(id string) []*agent {
	var list []*agent
	for _, h := range b.jobs[id].homes {
		list = append(list, h.agent)
	}
	return list
}

// grantAll has the homes of a job grant the claim.
func (b *harness) grantAll(id string) []*agent {
	homes := b.homesOf(id)
	for _, a := range homes {
		b.reply(a, claim.Reply{Job: id, State: claim.Granted})
	}
	return homes
}

// allStarts returns the start orders sent to all agents.
func (b *harness) allStarts() []task.Order {
	var list []task.Order
	for _, a := range b.byName {
		list = append(list, b.starts(a.name)...)
	}
	return list
}

// settled returns the settlements sent to an agent, including those in its next frame.
func (b *harness) settled(a *agent) []claim.Settlement {
	var list []claim.Settlement
	for _, f := range b.frames[a.name] {
		list = append(list, f.Settled...)
	}
	return append(list, a.out.Settled...)
}

// awaitClaimTimeout lets the claim timeout pass, in which all agents but one send frames.
func (b *harness) awaitClaimTimeout(silent *agent) {
	for range DefaultClaimTimeout/TickInterval + 2 {
		b.now += TickInterval
		for _, a := range b.byName {
			if a != silent {
				b.Receive(b.now, a.name, &peer.Frame{})
			}
		}
		b.Tick(b.now)
	}
}

// endAll reports the end of the runs of all orders so far.
func (b *harness) endAll(end task.End) {
	for _, a := range b.byName {
		for _, o := range b.starts(a.name) {
			b.reportEnd(a.name, o, end, code.RunListed)
		}
	}
}

func TestJobStartsOnlyAfterAllHomesGrant(t *testing.T) {
	b := newClaimHarness(t, 6)
	b.submit(jobOf("1", 1))
	homes := b.homesOf("1")
	assert.Equal(t, len(homes), DefaultHomes)
	assert.Assert(t, homes[0].profile.Hall != homes[1].profile.Hall)
	b.reply(homes[0], claim.Reply{Job: "1", State: claim.Granted})
	assert.Equal(t, len(b.allStarts()), 0)
	b.reply(homes[1], claim.Reply{Job: "1", State: claim.Granted})
	assert.Equal(t, len(b.allStarts()), 1)
	b.endAll(task.EndDone)
	assert.Equal(t, b.answers["1"].Kind, Completed)
	for _, a := range homes {
		assert.DeepEqual(t, b.settled(a),
			[]claim.Settlement{{Job: "1", Outcome: claim.Completed, Why: code.JobAllDone, Clear: true}})
	}
}

// Entries that choose different homes could both start the same job.
func TestHomesDoNotDependOnConnectionOrder(t *testing.T) {
	first, second := newClaimHarness(t, 9), newHarness(t)
	for k := 8; k >= 0; k-- {
		name := fmt.Sprintf("side-%d", k)
		second.Connected(second.now, name)
		second.Receive(second.now, name, &peer.Frame{Hello: &peer.Hello{Role: peer.RoleAgent, Level: peer.LevelNewest}})
		second.reportStateIn(name, []string{"mtm", "sulph"}[k%2])
	}
	for n := range 50 {
		id := fmt.Sprintf("%016x", n)
		first.submit(jobOf(id, 1))
		second.submit(jobOf(id, 1))
		for k, a := range first.homesOf(id) {
			assert.Equal(t, a.name, second.homesOf(id)[k].name)
		}
	}
}

// Guards against a second start of a job that another entry holds, and against refusing such a
// job as if nothing had run.
func TestHeldJobIsJoinedAndNotStarted(t *testing.T) {
	b := newClaimHarness(t, 6)
	b.submit(jobOf("1", 1))
	homes := b.homesOf("1")
	b.reply(homes[0], claim.Reply{Job: "1", State: claim.Held})
	b.reply(homes[1], claim.Reply{Job: "1", State: claim.Held})
	b.advance(60 * ms)
	assert.Equal(t, len(b.allStarts()), 0)
	b.reply(homes[1], claim.Reply{Job: "1", State: claim.Answered, Outcome: claim.Completed, Why: code.JobAllDone})
	assert.DeepEqual(t, b.answers["1"], Answer{Kind: Completed, Why: code.JobAllDone})

	b.submit(jobOf("2", 1))
	b.reply(b.homesOf("2")[0], claim.Reply{Job: "2", State: claim.Held})
	b.advance(3 * time.Second)
	assert.Equal(t, b.answers["2"].Kind, GivenUp)
	assert.Equal(t, b.Stats().Joined, uint64(2))
}

// Guards against a joined job that never starts after its homes have granted the claim.
func TestJoinedJobStartsAfterTakeover(t *testing.T) {
	b := newClaimHarness(t, 6)
	b.submit(jobOf("1", 1))
	homes := b.homesOf("1")
	b.reply(homes[1], claim.Reply{Job: "1", State: claim.Held})
	b.reply(homes[0], claim.Reply{Job: "1", State: claim.Granted})
	assert.Equal(t, len(b.allStarts()), 0)
	b.reply(homes[1], claim.Reply{Job: "1", State: claim.Granted})
	assert.Equal(t, len(b.allStarts()), 1)
}

// Guards against a deadlock of two entries that each hold one home of a job.
func TestLaterHomeIsReleasedOnConflict(t *testing.T) {
	b := newClaimHarness(t, 6)
	b.submit(jobOf("1", 1))
	homes := b.homesOf("1")
	b.reply(homes[1], claim.Reply{Job: "1", State: claim.Granted})
	b.reply(homes[0], claim.Reply{Job: "1", State: claim.Held})
	assert.DeepEqual(t, b.settled(homes[1]), []claim.Settlement{{Job: "1", Clear: true, Ran: true}})
	b.reply(homes[0], claim.Reply{Job: "1", State: claim.Granted})
	assert.Equal(t, len(b.allStarts()), 0) // the other home is claimed again
	b.grantAll("1")
	assert.Equal(t, len(b.allStarts()), 1)
}

// Guards against a job that keeps running at two entries after conflicting claims.
func TestRunningJobYieldsAfterContestTimeout(t *testing.T) {
	b := newClaimHarness(t, 6)
	b.submit(jobOf("1", 1))
	homes := b.grantAll("1")
	assert.Equal(t, len(b.allStarts()), 1)
	b.reply(homes[1], claim.Reply{Job: "1", State: claim.Held}) // higher rank: the other entry yields
	assert.Equal(t, b.Stats().Yielded, uint64(0))
	b.reply(homes[0], claim.Reply{Job: "1", State: claim.Held})
	assert.Equal(t, b.Stats().Yielded, uint64(0)) // the other entry may have started nothing
	b.advance(contestTimeout + TickInterval)
	assert.Equal(t, b.Stats().Yielded, uint64(1))
	stops := 0
	for _, a := range b.byName {
		for _, f := range b.frames[a.name] {
			stops += len(f.Stops)
		}
	}
	assert.Equal(t, stops, 1)
	b.endAll(task.EndStopped)
	last := b.settled(homes[1])
	assert.DeepEqual(t, last[len(last)-1], claim.Settlement{Job: "1", Clear: true, Ran: true})
	assert.Equal(t, len(b.allStarts()), 1)
}

// Guards against a stop of running tasks for an entry that has started nothing, and against an
// entry that does not release a job it has not started.
func TestRunningJobContinuesAfterTransfer(t *testing.T) {
	b := newClaimHarness(t, 6)
	b.submit(jobOf("1", 1))
	homes := b.grantAll("1")
	b.reply(homes[0], claim.Reply{Job: "1", State: claim.Held})
	b.reply(homes[0], claim.Reply{Job: "1", State: claim.Granted})
	b.advance(contestTimeout + TickInterval)
	assert.Equal(t, b.Stats().Yielded, uint64(0))

	b.submit(jobOf("2", 1)) // not started here, so it is transferred to the other entry
	homes = b.homesOf("2")
	b.reply(homes[0], claim.Reply{Job: "2", State: claim.Granted})
	b.reply(homes[1], claim.Reply{Job: "2", State: claim.Held})
	b.Receive(b.now, homes[0].name, &peer.Frame{Interests: []claim.Interest{{Job: "2", Waits: true, Begun: true}}})
	assert.DeepEqual(t, b.settled(homes[0])[0], claim.Settlement{Job: "2", Clear: true, Ran: true})
	last := b.frames[homes[0].name][len(b.frames[homes[0].name])-1]
	assert.Equal(t, len(last.Claims), 1) // joins the job at the home
}

// Guards against a job that waits forever for a silent home, and a home that stays excluded after
// it has sent a frame.
func TestSilentHomeIsReplacedAndRestored(t *testing.T) {
	b := newClaimHarness(t, 6)
	b.submit(jobOf("1", 1))
	homes := b.homesOf("1")
	silent := homes[0]
	b.reply(homes[1], claim.Reply{Job: "1", State: claim.Granted})
	b.awaitClaimTimeout(silent)
	assert.Assert(t, !b.jobs["1"].hasHome(silent))
	b.grantAll("1")
	assert.Equal(t, len(b.allStarts()), 1)
	b.Receive(b.now, silent.name, &peer.Frame{})
	assert.Assert(t, silent.mayBeHome())
	assert.Equal(t, b.Stats().SilentHomes, uint64(1))
}

// Guards against new jobs at an isolated entry: other entries may choose other homes for them.
func TestIsolatedEntryStartsNoNewJobs(t *testing.T) {
	b := newClaimHarness(t, 5)
	for n := range 20 {
		b.submit(jobOf(fmt.Sprint(n), 1))
	}
	responsive := b.byName[0]
	for range DefaultClaimTimeout/TickInterval + 2 {
		b.now += TickInterval
		b.Receive(b.now, responsive.name, &peer.Frame{})
		b.Tick(b.now)
	}
	assert.Assert(t, b.Isolated())
	granted := 0
	for n := range 20 {
		if b.jobs[fmt.Sprint(n)] != nil { // not refused since
			granted += len(b.grantAll(fmt.Sprint(n)))
		}
	}
	assert.Assert(t, granted > 0)
	assert.Equal(t, len(b.allStarts()), 0)
	for _, a := range b.byName {
		b.Receive(b.now, a.name, &peer.Frame{})
	}
	b.Tick(b.now)
	assert.Assert(t, !b.Isolated())
}

// Guards against a second start of a job, here or elsewhere, while dropped runs are active.
func TestDroppedJobIsClearedOnlyAfterRunsEnd(t *testing.T) {
	b := newClaimHarness(t, 6)
	caller := b.submit(jobOf("1", 1))
	homes := b.grantAll("1")
	b.RemoveCaller(b.now, "1", caller)
	assert.Equal(t, len(b.settled(homes[0])), 0)
	b.submit(jobOf("1", 1))
	b.grantAll("1")
	assert.Equal(t, len(b.allStarts()), 1)
	b.endAll(task.EndStopped)
	assert.DeepEqual(t, b.settled(homes[0]), []claim.Settlement{{Job: "1", Clear: true, Ran: true}})
	assert.Equal(t, len(b.allStarts()), 1) // not before it is claimed again
	b.grantAll("1")
	assert.Equal(t, len(b.allStarts()), 2)
}

// Guards against the stop of a job whose local caller has left while another entry waits for
// it.
func TestJobContinuesForRemoteWaiter(t *testing.T) {
	b := newClaimHarness(t, 6)
	caller := b.submit(jobOf("1", 1))
	homes := b.grantAll("1")
	b.Receive(b.now, homes[0].name, &peer.Frame{Interests: []claim.Interest{{Job: "1", Waits: true}}})
	b.RemoveCaller(b.now, "1", caller)
	assert.Equal(t, b.Jobs(), 1)
	b.endAll(task.EndDone)
	assert.Equal(t, b.Stats().Completed, uint64(1))
	assert.Equal(t, b.settled(homes[0])[0].Outcome, claim.Completed)

	caller = b.submit(jobOf("2", 1))
	homes = b.grantAll("2")
	b.Receive(b.now, homes[0].name, &peer.Frame{Interests: []claim.Interest{{Job: "2", Waits: true}}})
	b.RemoveCaller(b.now, "2", caller)
	b.Receive(b.now, homes[0].name, &peer.Frame{Interests: []claim.Interest{{Job: "2"}}})
	assert.Equal(t, b.Jobs(), 0)
}

// Guards against cancellations that do not reach the entry that owns the job, and against callers
// that get no answer if no home replies.
func TestCancellationReachesOtherEntries(t *testing.T) {
	b := newClaimHarness(t, 6)
	var answers []bool
	cancel := func(id string) { b.CancelJob(b.now, id, func(cancelled bool) { answers = append(answers, cancelled) }) }
	reply := func(id string, state claim.State) {
		for _, a := range b.byName {
			for _, f := range b.frames[a.name] {
				for _, c := range f.Claims {
					if c.Job == id && c.Cancel {
						b.reply(a, claim.Reply{Job: id, State: state})
					}
				}
			}
		}
	}
	cancel("elsewhere")
	reply("elsewhere", claim.Cancelling)
	cancel("nowhere")
	reply("nowhere", claim.Unknown)
	cancel("silent")
	b.advance(cancelTimeout)
	assert.DeepEqual(t, answers, []bool{true, false, false})

	b.submit(jobOf("here", 1))
	homes := b.grantAll("here")
	b.Receive(b.now, homes[0].name, &peer.Frame{Interests: []claim.Interest{{Job: "here", Cancel: true}}})
	assert.Equal(t, b.answers["here"].Kind, Cancelled)
}

// Guards against the loss of a reservation that arrives before the claim is granted.
func TestReservationIsKeptDuringClaim(t *testing.T) {
	b := newClaimHarness(t, 6)
	for _, a := range b.byName {
		b.beginWatch(b.now, a)
		b.Receive(b.now, a.name, &peer.Frame{State: &peer.State{
			Free: task.Resources{CPU: 2000, MemoryMB: 50}, Speed: 1, Accepting: true, Cleared: true, SeenSeq: b.seq}})
	}
	b.submit(jobOf("1", 1))
	var from *agent
	for _, a := range b.byName {
		if a.roomRequested {
			from = a
		}
	}
	room := &peer.Reservation{ID: 7, Room: task.Resources{CPU: 1000, MemoryMB: 50}}
	b.Receive(b.now, from.name, &peer.Frame{Reservation: room})
	assert.Equal(t, len(b.allStarts()), 0)
	b.grantAll("1")
	assert.Equal(t, len(b.starts(from.name)), 1)

	b.submit(jobOf("2", 1))
	b.Receive(b.now, from.name, &peer.Frame{Reservation: &peer.Reservation{ID: 8, Room: room.Room}})
	b.advance(reservationKeepTime + TickInterval)
	last := uint64(0)
	for _, f := range b.frames[from.name] {
		last = max(last, f.UsedReservation)
	}
	assert.Equal(t, last, uint64(8)) // reservation returned
}

// Guards against answers that are lost when the process exits.
func TestLeaveFlushesSettlements(t *testing.T) {
	b := newClaimHarness(t, 6)
	b.submit(jobOf("1", 1))
	homes := b.grantAll("1")
	b.endAll(task.EndDone)
	assert.Equal(t, len(homes[0].out.Settled), 1) // waits for the next frame
	b.BeginShutdown(b.now)
	assert.Equal(t, len(homes[0].out.Settled), 0)
}

// Guards against jobs that never start during an upgrade, before any agent supports claims.
func TestJobsStartUnclaimedWithLegacyAgents(t *testing.T) {
	b := newHarness(t, "a", "b")
	b.submit(jobOf("1", 1))
	assert.Equal(t, len(b.allStarts()), 1)
}

// TestGivenUpJobWithoutRunsReportedAsRun guards against homes that forget that a job has run if
// it is given up while none of its tasks is running.
func TestGivenUpJobWithoutRunsReportedAsRun(t *testing.T) {
	b := newClaimHarness(t, 2)
	b.submit(jobOf("1", 1))
	homes := b.grantAll("1")
	for _, a := range b.byName {
		a.state.Accepting = false
	}
	b.endAll(task.EndStopped)
	b.endEarly(b.now, b.jobs["1"], code.JobTooLate)
	assert.Equal(t, b.answers["1"].Kind, GivenUp)
	for _, a := range homes {
		list := b.settled(a)
		last := list[len(list)-1]
		assert.Assert(t, last.Outcome == claim.GivenUp && last.Clear && last.Ran, "%+v", last)
	}
}

// TestReleasedClaimsReportLosses guards against homes that do not learn from an entry that
// releases a claim that the job has run and how many runs it has lost.
func TestReleasedClaimsReportLosses(t *testing.T) {
	for _, release := range []string{"transfer", "silent home", "other holder"} {
		t.Run(release, func(t *testing.T) {
			b := newClaimHarness(t, 4)
			b.submit(jobOf("1", 1))
			j, homes := b.jobs["1"], b.homesOf("1")
			b.reply(homes[0], claim.Reply{Job: "1", State: claim.Granted, Ran: true, Losses: 2})
			released := homes[1]
			switch release {
			case "transfer":
				b.transferClaim(b.now, j, released)
			case "silent home":
				released.silentSince = b.now
				b.loseHome(b.now, released)
			case "other holder":
				b.releaseLaterHomes(j, j.homes[0].rank)
			}
			list := b.settled(released)
			assert.Equal(t, len(list), 1)
			assert.Assert(t, list[0].Ran && list[0].Losses == 2, "%+v", list[0])
		})
	}
}

// TestJobWaitsForOneOfItsFirstHomes guards against a second run of a job at an entry that has lost
// both homes of the job, while another entry holds the job there.
func TestJobWaitsForOneOfItsFirstHomes(t *testing.T) {
	b := newClaimHarness(t, 6)
	b.submit(jobOf("1", 1))
	homes := b.homesOf("1")
	for _, a := range homes {
		b.Disconnected(b.now, b.now, a.name)
	}
	replacements := b.grantAll("1")
	assert.Equal(t, len(replacements), 2)
	b.advance(100 * ms)
	assert.Equal(t, len(b.allStarts()), 0)

	b.Connected(b.now, homes[1].name)
	b.Receive(b.now, homes[1].name, &peer.Frame{Hello: &peer.Hello{Role: peer.RoleAgent, Level: peer.LevelNewest}})
	b.reply(homes[1], claim.Reply{Job: "1", State: claim.Granted})
	assert.Equal(t, len(b.allStarts()), 1)
}
