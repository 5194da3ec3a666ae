package claim

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/beaconpoint/beaconpoint/code"
)

const (
	ms        = time.Millisecond
	clearTime = 1450 * ms // as peer.ClearTime, which this package cannot import
)

var a, b, c = Holder{"a", 1}, Holder{"b", 1}, Holder{"c", 1}

// harness is a registry that records its replies. Entry a uses connection 1, b connection 2
// and so on.
type harness struct {
	*Registry
	now       time.Duration
	replies   map[ConnID][]Reply
	interests map[ConnID][]Interest
	heard     map[ConnID]time.Duration
}

func newHarness() *harness {
	g := &harness{
		Registry: NewRegistry(clearTime, slog.New(slog.DiscardHandler)), now: time.Minute,
		replies:   make(map[ConnID][]Reply),
		interests: make(map[ConnID][]Interest),
		heard:     make(map[ConnID]time.Duration),
	}
	g.Reply = func(id ConnID, r Reply) { g.replies[id] = append(g.replies[id], r) }
	g.Tell = func(id ConnID, i Interest) { g.interests[id] = append(g.interests[id], i) }
	g.HeardAt = func(id ConnID) time.Duration { return g.heard[id] }
	return g
}

func (g *harness) claim(h Holder, conn ConnID, job string) Reply {
	before := len(g.replies[conn])
	g.Claim(g.now, h, conn, Claim{Job: job, MaxDuration: 10 * time.Second})
	if len(g.replies[conn]) == before {
		return Reply{}
	}
	return g.replies[conn][len(g.replies[conn])-1]
}

func (g *harness) lastReply(conn ConnID) Reply {
	list := g.replies[conn]
	if len(list) == 0 {
		return Reply{}
	}
	return list[len(list)-1]
}

func (g *harness) advance(d time.Duration) {
	for end := g.now + d; g.now < end; {
		g.now += 10 * ms
		g.Tick(g.now)
	}
}

func TestSecondEntryReceivesAnswer(t *testing.T) {
	g := newHarness()
	assert.Equal(t, g.claim(a, 1, "j").State, Granted)
	assert.Equal(t, g.claim(b, 2, "j").State, Held)
	assert.DeepEqual(t, g.interests[1], []Interest{{Job: "j", Waits: true}})
	g.Settle(g.now, a, Settlement{Job: "j", Outcome: Completed, Why: code.JobAllDone, Clear: true})
	assert.DeepEqual(t, g.lastReply(2), Reply{Job: "j", State: Answered, Outcome: Completed, Why: code.JobAllDone})
	g.advance(AnswerRetention - 20*ms)
	assert.Equal(t, g.claim(c, 3, "j").Outcome, Completed)
	g.advance(20 * ms)
	assert.Equal(t, g.claim(c, 3, "j").State, Granted)
}

// TestReleasedJobGrantedOnlyAfterRunsEnd guards against granting a released job to the next
// entry while runs of the previous holder are still active.
func TestReleasedJobGrantedOnlyAfterRunsEnd(t *testing.T) {
	g := newHarness()
	g.claim(a, 1, "j")
	g.claim(b, 2, "j")
	g.Settle(g.now, a, Settlement{Job: "j"})
	assert.Equal(t, g.lastReply(2).State, Held)
	g.Settle(g.now, a, Settlement{Job: "j", Clear: true, Ran: true})
	assert.DeepEqual(t, g.lastReply(2), Reply{Job: "j", State: Granted, Ran: true})
	assert.Equal(t, g.claim(c, 3, "j").State, Held)
}

func TestJobOfLostEntryTakenOverAfterClearTime(t *testing.T) {
	g := newHarness()
	g.claim(a, 1, "j")
	g.Disconnected(g.now, 1)
	assert.Equal(t, g.claim(b, 2, "j").State, Held)
	g.advance(clearTime - 10*ms)
	assert.Equal(t, g.lastReply(2).State, Held)
	g.advance(10 * ms)
	assert.DeepEqual(t, g.lastReply(2), Reply{Job: "j", State: Granted, Ran: true})
}

// TestReconnectedEntryKeepsJob guards against a takeover from an entry that reconnects, and
// against confusing it with a restarted entry.
func TestReconnectedEntryKeepsJob(t *testing.T) {
	g := newHarness()
	g.claim(a, 1, "j")
	g.Disconnected(g.now, 1)
	g.claim(b, 2, "j")
	assert.Equal(t, g.claim(Holder{"a", 2}, 4, "j").State, Held)
	assert.Equal(t, g.claim(a, 5, "j").State, Granted)
	g.heard[5] = g.now + ms
	g.advance(2 * clearTime)
	assert.Equal(t, g.lastReply(2).State, Held)
}

