package fleet

import (
	"fmt"
	"testing"
	"time"
)

// measureRecovery kills all processes 4 s into the history and returns the time until the first
// new run starts, and the time until the completion rate, sampled every 200 ms, is back at 90%
// of the earlier mean. Processes restart after 20 to 1,020 ms.
func measureRecovery(entries, agents int) (firstStart, fullRate time.Duration) {
	const span = 200 * time.Millisecond
	w := New(WorkloadConfig(1, entries, agents, TrackingWorkload(agents, 0.6)))
	var killed time.Duration
	starts, usualRate, completed := 0, 0, 0
	w.At(2*time.Second, func() { completed = w.Counts.Completed })
	w.At(4*time.Second, func() {
		usualRate = (w.Counts.Completed - completed) / int(2*time.Second/span)
		killed = w.now()
		w.KillAll()
	})
	w.At(4*time.Second+minRestartDelay, func() { starts = w.Counts.Starts })
	var poll func()
	before := 0
	poll = func() {
		if firstStart == 0 && starts > 0 && w.Counts.Starts > starts {
			firstStart = w.now() - killed
		}
		if passed := w.now() - killed; passed%span < time.Millisecond {
			if fullRate == 0 && passed > span && w.Counts.Completed-before >= usualRate*9/10 {
				fullRate = passed
			}
			before = w.Counts.Completed
		}
		w.after(time.Millisecond, poll)
	}
	w.At(4*time.Second+time.Millisecond, poll)
	w.Run()
	return firstStart, fullRate
}

// BenchmarkRecovery measures how long fleets take to recover after all processes were killed.
func BenchmarkRecovery(b *testing.B) {
	for _, size := range []struct{ entries, agents int }{{3, 11}, {12, 70}, {55, 240}, {20, 1200}} {
		b.Run(fmt.Sprintf("%dx%d", size.entries, size.agents), func(b *testing.B) {
			var first, full time.Duration
			for b.Loop() {
				first, full = measureRecovery(size.entries, size.agents)
			}
			b.ReportMetric(float64(first.Milliseconds()), "ms-to-first-start")
			b.ReportMetric(float64(full.Milliseconds()), "ms-to-full-rate")
		})
	}
}
