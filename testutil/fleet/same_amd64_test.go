package fleet

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/beaconpoint/beaconpoint/peer"
)

// fingerprint plays a history and returns its counters with a hash over the time and content of
// every frame, so that the result differs if any decision or time does.
func fingerprint(t *testing.T, w *World) string {
	t.Helper()
	hash := fnv.New64a()
	w.OnFrame = func(from string, f *peer.Frame) {
		buf, err := peer.AppendFrame(nil, f)
		assert.NilError(t, err)
		fmt.Fprint(hash, w.now(), from)
		_, _ = hash.Write(buf) // never fails
	}
	w.Run()
	assert.Equal(t, w.Violation, "")
	return fmt.Sprintf("%d jobs, %d completed, %d starts, %d frames, %x", w.Counts.Jobs, w.Counts.Completed,
		w.Counts.Starts, w.Frames, hash.Sum64())
}

// TestDecisionsMatchGoldenFile guards against unintended changes of decisions by comparing
// histories frame by frame. It runs on amd64 only, since floating-point rounding differs elsewhere.
func TestDecisionsMatchGoldenFile(t *testing.T) {
	var out strings.Builder
	for seed := range uint64(16) {
		cfg := DefaultConfig(1000 + seed)
		cfg.Faults = int(seed)
		fmt.Fprintf(&out, "history %d: %s\n", cfg.Seed, fingerprint(t, New(cfg)))
	}
	for _, kind := range []FaultKind{KillAgent, LoseAnswers} {
		cfg := DefaultConfig(2000)
		cfg.Kinds, cfg.Faults = []FaultKind{kind}, 12
		fmt.Fprintf(&out, "kind %d: %s\n", kind, fingerprint(t, New(cfg)))
	}
	for name, scheduleFault := range map[string]func(*World){
		"burst":       surge(1.8),
		"all killed":  atFaultStart((*World).KillAll),
		"late orders": withBehaviour(11, Behaviour{Late: 0.06}, 8*time.Second),
		"slow":        withBehaviour(1, Behaviour{Slow: 6}, 4*time.Second),
		"hanging":     withBehaviour(1, Behaviour{Hanging: true}, 4*time.Second),
		"failing":     withBehaviour(1, Behaviour{Failing: 1}, 4*time.Second),
	} {
		w := New(WorkloadConfig(3, 3, 11, TrackingWorkload(11, 0.85)))
		scheduleFault(w)
		fmt.Fprintf(&out, "%s: %s\n", name, fingerprint(t, w))
	}
	golden.Assert(t, sortedLines(out.String()), "decisions.golden")
}

// sortedLines returns the text with its lines sorted.
func sortedLines(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}