// TestSilentHolderDetectedAfterInterest guards against waiting forever for a holder whose
// connection is open but silent.
func TestSilentHolderDetectedAfterInterest(t *testing.T) {
	for _, alive := range []bool{false, true} {
		g := newHarness()
		g.claim(a, 1, "j")
		g.advance(time.Second)
		g.claim(b, 2, "j")
		if alive {
			g.heard[1] = g.now + 3*ms
		}
		g.advance(clearTime + 10*ms)
		assert.Equal(t, g.lastReply(2).State == Granted, !alive)
	}
}

// TestRefusalRetainedUntilRetryTime guards against running a delayed copy of a refused request.
func TestRefusalRetainedUntilRetryTime(t *testing.T) {
	g := newHarness()
	g.claim(a, 1, "j")
	g.Settle(g.now, a,
		Settlement{Job: "j", Outcome: Refused, Why: code.JobBacklogTooLong, Retry: time.Second, Clear: true})
	g.advance(400 * ms)
	assert.DeepEqual(t, g.claim(b, 2, "j"),
		Reply{Job: "j", State: Answered, Outcome: Refused, Why: code.JobBacklogTooLong, Retry: 600 * ms})
	g.advance(600 * ms)
	assert.DeepEqual(t, g.claim(b, 2, "j"), Reply{Job: "j", State: Granted})
}

// TestGivenUpJobGrantedAgainWithRan guards against waiting entries that do not receive the
// result, and against a later grant without Ran, which means that the job may have run.
func TestGivenUpJobGrantedAgainWithRan(t *testing.T) {
	g := newHarness()
	g.claim(a, 1, "j")
	g.claim(b, 2, "j")
	g.Settle(g.now, a, Settlement{Job: "j", Outcome: GivenUp, Why: code.JobTooLate, Retry: time.Second})
	assert.Equal(t, g.lastReply(2).Outcome, GivenUp)
	g.Settle(g.now, a, Settlement{Job: "j", Clear: true, Ran: true})
	assert.DeepEqual(t, g.claim(b, 2, "j"), Reply{Job: "j", State: Granted, Ran: true})
}

func TestCancellationReachesHolder(t *testing.T) {
	g := newHarness()
	g.Claim(g.now, b, 2, Claim{Job: "j", Cancel: true})
	assert.Equal(t, g.lastReply(2).State, Unknown)
	g.claim(a, 1, "j")
	g.claim(c, 3, "j")
	g.Claim(g.now, b, 2, Claim{Job: "j", Cancel: true})
	assert.Equal(t, g.lastReply(2).State, Cancelling)
	assert.DeepEqual(t, g.interests[1][len(g.interests[1])-1], Interest{Job: "j", Cancel: true})
	assert.Equal(t, g.lastReply(3).Outcome, Cancelled)
	assert.Equal(t, g.claim(b, 2, "j").Outcome, Cancelled)
}

// TestCancellationKeepsThatJobMayHaveRun guards against a claim that is granted as not run
// although an earlier submission of the job may have run.
func TestCancellationKeepsThatJobMayHaveRun(t *testing.T) {
	for name, cancel := range map[string]bool{"not cancelled": false, "cancelled": true} {
		t.Run(name, func(t *testing.T) {
			g := newHarness()
			assert.Equal(t, g.claim(a, 1, "j").State, Granted)
			g.Settle(g.now, a, Settlement{Job: "j", Outcome: GivenUp, Why: code.JobTooLate, Ran: true, Losses: 1, Clear: true})
			g.advance(100 * time.Millisecond)
			if cancel {
				g.Claim(g.now, c, 3, Claim{Job: "j", Cancel: true})
			}
			granted := g.claim(b, 2, "j")
			assert.Equal(t, granted.State, Granted)
			assert.Assert(t, granted.Ran)
			assert.Equal(t, granted.Losses, 1)
		})
	}
}

