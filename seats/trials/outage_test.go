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

var takeovers = flag.Int("takeovers", 2, "how many takeovers to time")

// homeOf returns the entry that is home to the service's one share: the one
// that has sent the starts since they were last counted.
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
	t.Fatal("no entry sent the start")
	return -1
}

// TestTakeoverTime kills the home of the service and times how long until a new
// job, and one that ran meanwhile, are answered through another entry.
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
		framesBefore, callsBefore := framesOf(t, c, h), callsOf(c)
		began := time.Now()
		c.Entries[h].Kill()
		j := jobOf(fmt.Sprintf("after-%d", k), 1, 0)
		for {
			a, err := c.Client(other).Submit(context.Background(), cluster.Service, j)
			assert.NilError(t, err)
			if a.State == seats.Complete {
				break
			}
			assert.Assert(t, time.Since(began) < patience, "%+v", a)
			time.Sleep(time.Duration(a.RetryAfterMS) * time.Millisecond)
		}
		times = append(times, time.Since(began))
		frames += framesOf(t, c, h) - framesBefore
		calls += callsOf(c) - callsBefore
		assertWhole(t, running, <-answered)
		c.Begin(c.Entries[h])
		c.UntilReady()
	}
	slices.Sort(times)
	doubled, _ := c.Doubled()
	assert.Equal(t, len(doubled), 0)
	t.Logf("%d takeovers at a lease of 3 s: median %d ms, worst %d ms; the running job of 30 tasks was finished each time; "+
		"frames of both other entries %.0f, store calls %.1f each, heartbeats, the jobs' own and watches included",
		len(times), times[len(times)/2].Milliseconds(), times[len(times)-1].Milliseconds(),
		float64(frames)/float64(len(times)), float64(calls)/float64(len(times)))
}

// framesOf sums up the frames of all entries but one.
func framesOf(t *testing.T, c *cluster.Cluster, but int) uint64 {
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

// callsOf returns how many calls the store has had.
func callsOf(c *cluster.Cluster) int {
	s := c.Store.Calls()
	return int(s.Reads + s.Writes + s.Watches + s.Hosts)
}

// TestJobsRunOnInAStoreOutage takes the store away for the whole of a load, then
// kills an entry that is home to nothing, and tells what is served.
func TestJobsRunOnInAStoreOutage(t *testing.T) {
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
		t.Logf("store down: %v\n%s", outage, r.Text())
	}
	c.Entries[other].Kill()
	cfg.Jobs, cfg.Expiry = 200, 5*time.Second
	r, err := load.Run(context.Background(), cfg)
	assert.NilError(t, err)
	assert.Equal(t, r.NoAnswer+r.Wrong, 0, r.Text())
	t.Logf("store down, entry killed\n%s", r.Text())
	c.Store.SetFaults(standplatform.Faults{})
	c.Begin(c.Entries[other])
	c.UntilReady()
	doubled, _ := c.Doubled()
	assert.Equal(t, len(doubled), 0)
}
