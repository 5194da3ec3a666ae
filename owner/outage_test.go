package owner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
)

// pass lets time go on while the agents that speak are heard from.
func (b *harness) advanceWith(d time.Duration, speaks func(k int) bool) {
	for end := b.now + d; b.now < end; {
		b.now += TickInterval
		for k, a := range b.byName {
			if speaks(k) {
				b.Receive(b.now, a.name, &peer.Frame{})
			}
		}
		b.Tick(b.now)
	}
}

// inFirstHall reports whether an agent of newClaimBench stands in hall mtm.
func inFirstHall(k int) bool {
	return k%2 == 0
}

func all(int) bool { return true }

// TestAHallThatFallsSilentIsSuspected: nothing is ordered there, its quiet connections are given
// up and carry no heartbeats, and one frame ends it.
func TestUnresponsiveHallIsSuspected(t *testing.T) {
	b := newClaimHarness(t, 8)
	b.lastJobAt = b.now // it watches agents while jobs come
	b.advanceWith(time.Second, all)
	b.advanceWith(unresponsiveTime, func(k int) bool { return !inFirstHall(k) })
	assert.Equal(t, b.HallsSuspected(), 0)
	b.advanceWith(TickInterval, func(k int) bool { return !inFirstHall(k) })
	assert.Equal(t, b.HallsSuspected(), 1)
	before := len(b.frames[b.byName[0].name])
	b.now += 200 * ms
	b.Heartbeats(b.now)
	for k, a := range b.byName {
		assert.Equal(t, b.SilentTooLong(b.now, a.name), inFirstHall(k))
	}
	assert.Equal(t, len(b.frames[b.byName[0].name]), before)
	b.advanceWith(TickInterval, all)
	assert.Equal(t, b.HallsSuspected(), 0)
}

// TestOneVoiceIsEnoughAgainstASuspicion, and an entry that hears from nobody suspects itself.
func TestHallIsNotSuspectedOnPartialSilence(t *testing.T) {
	for name, speaks := range map[string]func(int) bool{
		"one of the hall": func(k int) bool { return k == 0 || !inFirstHall(k) },
		"nobody":          func(int) bool { return false },
	} {
		b := newClaimHarness(t, 8)
		b.lastJobAt = b.now
		b.advanceWith(time.Second, all)
		b.advanceWith(time.Second, speaks)
		assert.Equal(t, b.HallsSuspected(), 0, name)
		b.advanceWith(2*TickInterval, func(k int) bool { return !inFirstHall(k) }) // these are heard first
		assert.Equal(t, b.HallsSuspected(), 0, name)
	}
}

// TestJobsThatCantWaitForALostHallAreGivenUp at once; those that can go on.
func TestHopelessJobsInSuspectedHallAreGivenUp(t *testing.T) {
	b := newClaimHarness(t, 8)
	b.lastJobAt = b.now
	b.advanceWith(time.Second, all)
	for n := range 4 {
		b.now += ms // no job waits behind another
		short, long := jobOf(fmt.Sprint("short-", n), 1), jobOf(fmt.Sprint("long-", n), 1)
		long.ObjectiveFactor = 30
		for _, j := range []string{short.ID, long.ID} {
			spec := short
			if j == long.ID {
				spec = long
			}
			b.submit(spec)
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
	assert.Equal(t, b.HallsSuspected(), 1)
	given := 0
	for n := range 4 {
		short, long := fmt.Sprint("short-", n), fmt.Sprint("long-", n)
		assert.Equal(t, b.answers[long].Why, code.OK)
		there, started := inHall[short]
		if !started {
			continue // it waits for room
		}
		if there {
			given++
			assert.Equal(t, b.answers[short].Why, code.JobHallLost)
			assert.Equal(t, b.answers[short].Kind, GivenUp)
			assert.Assert(t, b.answers[short].Retry >= minRetryAfter)
			continue
		}
		assert.Equal(t, b.answers[short].Why, code.OK)
	}
	assert.Assert(t, given > 0)
}

// TestAPartIsNoIsolation: an entry in a hall that is cut from the others reaches its own hall whole,
// and starts there what comes; one that reaches a few agents of each hall is cut off itself.
func TestPartitionIsNotIsolation(t *testing.T) {
	for name, c := range map[string]struct {
		speaks   func(k int) bool
		isolated bool
	}{
		"its own hall":           {func(k int) bool { return k%3 == 0 }, false},
		"a few agents of each":   {func(k int) bool { return k < 3 }, true},
		"half of its own hall":   {func(k int) bool { return k%6 == 0 }, true},
		"all but one of its own": {func(k int) bool { return k%3 == 0 && k > 0 }, false},
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
				if !c.speaks(k) {
					b.Disconnected(b.now, b.now, a.name)
				}
			}
			b.advanceWith(TickInterval, c.speaks)
			assert.Equal(t, b.Isolated(), c.isolated)
		})
	}
}
