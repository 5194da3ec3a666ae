package fleet

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/supervisor"
)

// threeHalls sets up two targets in each of three halls, four evacuations, and some callers
// that abandon their jobs.
func threeHalls(c *Config) {
	c.Halls, c.Agents, c.Entries = 3, 6, 3
	c.Evacuations = 4
	c.AbandonShare = 0.15
	c.Interval /= 2
}

// TestEvacuationsKeepInvariants guards against violations under single and overlapping
// evacuations with other faults, while some entries can't reach the store.
func TestEvacuationsKeepInvariants(t *testing.T) {
	playHistories(t, 6000, 200, threeHalls)
	playHistories(t, 6300, 40, func(c *Config) { threeHalls(c); c.PreviousVersionEntries = 1 })
	playHistories(t, 6400, 40, func(c *Config) { threeHalls(c); c.PreviousVersionAgents = 2 })
	playHistories(t, 6500, 60, func(c *Config) {
		threeHalls(c)
		c.Kinds, c.Faults = []FaultKind{KillEntry, KillAgent, IsolateEntry, IsolateAgent, SilenceConnections}, 12
	})
}

// TestAcceptingStartsInEvacuatedHallIsDetected guards against a check that misses agents that
// accept starts in evacuated halls from entries of the previous version.
func TestAcceptingStartsInEvacuatedHallIsDetected(t *testing.T) {
	for seed := range uint64(100) {
		cfg := DefaultConfig(seed)
		threeHalls(&cfg)
		cfg.PreviousVersionEntries, cfg.Rules.RefuseEvacuated = 1, false
		w := New(cfg)
		w.Run()
		if w.ViolatedInvariant == Evacuated {
			t.Logf("seed %d: %s", seed, w.Violation)
			return
		}
	}
	t.Error("no violation of Evacuated detected in 100 histories")
}

// evacuationWorld returns a world at 60% load with three halls and no faults.
func evacuationWorld(seed uint64, entries, agents int) *World {
	cfg := WorkloadConfig(seed, entries, agents, TrackingWorkload(agents, 0.6))
	cfg.Halls = 3
	return New(cfg)
}

// TestEvacuationStopsStartsPromptly guards against late starts in an evacuated hall: the store
// notifies entries within 20 ms, and orders in transit take a few ms more.
func TestEvacuationStopsStartsPromptly(t *testing.T) {
	var delays []time.Duration
	for seed := range uint64(4) {
		w := evacuationWorld(1+seed, 12, 40)
		w.At(4*time.Second, func() { w.operator.evacuate(hallName(1), 3*time.Second) })
		w.Run()
		assert.Equal(t, w.Violation, "")
		delays = append(delays, w.operator.startDelays...)
	}
	assert.Assert(t, len(delays) > 0)
	assert.Assert(t, slices.Max(delays) < 30*time.Millisecond, "%s", slices.Max(delays))
}

// TestEvacuationReachesEntriesCutFromStore guards against losing an evacuation that the store
// delivers only to one entry, which soon ends: agents must forward it to the other entries.
func TestEvacuationReachesEntriesCutFromStore(t *testing.T) {
	var delays []time.Duration
	for seed := range uint64(3) {
		delays = append(delays, evacuateThroughOneEntry(t, 2+seed)...)
	}
	assert.Assert(t, len(delays) > 0)
	assert.Assert(t, slices.Max(delays) < 200*time.Millisecond, "%s", slices.Max(delays))
}

// evacuateThroughOneEntry plays the evacuation of a hall that one entry reads from the store and
// returns the delays of the starts after the request.
func evacuateThroughOneEntry(t *testing.T, seed uint64) []time.Duration {
	t.Helper()
	w := evacuationWorld(seed, 4, 12)
	w.At(4*time.Second, func() {
		for _, e := range w.entries[1:] {
			e.storeUnreachableUntil = w.now() + 8*time.Second
		}
		w.operator.evacuate(hallName(1), 6*time.Second)
	})
	w.At(4*time.Second+150*time.Millisecond, func() {
		w.entries[0].storeUnreachableUntil = w.now() + 8*time.Second
		w.entries[0].kill(false)
	})
	w.At(7*time.Second, func() {
		for _, e := range w.entries {
			assert.Assert(t, e.owner.Evacuations().Has(hallName(1)), e.name)
		}
	})
	w.Run()
	assert.Equal(t, w.Violation, "")
	return w.operator.startDelays
}

