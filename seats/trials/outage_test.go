package trials

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/load"
	standplatform "github.com/beaconpoint/beaconpoint/seats/standin/store"
	"github.com/beaconpoint/beaconpoint/seats/testutil/cluster"
)

var takeovers = flag.Int("takeovers", 2, "number of takeovers to measure")

// homeOf returns the index of the entry that owns the service's only shard. It
// submits a job and finds the entry whose count of starts has increased.
func homeOf(t *testing.T, c *cluster.Cluster, job string) int {
	t.Helper()
	before := make([]uint64, len(c.Entries))
	for k := range c.Entries {
		s, err := c.Operator(k).Status(context.Background())
		assert.NilError(t, err)
		before[k] = s.Counts.Starts
	}
	_, err := c.Client(0).Submit(context.Background(), cluster.Service, jobOf(job, 1, 0))
	assert.NilError(t, err)
	for k := range c.Entries {
		s, err := c.Operator(k).Status(context.Background())
		assert.NilError(t, err)
		if s.Counts.Starts > before[k] {
			return k
		}
	}
	t.Fatal("the count of starts did not increase at any entry")
	return -1
}

// Fails when, after the home of a service is killed, another entry does not
// complete a new job and a running one. Logs the time of the takeover.
func TestTakeoverTime(t *testing.T) {
	c := cluster.Start(t, threeByThree())
	var times []time.Duration
	var frames uint64
	var calls int
	for k := range *takeovers {
		h := homeOf(t, c, fmt.Sprintf("find-%d", k))
		other := (h + 1) % len(c.Entries)
		running := jobOf(fmt.Sprintf("running-%d", k), 30, 300)
		answered := make(chan seats.Answer, 1)
		go func() {
			a, err := c.Client(other).Submit(context.Background(), cluster.Service, running)
			assert.Check(t, err == nil, "%v", err)
			answered <- a
		}()
		time.Sleep(100 * time.Millisecond)
		framesBefore, callsBefore := framesExcept(t, c, h), storeCalls(c)
		began := time.Now()
		c.Entries[h].Kill()
		j := jobOf(fmt.Sprintf("after-%d", k), 1, 0)
		for {
			a, err := c.Client(other).Submit(context.Background(), cluster.Service, j)
			assert.NilError(t, err)
			if a.State == seats.Complete {
				break
			}
			assert.Assert(t, time.Since(began) < waitTimeout, "%+v", a)
			time.Sleep(time.Duration(a.RetryAfterMS) * time.Millisecond)
		}
		times = append(times, time.Since(began))
		frames += framesExcept(t, c, h) - framesBefore
		calls += storeCalls(c) - callsBefore
		assertComplete(t, running, <-answered)
		c.Begin(c.Entries[h])
		c.UntilReady()
	}
	slices.Sort(times)
	doubled, _ := c.Doubled()
	assert.Equal(t, len(doubled), 0)
	t.Logf("%d takeovers at a lease of 3 s: median %d ms, worst %d ms; the running job of 30 tasks completed each time; "+
		"per takeover %.0f frames of both other entries and %.1f store calls, including heartbeats, job traffic and watches",
		len(times), times[len(times)/2].Milliseconds(), times[len(times)-1].Milliseconds(),
		float64(frames)/float64(len(times)), float64(calls)/float64(len(times)))
}

// framesExcept returns the number of frames of all entries except one.
func framesExcept(t *testing.T, c *cluster.Cluster, but int) uint64 {
	t.Helper()
	sum := uint64(0)
	for k := range c.Entries {
		if k == but {
			continue
		}
		s, err := c.Operator(k).Status(context.Background())
		assert.NilError(t, err)
		sum += s.Frames
	}
	return sum
}

// storeCalls returns the number of calls to the store.
func storeCalls(c *cluster.Cluster) int {
	s := c.Store.Calls()
	return int(s.Reads + s.Writes + s.Watches + s.Hosts)
}

// Fails when jobs fail during a store outage, or get no answer or a wrong one
// when an entry without shards is also killed.
func TestJobsCompleteDuringStoreOutage(t *testing.T) {
	c := cluster.Start(t, threeByThree())
	h := homeOf(t, c, "find")
	other := (h + 1) % len(c.Entries)
	cfg := load.DefaultConfig()
	cfg.Entries = c.URL(h) + "," + c.URL((h+2)%3)
	cfg.Jobs, cfg.JobsPerSecond, cfg.ShortMS, cfg.LongMS = 120, 40, 5, 50
	for _, outage := range []bool{false, true} {
		c.Store.SetFaults(standplatform.Faults{Outage: outage})
		r, err := load.Run(context.Background(), cfg)
		assert.NilError(t, err)
		assert.Equal(t, r.States[seats.Complete], cfg.Jobs, r.Text())
		t.Logf("store outage: %v\n%s", outage, r.Text())
	}
	c.Entries[other].Kill()
	cfg.Jobs, cfg.Expiry = 200, 5*time.Second
	r, err := load.Run(context.Background(), cfg)
	assert.NilError(t, err)
	assert.Equal(t, r.NoAnswer+r.Wrong, 0, r.Text())
	t.Logf("store outage, entry killed\n%s", r.Text())
	c.Store.SetFaults(standplatform.Faults{})
	c.Begin(c.Entries[other])
	c.UntilReady()
	doubled, _ := c.Doubled()
	assert.Equal(t, len(doubled), 0)
}