// TestCancellationOfRefusedJobReturnsRemainingDelay guards against callers that come back later than
// they were asked to.
func TestCancellationOfRefusedJobReturnsRemainingDelay(t *testing.T) {
	g := newHarness()
	g.claim(a, 1, "j")
	g.Settle(g.now, a, Settlement{Job: "j", Outcome: Refused, Retry: time.Second, Clear: true})
	g.advance(400 * ms)
	g.Claim(g.now, b, 2, Claim{Job: "j", Cancel: true})
	assert.DeepEqual(t, g.lastReply(2), Reply{Job: "j", State: Answered, Outcome: Refused, Retry: 600 * ms})
}

// TestLateAnswerReachesNewHolder guards against losing the answer of an entry that was
// presumed lost and whose job was taken over.
func TestLateAnswerReachesNewHolder(t *testing.T) {
	g := newHarness()
	g.claim(a, 1, "j")
	g.Disconnected(g.now, 1)
	g.claim(b, 2, "j")
	g.advance(clearTime)
	assert.Equal(t, g.lastReply(2).State, Granted)
	g.Settle(g.now, a, Settlement{Job: "j", Outcome: Completed, Clear: true})
	assert.Equal(t, g.lastReply(2).Outcome, Completed)
}

// TestAnswerAfterExpiryIsRetained guards against a second run of a job whose holder answered it
// after the claim had expired.
func TestAnswerAfterExpiryIsRetained(t *testing.T) {
	g := newHarness()
	g.claim(a, 1, "j")
	g.Disconnected(g.now, 1)
	g.advance(clearTime)
	g.Settle(g.now, a, Settlement{Job: "j", Outcome: Completed, Clear: true})
	assert.Equal(t, g.claim(b, 2, "j").Outcome, Completed)
	g.advance(AnswerRetention - 20*ms)
	assert.Equal(t, g.claim(b, 2, "j").Outcome, Completed)
	g.advance(20 * ms)
	assert.Equal(t, g.claim(b, 2, "j").State, Granted)
}

// TestExpiredReleaseGrantedWithRan guards against a grant as not run if the holder gave up the
// job and was lost before it reported its last run, and a claim arrives before the next tick.
func TestExpiredReleaseGrantedWithRan(t *testing.T) {
	g := newHarness()
	g.claim(a, 1, "j")
	g.Settle(g.now, a, Settlement{Job: "j", Outcome: GivenUp, Why: code.JobTooLate})
	g.Disconnected(g.now, 1)
	g.now += clearTime
	assert.DeepEqual(t, g.claim(b, 2, "j"), Reply{Job: "j", State: Granted, Ran: true})
}

// TestSettlementOfUnknownJobKeepsThatItMayHaveRun guards against a grant as not run by a home
// that has no record of the job when its last run is reported.
func TestSettlementOfUnknownJobKeepsThatItMayHaveRun(t *testing.T) {
	g := newHarness()
	g.Settle(g.now, a, Settlement{Job: "j", Clear: true, Ran: true, Losses: 2})
	g.Settle(g.now, a, Settlement{Job: "k", Clear: true})
	assert.Equal(t, g.Stats().Records, 1)
	g.advance(AnswerRetention - 20*ms)
	assert.DeepEqual(t, g.claim(b, 2, "j"), Reply{Job: "j", State: Granted, Ran: true, Losses: 2})
	assert.DeepEqual(t, g.claim(b, 2, "k"), Reply{Job: "k", State: Granted})
}

// TestLossesOfFormerHolderAreKept guards against a grant without the losses that an entry
// reports after its job was taken over.
func TestLossesOfFormerHolderAreKept(t *testing.T) {
	g := newHarness()
	g.claim(a, 1, "j")
	g.Disconnected(g.now, 1)
	g.advance(clearTime)
	g.claim(b, 2, "j")
	g.Settle(g.now, a, Settlement{Job: "j", Clear: true, Ran: true, Losses: 2})
	g.Settle(g.now, b, Settlement{Job: "j", Clear: true})
	assert.DeepEqual(t, g.claim(c, 3, "j"), Reply{Job: "j", State: Granted, Ran: true, Losses: 2})
}

// TestRecordCountBounded guards against a registry that grows without limit, and against the
// eviction of held claims.
func TestRecordCountBounded(t *testing.T) {
	g := newHarness()
	g.claim(a, 1, "held")
	for n := range 2 * maxRecords {
		job := fmt.Sprint(n)
		g.claim(a, 1, job)
		g.Settle(g.now, a, Settlement{Job: job, Outcome: Completed, Clear: true})
	}
	s := g.Stats()
	assert.Equal(t, s.Records, maxRecords)
	assert.Equal(t, s.Forgotten, uint64(maxRecords+1))
	assert.Equal(t, g.claim(b, 2, "held").State, Held)
	g.advance(AnswerRetention)
	assert.Equal(t, g.Stats().Records, 1)
}