// TestJobsAreRefusedWhileAllHallsAreEvacuated guards against starting jobs during the
// evacuations, and against refusing them afterwards.
func TestJobsAreRefusedWhileAllHallsAreEvacuated(t *testing.T) {
	w := evacuationWorld(3, 3, 12)
	var before, during, after Counts
	w.At(4*time.Second, func() {
		for k := range 3 {
			w.operator.evacuate(hallName(k), 2*time.Second)
		}
	})
	w.At(4500*time.Millisecond, func() { before = w.Counts })
	w.At(5900*time.Millisecond, func() { during = w.Counts })
	w.At(7*time.Second, func() { after = w.Counts })
	w.Run()
	assert.Equal(t, w.Violation, "")
	assert.Assert(t, during.Refused-before.Refused > 100, "%+v %+v", before, during)
	assert.Assert(t, during.Starts-before.Starts == 0, "%d", during.Starts-before.Starts)
	assert.Assert(t, after.Completed-during.Completed > 50, "%+v %+v", during, after)
}

// delayedStart plays one job whose target carries out starts five seconds late and drops stops.
// The caller abandons the job, and the entry is killed without a restart. With replaceAgent, the
// agent restarts and its calls work. startedAt is when the run started on the target, or zero;
// busyFor is how long the target had runs.
func delayedStart(t *testing.T, rules supervisor.Rules, replaceAgent bool) (startedAt, busyFor time.Duration) {
	cfg := DefaultConfig(1)
	cfg.Entries, cfg.Agents, cfg.Faults, cfg.Rules = 1, 1, 0, rules
	cfg.Length, cfg.Interval, cfg.Guess, cfg.LongGuess = 12*time.Second, time.Hour, 3*time.Second, 3*time.Second
	w := New(cfg)
	a := w.agents[0]
	a.target.startDelay = 5 * time.Second
	w.At(600*time.Millisecond, func() { // the job is submitted at 300 ms
		assert.Equal(t, len(w.jobs), 1)
		for _, c := range w.jobs {
			c.abandon()
		}
	})
	w.At(2*time.Second, func() {
		w.entries[0].kill(true)
		w.entries[0].incarnation++ // prevents a restart
	})
	if replaceAgent {
		w.At(3*time.Second, func() {
			a.target.startDelay = 0
			a.kill(true)
		})
	}
	var poll func()
	poll = func() {
		if len(a.target.runs) > 0 {
			if startedAt == 0 {
				startedAt = w.now()
			}
			busyFor += time.Millisecond
		}
		w.after(time.Millisecond, poll)
	}
	w.after(0, poll)
	w.Run()
	return startedAt, busyFor
}

// TestDelayedStartIsRejectedOrStopped guards against late starts of abandoned jobs. Start
// deadline and fencing token each reject them; without both, a new agent stops unknown runs.
func TestDelayedStartIsRejectedOrStopped(t *testing.T) {
	const maxStopDelay = 320 * time.Millisecond // longest renewal wait, the stop and two calls
	rules := supervisor.DefaultRules()
	for _, replaced := range []bool{false, true} {
		startedAt, _ := delayedStart(t, rules, replaced)
		assert.Equal(t, startedAt, time.Duration(0))
	}
	rules.TargetLease = time.Hour
	startedAt, busyFor := delayedStart(t, rules, false)
	assert.Assert(t, startedAt > 0 && busyFor > 3*maxStopDelay, "%s %s", startedAt, busyFor)
	startedAt, _ = delayedStart(t, rules, true)
	assert.Equal(t, startedAt, time.Duration(0))
	rules.FencingTokens = false
	startedAt, busyFor = delayedStart(t, rules, true)
	assert.Assert(t, startedAt > 0 && busyFor < maxStopDelay, "%s %s", startedAt, busyFor)
	rules.StopUnknownRuns = false
	startedAt, busyFor = delayedStart(t, rules, true)
	assert.Assert(t, startedAt > 0 && busyFor > 3*maxStopDelay, "%s %s", startedAt, busyFor)
}
