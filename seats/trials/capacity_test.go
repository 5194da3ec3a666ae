package trials

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/seats/load"
	"github.com/beaconpoint/beaconpoint/seats/testutil/cluster"
)

var capacity = flag.Bool("capacity", false, "measure the slopes of seats/docs/capacity.md (some minutes) instead of one small size")

// clockTick is the unit of CPU time in /proc/PID/stat, in seconds.
const clockTick = 0.01

// usage is the resource usage of processes.
type usage struct {
	cpu float64 // seconds
	rss float64 // MB
}

func usageOf(t *testing.T, p *cluster.Process) usage {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	assert.NilError(t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return usage{cpu: (user + system) * clockTick, rss: pages * float64(os.Getpagesize()) / (1 << 20)}
}

func totalUsage(t *testing.T, all []*cluster.Process) (sum usage) {
	t.Helper()
	for _, p := range all {
		u := usageOf(t, p)
		sum.cpu += u.cpu
		sum.rss += u.rss
	}
	return sum
}

// totalCounts adds up the counters in the status of all entries.
func totalCounts(t *testing.T, c *cluster.Cluster) (starts, wasted, frames, bytes, calls float64) {
	t.Helper()
	for k := range c.Entries {
		s, err := c.Operator(k).Status(context.Background())
		assert.NilError(t, err)
		starts += float64(s.Counts.Starts)
		wasted += float64(s.Counts.Wasted())
		frames += float64(s.Frames)
		bytes += float64(s.Bytes)
		calls += float64(s.Calls)
	}
	return starts, wasted, frames, bytes, calls
}

// Logs the CPU, memory and messages of entries and agents, idle and under load.
// Fails when a job gets no answer or a wrong one.
func TestCapacity(t *testing.T) {
	sizes, rates, span := []int{3}, []float64{200}, 2*time.Second
	if *capacity {
		sizes, rates, span = []int{10, 40, 120}, []float64{400, 1200, 3000}, 15*time.Second
	}
	t.Logf("| agents | tasks/s | entry CPU us/start (all entries) | agent CPU us/start | wasted messages/start | frames/start | bytes/start | entry MB | agent MB | store calls/s | response over ideal, mean p99 |")
	for _, agents := range sizes {
		c := cluster.Start(t, cluster.Config{Entries: 3, Agents: agents, Slots: 8, Lease: 3 * time.Second})
		measureIdle(t, c, agents, span)
		for _, rate := range rates {
			measureLoad(t, c, agents, rate, span)
		}
		for _, p := range append(c.Entries, c.Agents...) {
			p.Kill()
		}
	}
}

func measureIdle(t *testing.T, c *cluster.Cluster, agents int, span time.Duration) {
	t.Helper()
	entries, agentUsage := totalUsage(t, c.Entries), totalUsage(t, c.Agents)
	_, _, frames, bytes, calls := totalCounts(t, c)
	time.Sleep(span)
	entriesAfter, allAfter := totalUsage(t, c.Entries), totalUsage(t, c.Agents)
	_, _, framesAfter, bytesAfter, callsAfter := totalCounts(t, c)
	seconds := span.Seconds()
	t.Logf("| %d | idle | entry %.2f%% of a core | agent %.3f%% of a core | | %.0f frames/s an entry | %.0f bytes/s an entry | %.1f | %.1f | %.2f | |",
		agents, 100*(entriesAfter.cpu-entries.cpu)/seconds/3, 100*(allAfter.cpu-agentUsage.cpu)/seconds/float64(agents),
		(framesAfter-frames)/seconds/3, (bytesAfter-bytes)/seconds/3,
		entriesAfter.rss/3, allAfter.rss/float64(agents), (callsAfter-calls)/seconds)
}

func measureLoad(t *testing.T, c *cluster.Cluster, agents int, rate float64, span time.Duration) {
	t.Helper()
	cfg := load.DefaultConfig()
	cfg.Entries = c.URL(0) + "," + c.URL(1) + "," + c.URL(2)
	cfg.ShortMS, cfg.LongMS, cfg.LargestJob = 10, 30, 100
	cfg.JobsPerSecond = rate / 21.5 // mean size of log-uniform jobs of up to 100 tasks
	cfg.Jobs = int(cfg.JobsPerSecond * span.Seconds())
	entries, all := totalUsage(t, c.Entries), totalUsage(t, c.Agents)
	starts, wasted, frames, bytes, calls := totalCounts(t, c)
	r, err := load.Run(context.Background(), cfg)
	assert.NilError(t, err)
	assert.Equal(t, r.NoAnswer+r.Wrong, 0, r.Text())
	entriesAfter, allAfter := totalUsage(t, c.Entries), totalUsage(t, c.Agents)
	startsAfter, wastedAfter, framesAfter, bytesAfter, callsAfter := totalCounts(t, c)
	n := startsAfter - starts
	t.Logf("| %d | %.0f | %.0f | %.0f | %.4f | %.2f | %.0f | %.1f | %.1f | %.2f | %.2f %.2f |",
		agents, n/r.Took.Seconds(), 1e6*(entriesAfter.cpu-entries.cpu)/n, 1e6*(allAfter.cpu-all.cpu)/n,
		(wastedAfter-wasted)/n, (framesAfter-frames)/n, (bytesAfter-bytes)/n,
		entriesAfter.rss/3, allAfter.rss/float64(agents), (callsAfter-calls)/r.Took.Seconds(),
		r.Ratio.Mean()/1000, float64(r.Ratio.ValueAtQuantile(99))/1000)
}
