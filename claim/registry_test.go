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
