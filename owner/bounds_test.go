package owner

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
)

// bytesInUse returns the size of the heap after a garbage collection.
func bytesInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against unbounded memory: jobs beyond maxJobs must be refused, and the others must stay
// below the limit at an entry with many full agents.
func TestMemoryIsBounded(t *testing.T) {
	const limit = 16 << 20 // bytes
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
		j.Steps[0].Estimate = time.Minute // no job is refused as late
		o.Submit(now, j, func(a Answer) {
			if a.Why == code.QueueFull {
				refused++
			}
		})
	}
	used := bytesInUse() - before
	assert.Equal(t, o.Jobs(), maxJobs)
	assert.Equal(t, refused, 3500-maxJobs)
	assert.Assert(t, used < limit, "%d bytes in use, more than the limit", used)
	t.Logf("%.1f MB with 1,200 agents and %d jobs of 8 tasks", float64(used)/(1<<20), o.Jobs())
	runtime.KeepAlive(o)
}
