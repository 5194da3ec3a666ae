package trials

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/testutil/cluster"
)

// Size and timing of the test of planned stops.
const (
	stopCallers  = 24
	tasksAtLeast = 10_000
	// balancerDelay is the time for which the balancer still chooses an entry
	// that has begun to stop.
	balancerDelay = 200 * time.Millisecond
	waitTimeout   = 60 * time.Second
)

// entryBalancer chooses random entries other than excluded, which is -1 for none.
type entryBalancer struct {
	mu       sync.Mutex
	excluded int
}

func (r *entryBalancer) exclude(k int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excluded = k
}

func (r *entryBalancer) choose(rng *rand.Rand, n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := rng.IntN(n - 1)
	if r.excluded >= 0 && k >= r.excluded {
		k++
	}
	return k
}

// restartGracefully stops the process gracefully, restarts it and waits until the
// cluster is ready.
func restartGracefully(t *testing.T, c *cluster.Cluster, p *cluster.Process) {
	t.Helper()
	p.Signal(syscall.SIGTERM)
	assert.Equal(t, p.Wait(), 0)
	c.Begin(p)
	c.UntilReady()
}

// Fails when a graceful stop of an entry or agent under load makes a job fail or
// starts a task twice.
func TestPlannedStopsFailNoJob(t *testing.T) {
	c := cluster.Start(t, cluster.Config{Entries: 3, Agents: 3, Slots: 16, Lease: 1500 * time.Millisecond})
	var tasks, bad atomic.Int64
	balancer := &entryBalancer{excluded: -1}
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for k := range stopCallers {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(k)))
			for n := 0; ctx.Err() == nil; n++ {
				j := jobOf(fmt.Sprintf("stop-%d-%d", k, n), 1+rng.IntN(30), rng.IntN(20))
				a, err := c.Client(balancer.choose(rng, 3)).Submit(context.Background(), cluster.Service, j)
				if err != nil || a.State != seats.Complete || !resultsMatch(j, a) {
					bad.Add(1)
					t.Errorf("job %s: %v %+v", j.ID, err, a)
					continue
				}
				tasks.Add(int64(len(j.Tasks)))
			}
		})
	}
	for k, p := range c.Entries {
		time.AfterFunc(balancerDelay, func() { balancer.exclude(k) })
		restartGracefully(t, c, p)
		balancer.exclude(-1)
	}
	for _, p := range c.Agents {
		restartGracefully(t, c, p)
	}
	deadline := time.Now().Add(waitTimeout)
	for tasks.Load() < tasksAtLeast && time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
	}
	stop()
	all.Wait()
	doubled, _ := c.Doubled()
	t.Logf("%d tasks during 6 planned stops: %d jobs failed, %d tasks started more than once", tasks.Load(), bad.Load(), len(doubled))
	assert.Equal(t, len(doubled), 0)
	assert.Assert(t, tasks.Load() >= tasksAtLeast)
}

// Fails when a target whose host is leaving or which an operator has drained gets
// another start.
func TestLeavingTargetGetsNoStarts(t *testing.T) {
	c := cluster.Start(t, threeByThree())
	ctx := context.Background()
	c.Store.SetHost("worker1", "leaving")
	waitOpenAgents(t, c, 2)
	assertNoStarts(t, c, 0, "host-list")
	c.Store.SetHost("worker1", "live")
	waitOpenAgents(t, c, 3)

	plan, err := c.Operator(0).Plan(ctx, config.Intent{Drain: []string{"worker2"}})
	assert.NilError(t, err)
	_, err = c.Operator(1).Confirm(ctx, plan)
	assert.NilError(t, err)
	waitOpenAgents(t, c, 2)
	assertNoStarts(t, c, 1, "drain")
}

// waitOpenAgents waits until every entry counts n agents that accept tasks.
func waitOpenAgents(t *testing.T, c *cluster.Cluster, n int) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for k := 0; k < len(c.Entries); {
		s, err := c.Operator(k).Status(context.Background())
		assert.NilError(t, err)
		if s.Open == n {
			k++
			continue
		}
		assert.Assert(t, time.Now().Before(deadline), "entry %d still has %d open agents", k, s.Open)
		time.Sleep(20 * time.Millisecond)
	}
}

// assertNoStarts runs jobs through every entry and checks that none of their
// tasks starts at the target.
func assertNoStarts(t *testing.T, c *cluster.Cluster, target int, name string) {
	t.Helper()
	before := len(c.Targets[target].Starts())
	for k := range 3 {
		j := jobOf(fmt.Sprintf("%s-%d", name, k), 60, 5)
		a, err := c.Client(k).Submit(context.Background(), cluster.Service, j)
		assert.NilError(t, err)
		assertComplete(t, j, a)
	}
	assert.Equal(t, len(c.Targets[target].Starts()), before)
}