// TestJobNeverHasTwoHolders guards against two holders of a job in random histories. An entry
// holds a job from its grant until it reports its last run, or for ClearTime after its loss.
func TestJobNeverHasTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newHarness()
		entries := []Holder{a, b, c}
		conns := []ConnID{1, 2, 3}
		next := ConnID(4)
		heldUntil := make(map[int]time.Duration) // by entry or lost process: until when its runs may be active
		const unbounded = time.Hour
		granted := make(map[ConnID]int)
		checkGrants := func() {
			for k, conn := range conns {
				list := g.replies[conn]
				for _, r := range list[granted[conn]:] {
					if r.State == Granted {
						for other, until := range heldUntil {
							assert.Assert(t, other == k || until <= g.now,
								"entry %d holds the job until %s, entry %d is granted it at %s", other, until, k, g.now)
						}
						heldUntil[k] = unbounded
					}
				}
				granted[conn] = len(list)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			k := rapid.IntRange(0, 2).Draw(t, "entry")
			g.heard[conns[k]] = g.now
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				g.Claim(g.now, entries[k], conns[k], Claim{Job: "j"})
			case 1:
				g.Settle(g.now, entries[k], Settlement{Job: "j"})
			case 2:
				delete(heldUntil, k)
				g.Settle(g.now, entries[k], Settlement{Job: "j", Clear: true, Ran: true})
			case 3: // the entry is lost and restarts
				g.Disconnected(g.now, conns[k])
				if heldUntil[k] == unbounded {
					// The runs of the lost process have a key above those of the entries. A later loss
					// may reuse the key, with a later time.
					heldUntil[len(heldUntil)+10] = g.now + clearTime
				}
				delete(heldUntil, k)
				entries[k].Boot++
				conns[k] = next
				next++
			case 4:
				for _, conn := range conns {
					g.heard[conn] = g.now + time.Hour // all connections are alive
				}
				g.advance(time.Duration(rapid.IntRange(1, 200).Draw(t, "wait")) * 10 * ms)
			}
			checkGrants()
		}
	})
}

func TestRanksSpreadJobsEvenly(t *testing.T) {
	const agents, jobs = 20, 4000
	count := make(map[int]int)
	for n := range jobs {
		job, best, least := Hash(fmt.Sprintf("%016x", n)), 0, Rank(0)
		for k := range agents {
			if r := RankOf(job, Hash(fmt.Sprintf("side-mtm-%d", k))); k == 0 || r < least {
				best, least = k, r
			}
		}
		count[best]++
	}
	for k := range agents {
		assert.Assert(t, count[k] > jobs/agents/2 && count[k] < jobs/agents*3/2,
			"agent %d is the first home of %d jobs", k, count[k])
	}
}

// reportModel is one job at one home, with entries that keep their processes.
type reportModel struct {
	*harness
	entries []Holder
	conns   []ConnID
	granted map[ConnID]int // grants and other replies already checked
	// holder is the entry of the last grant, -1 if none or if it has dropped the job. mayRefuse is
	// set while no run of the job has been reported to it or by it.
	holder    int
	mayRefuse bool
	// ranAt is when a holder last reported that the job may have run, and losses the highest
	// number that was reported with it.
	ranAt, doneAt time.Duration
	losses        int
	answered      bool // the home has recorded an answer that no retry may replace
}

func newReportModel() *reportModel {
	return &reportModel{
		harness: newHarness(), entries: []Holder{a, b, c}, conns: []ConnID{1, 2, 3},
		granted: make(map[ConnID]int), holder: -1,
	}
}

// checkGrants compares new grants with what holders have reported.
func (m *reportModel) checkGrants(t *rapid.T) {
	for k, conn := range m.conns {
		list := m.replies[conn]
		for _, r := range list[m.granted[conn]:] {
			if r.State != Granted {
				continue
			}
			if m.ranAt > 0 && m.now < m.ranAt+AnswerRetention {
				assert.Assert(t, r.Ran, "granted as not run %s after the report of a run", m.now-m.ranAt)
				assert.Assert(t, r.Losses >= m.losses, "granted with %d losses, %d were reported", r.Losses, m.losses)
			}
			assert.Assert(t, m.doneAt == 0 || m.now >= m.doneAt+AnswerRetention,
				"granted %s after it was completed", m.now-m.doneAt)
			m.holder, m.mayRefuse, m.answered = k, !r.Ran, false
		}
		m.granted[conn] = len(list)
	}
}

