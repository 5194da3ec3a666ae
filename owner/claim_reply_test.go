package owner

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/task"
)

// TestOldRefusalDoesNotEndStartedJob guards against a caller that is told "not run" of a job that is
// running: one of its homes is lost, and the next one still has the refusal of an earlier submission.
func TestOldRefusalDoesNotEndStartedJob(t *testing.T) {
	b := newClaimHarness(t, 6)
	b.submit(jobOf("1", 1))
	homes := b.grantAll("1")
	assert.Equal(t, len(b.allStarts()), 1)
	b.Disconnected(b.now, b.now, homes[0].name)
	for _, a := range b.homesOf("1") {
		if a != homes[1] {
			b.reply(a, claim.Reply{Job: "1", State: claim.Answered, Outcome: claim.Refused, Retry: time.Second})
		}
	}
	_, answered := b.answers["1"]
	assert.Assert(t, !answered, "answered %+v", b.answers["1"])
	b.endAll(task.EndDone)
	assert.Equal(t, b.answers["1"].Kind, Completed)
}

// TestOldRefusalOfJobThatMayHaveRun guards against a caller that is told "not run" by the refusal of one
// submission, although a home reports that another submission may have run.
func TestOldRefusalOfJobThatMayHaveRun(t *testing.T) {
	b := newClaimHarness(t, 6)
	b.submit(jobOf("1", 1))
	homes := b.homesOf("1")
	b.reply(homes[0], claim.Reply{Job: "1", State: claim.Granted, Ran: true})
	b.reply(homes[1], claim.Reply{Job: "1", State: claim.Answered, Outcome: claim.Refused, Retry: time.Second})
	assert.Equal(t, b.answers["1"].Kind, GivenUp)
	assert.Equal(t, len(b.allStarts()), 0)

	b.submit(jobOf("2", 1))
	b.reply(b.homesOf("2")[0], claim.Reply{Job: "2", State: claim.Held})
	b.reply(b.homesOf("2")[0], claim.Reply{Job: "2", State: claim.Answered, Outcome: claim.Refused, Retry: time.Second})
	assert.Equal(t, b.answers["2"].Kind, Refused) // by the entry that held it
}

// TestReplyToVoidedClaimGrantsNothing guards against a job that starts at two entries: a home was silent and
// is asked again, and its reply to the first claim, which was released in between, counts as the
// reply to the second one.
func TestReplyToVoidedClaimGrantsNothing(t *testing.T) {
	b := newClaimHarness(t, 6)
	b.submit(jobOf("1", 1))
	homes := b.homesOf("1")
	silent := homes[0]
	b.reply(homes[1], claim.Reply{Job: "1", State: claim.Granted})
	b.awaitClaimTimeout(silent)
	replacement := slices.DeleteFunc(b.homesOf("1"), func(a *agent) bool { return a == homes[1] })[0]
	b.reply(silent, claim.Reply{Job: "1", State: claim.Granted})
	assert.Assert(t, b.jobs["1"].hasHome(silent))
	b.reply(replacement, claim.Reply{Job: "1", State: claim.Granted})
	assert.Equal(t, len(b.allStarts()), 0, "started by the reply to a claim that was released")
	b.reply(silent, claim.Reply{Job: "1", State: claim.Granted})
	assert.Equal(t, len(b.allStarts()), 1)
}

// TestReplyToClaimOfEarlierSubmissionGrantsNothing guards against a job that starts at two entries: it was
// dropped before a home replied, was submitted again, and the home's reply to the first claim counts as
// the reply to the second one.
func TestReplyToClaimOfEarlierSubmissionGrantsNothing(t *testing.T) {
	b := newClaimHarness(t, 6)
	b.submit(jobOf("1", 1))
	homes := b.homesOf("1")
	b.reply(homes[0], claim.Reply{Job: "1", State: claim.Granted})
	b.answer(b.now, b.jobs["1"], Answer{Kind: Refused, Retry: time.Second})
	b.submit(jobOf("1", 1))
	b.reply(homes[0], claim.Reply{Job: "1", State: claim.Granted})
	b.reply(homes[1], claim.Reply{Job: "1", State: claim.Granted}) // to the first claim
	assert.Equal(t, len(b.allStarts()), 0)
	for _, a := range b.homesOf("1") {
		if a != homes[1] {
			b.reply(a, claim.Reply{Job: "1", State: claim.Granted})
		}
	}
	assert.Equal(t, len(b.allStarts()), 0)
	b.reply(homes[1], claim.Reply{Job: "1", State: claim.Held})
	b.advance(60 * ms)
	assert.Equal(t, len(b.allStarts()), 0)
}

// TestReclaimWaitsForReplyToFirstClaim guards against a job that starts at two entries: it was submitted
// again while runs of its first submission were ending, and is claimed again when they have ended; a reply
// to the claim before, which the home has released by then, must not count.
func TestReclaimWaitsForReplyToFirstClaim(t *testing.T) {
	b := newClaimHarness(t, 6)
	b.submit(jobOf("1", 1))
	homes := b.grantAll("1")
	assert.Equal(t, len(b.allStarts()), 1)
	b.answer(b.now, b.jobs["1"], Answer{Kind: GivenUp, Retry: time.Second})
	b.submit(jobOf("1", 1))
	b.endAll(task.EndStopped)
	for _, a := range homes {
		b.reply(a, claim.Reply{Job: "1", State: claim.Granted})
	}
	for _, a := range b.homesOf("1") {
		if a != homes[0] && a != homes[1] {
			b.reply(a, claim.Reply{Job: "1", State: claim.Granted})
		}
	}
	assert.Equal(t, len(b.allStarts()), 1, "started by the replies to claims that were released")
	for _, a := range homes {
		b.reply(a, claim.Reply{Job: "1", State: claim.Granted})
	}
	assert.Equal(t, len(b.allStarts()), 2)
}
