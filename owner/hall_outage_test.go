package owner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
)

// advanceWith lets time pass while the selected agents send frames.
func (b *harness) advanceWith(d time.Duration, responds func(k int) bool) {
	for end := b.now + d; b.now < end; {
		b.now += TickInterval
		for k, a := range b.byName {
			if responds(k) {
				b.Receive(b.now, a.name, &peer.Frame{})
			}
		}
		b.Tick(b.now)
	}
}

// inFirstHall reports whether the k-th agent of newClaimHarness is in hall mtm.
func inFirstHall(k int) bool {
	return k%2 == 0
}

func all(int) bool { return true }

// Guards against tasks that stay in a lost hall: the hall must get no heartbeats and its
// connections must be closed until one of its agents sends a frame.
func TestUnresponsiveHallIsSuspected(t *testing.T) {
	b := newClaimHarness(t, 8)
	b.lastJobAt = b.now // keeps agents watched
	b.advanceWith(time.Second, all)
	b.advanceWith(unresponsiveTime, func(k int) bool { return !inFirstHall(k) })
	assert.Equal(t, b.SuspectedHalls(), 0)
	b.advanceWith(TickInterval, func(k int) bool { return !inFirstHall(k) })
	assert.Equal(t, b.SuspectedHalls(), 1)
	before := len(b.frames[b.byName[0].name])
	b.now += 200 * ms
	b.Heartbeats(b.now)
	for k, a := range b.byName {
		assert.Equal(t, b.ShouldClose(b.now, a.name), inFirstHall(k))
	}
	assert.Equal(t, len(b.frames[b.byName[0].name]), before)
	b.advanceWith(TickInterval, all)
	assert.Equal(t, b.SuspectedHalls(), 0)
}

// Guards against a suspicion of a hall with one responsive agent, or by an entry that is itself
// cut off.
func TestHallIsNotSuspectedOnPartialSilence(t *testing.T) {
	for name, responds := range map[string]func(int) bool{
		"one agent of the hall": func(k int) bool { return k == 0 || !inFirstHall(k) },
		"no agent":              func(int) bool { return false },
	} {
		b := newClaimHarness(t, 8)
		b.lastJobAt = b.now
		b.advanceWith(time.Second, all)
		b.advanceWith(time.Second, responds)
		assert.Equal(t, b.SuspectedHalls(), 0, name)
		b.advanceWith(2*TickInterval, func(k int) bool { return !inFirstHall(k) }) // the other hall responds first
		assert.Equal(t, b.SuspectedHalls(), 0, name)
	}
}

// Jobs that can't wait for ClearTime are given up at once; others must continue.
func TestJobsTooLateForClearTimeAreGivenUp(t *testing.T) {
	b := newClaimHarness(t, 8)
	b.lastJobAt = b.now
	b.advanceWith(time.Second, all)
	for n := range 4 {
		b.now += ms // avoids refusals in the backlog
		short, long := jobOf(fmt.Sprint("short-", n), 1), jobOf(fmt.Sprint("long-", n), 1)
		long.ObjectiveFactor = 30
		for _, j := range []string{short.ID, long.ID} {
			desc := short
			if j == long.ID {
				desc = long
			}
			b.submit(desc)
			b.grantAll(j)
		}
	}
	inHall := make(map[string]bool)
	for k, a := range b.byName {
		for _, o := range b.starts(a.name) {
			inHall[o.Task.Job] = inFirstHall(k)
		}
	}
	b.advanceWith(unresponsiveTime+TickInterval, func(k int) bool { return !inFirstHall(k) })
	assert.Equal(t, b.SuspectedHalls(), 1)
	givenUp := 0
	for n := range 4 {
		short, long := fmt.Sprint("short-", n), fmt.Sprint("long-", n)
		assert.Equal(t, b.answers[long].Why, code.OK)
		there, started := inHall[short]
		if !started {
			continue // still waits for room
		}
		if there {
			givenUp++
			assert.Equal(t, b.answers[short].Why, code.JobHallLost)
			assert.Equal(t, b.answers[short].Kind, GivenUp)
			assert.Assert(t, b.answers[short].Retry >= minRetryAfter)
			continue
		}
		assert.Equal(t, b.answers[short].Why, code.OK)
	}
	assert.Assert(t, givenUp > 0)
}

// Guards against isolation of an entry that reaches most agents of one hall, and against an entry
// that reaches only a few agents of each hall and is not isolated.
func TestEntryWithReachableHallIsNotIsolated(t *testing.T) {
	for name, c := range map[string]struct {
		responds func(k int) bool
		isolated bool
	}{
		"one hall":                  {func(k int) bool { return k%3 == 0 }, false},
		"a few agents of each hall": {func(k int) bool { return k < 3 }, true},
		"half of one hall":          {func(k int) bool { return k%6 == 0 }, true},
		"one hall except one agent": {func(k int) bool { return k%3 == 0 && k > 0 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			for k := range 18 {
				agent := fmt.Sprintf("side-%02d", k)
				b.Connected(b.now, agent)
				b.Receive(b.now, agent, &peer.Frame{Hello: &peer.Hello{Role: peer.RoleAgent, Level: peer.LevelNewest}})
				b.reportStateIn(agent, []string{"mtm", "sulph", "tepuke"}[k%3])
			}
			b.advanceWith(time.Second, all)
			for k, a := range b.byName {
				if !c.responds(k) {
					b.Disconnected(b.now, b.now, a.name)
				}
			}
			b.advanceWith(TickInterval, c.responds)
			assert.Equal(t, b.Isolated(), c.isolated)
		})
	}
}