// reportRun lets the holder drop the job after a run.
func (m *reportModel) reportRun(outcome Outcome, losses int, clear bool) {
	m.mayRefuse = false
	if !m.answered {
		m.ranAt, m.losses = m.now, max(m.losses, losses)
	}
	s := Settlement{Job: "j", Outcome: outcome, Ran: true, Losses: losses, Clear: clear}
	m.Settle(m.now, m.entries[m.holder], s)
	if clear {
		m.holder = -1
	}
}

// complete lets the holder, which may be presumed lost, answer the job.
func (m *reportModel) complete() {
	m.mayRefuse = false
	if !m.answered {
		m.answered, m.doneAt = true, m.now
	}
	m.Settle(m.now, m.entries[m.holder], Settlement{Job: "j", Outcome: Completed, Ran: true, Clear: true})
}

// refuse lets the holder refuse the job.
func (m *reportModel) refuse() {
	m.Settle(m.now, m.entries[m.holder], Settlement{Job: "j", Outcome: Refused, Retry: time.Second, Clear: true})
	m.holder = -1
}

// cancel lets a caller of an entry cancel the job.
func (m *reportModel) cancel(k int) {
	m.Claim(m.now, m.entries[k], m.conns[k], Claim{Job: "j", Cancel: true})
	if m.lastReply(m.conns[k]).State == Cancelling {
		m.answered = true
	}
}

// reconnect replaces the connection of an entry whose process goes on.
func (m *reportModel) reconnect(k int) {
	m.Disconnected(m.now, m.conns[k])
	m.conns[k] += 10
}

// TestGrantsReportEarlierRuns guards against a home that forgets that a job has run, how many
// runs it lost, or that it was completed.
func TestGrantsReportEarlierRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newReportModel()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			k := rapid.IntRange(0, 2).Draw(t, "entry")
			what := rapid.IntRange(0, 8).Draw(t, "what")
			switch {
			case what == 0:
				m.claim(m.entries[k], m.conns[k], "j")
			case what == 1:
				m.cancel(k)
			case what == 2:
				m.reconnect(k)
			case what == 3:
				m.Settle(m.now, m.entries[k], Settlement{Job: "j", Clear: true})
			case what == 4:
				for _, conn := range m.conns {
					m.heard[conn] = m.now + time.Hour // all connections are alive
				}
				m.advance(time.Duration(rapid.IntRange(1, 200).Draw(t, "wait")) * 10 * ms)
			case m.holder < 0:
			case what == 5:
				m.reportRun(GivenUp, rapid.IntRange(0, 3).Draw(t, "losses"), rapid.Bool().Draw(t, "clear"))
			case what == 6:
				m.reportRun(None, rapid.IntRange(0, 3).Draw(t, "losses"), rapid.Bool().Draw(t, "clear"))
			case what == 7:
				m.complete()
			case what == 8 && m.mayRefuse:
				m.refuse()
			}
			m.checkGrants(t)
		}
	})
}

// TestRefusalIsVoidOnceJobHasStarted guards against a caller that is told "not run" of a job that is
// running: a home that the running entry asks anew still has the refusal of an earlier submission.
func TestRefusalIsVoidOnceJobHasStarted(t *testing.T) {
	g := newHarness()
	assert.Equal(t, g.claim(a, 1, "j").State, Granted)
	g.Settle(g.now, a, Settlement{Job: "j", Outcome: Refused, Retry: 5 * time.Second, Clear: true})
	assert.Equal(t, g.claim(b, 2, "j").Outcome, Refused)
	g.heard[2] = g.now + time.Hour // alive
	g.Claim(g.now, b, 2, Claim{Job: "j", MaxDuration: time.Minute, Begun: true})
	assert.Equal(t, g.lastReply(2).State, Granted)
	assert.Assert(t, g.lastReply(2).Ran)
	assert.Equal(t, g.claim(c, 3, "j").State, Held)
	g.advance(AnswerRetention) // the void refusal leaves the claim in place
	assert.Equal(t, g.claim(c, 3, "j").State, Held)
}
