package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLostHallsKeepInvariants guards against violations when halls lose power, or one entry
// can't reach a hall, among other faults and with duplicate submissions.
func TestLostHallsKeepInvariants(t *testing.T) {
	playHistories(t, 12000, 100, func(c *Config) {
		threeHalls(c)
		c.Agents, c.DuplicateShare, c.Evacuations = 12, 0.3, 0
		c.Kinds, c.Faults = []FaultKind{PowerOffHall, DisconnectHall, KillEntry, FreezeAgent, LoseAnswers}, 8
	})
}

// lostHallWorld returns a world with three halls, one of which loses power after 4 s.
func lostHallWorld(seed uint64, load float64) *World {
	cfg := WorkloadConfig(seed, 6, 24, TrackingWorkload(24, load))
	cfg.Halls = 3
	w := New(cfg)
	w.At(4*time.Second, func() { w.powerOffHall(hallName(1)) })
	return w
}

// suspicionCount returns how often entries suspected that a hall was lost.
func suspicionCount(w *World) (count uint64) {
	for _, e := range w.entries {
		count += e.owner.Stats().HallsSuspected
	}
	return count
}

// TestEachEntrySuspectsLostHallOnce guards against entries that do not suspect a lost hall
// within 300 ms or suspect it repeatedly.
func TestEachEntrySuspectsLostHallOnce(t *testing.T) {
	w := lostHallWorld(1, 0.6)
	suspecting := 0
	w.At(4*time.Second+300*time.Millisecond, func() {
		for _, e := range w.entries {
			suspecting += e.owner.SuspectedHalls()
		}
	})
	w.Run()
	assert.Equal(t, w.Violation, "")
	assert.Equal(t, suspecting, 6)
	assert.Equal(t, suspicionCount(w), uint64(6))
}

// TestHealthyHallsAreNotSuspected guards against suspecting the loss of a hall because of frozen
// agents, isolated entries or restarted agents.
func TestHealthyHallsAreNotSuspected(t *testing.T) {
	for name, inject := range map[string]func(*World){
		"no fault": func(*World) {},
		"frozen agents": func(w *World) {
			for k := range 3 {
				w.agents[k].frozenUntil = w.now() + time.Second // agents k and k+3 are in hall k
				w.agents[k+3].frozenUntil = w.now() + time.Second
			}
		},
		"isolated entries": func(w *World) {
			for k, e := range w.entries {
				w.after(time.Duration(k)*time.Second, func() { w.isolate(nil, e, 700*time.Millisecond) })
			}
		},
		"restarted agents": func(w *World) {
			for k, a := range w.agents {
				w.after(time.Duration(k)*200*time.Millisecond, func() { a.kill(false) })
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				cfg := WorkloadConfig(seed+1, 6, 24, TrackingWorkload(24, 0.6))
				cfg.Halls = 3
				w := New(cfg)
				w.At(4*time.Second, func() { inject(w) })
				w.Run()
				assert.Equal(t, w.Violation, "")
				assert.Equal(t, suspicionCount(w), uint64(0))
			}
		})
	}
}
