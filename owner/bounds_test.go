package owner

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
)

// bytesInUse returns the bytes that are in use after a collection.
func bytesInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestAnEntrysStateIsBounded presses 3,500 jobs on an entry that knows 1,200 agents, all of
// them full: it holds as many jobs as it may, refuses the others at once, and its state takes
// less than a quarter of the 64 MB of a process.
func TestMemoryIsBounded(t *testing.T) {
	const most = 16 << 20 // bytes
	before := bytesInUse()
	o := newFleet(1200)
	for _, a := range o.byName {
		a.state.Free = a.profile.Capacity.Minus(a.profile.Capacity)
	}
	now := time.Hour
	refused := 0
	for k := range 3500 {
		j := jobOf(fmt.Sprintf("%016x", k), 8)
		j.Spec = fmt.Sprintf("%1200d", k)
		j.Steps[0].Estimate = time.Minute // nobody is refused for being late
		o.Submit(now, j, func(a Answer) {
			if a.Why == code.QueueFull {
				refused++
			}
		})
	}
	used := bytesInUse() - before
	assert.Equal(t, o.Jobs(), maxJobs)
	assert.Equal(t, refused, 3500-maxJobs)
	assert.Assert(t, used < most, "%d bytes", used)
	t.Logf("%.1f MB with 1,200 agents and %d jobs of 8 tasks", float64(used)/(1<<20), o.Jobs())
	runtime.KeepAlive(o)
}
