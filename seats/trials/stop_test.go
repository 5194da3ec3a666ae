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

// Sizes of the test of planned stops.
const (
	stopCallers  = 24
	tasksAtLeast = 10_000
	// lagOfBalancer is how long callers still choose an entry that is
	// stopping.
	lagOfBalancer = 200 * time.Millisecond
	patience      = 60 * time.Second
)

// rotation is which entries the balancer sends callers to.
type rotation struct {
	mu  sync.Mutex
	out int
}

func (r *rotation) setOut(k int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out = k
}

func (r *rotation) choose(rng *rand.Rand, n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := rng.IntN(n - 1)
	if r.out >= 0 && k >= r.out {
		k++
	}
	return k
}

// untilReadySoon waits until every entry serves again.
func stopAndBegin(t *testing.T, c *cluster.Cluster, p *cluster.Process) {
	t.Helper()
	p.Signal(syscall.SIGTERM)
	assert.Equal(t, p.Wait(), 0)
	c.Begin(p)
	c.UntilReady()
}

// TestPlannedStopsCutOffNothing stops every entry and agent in turn under load.
func TestPlannedStopsCutOffNothing(t *testing.T) {
	c := cluster.Start(t, cluster.Config{Entries: 3, Agents: 3, Slots: 16, Lease: 1500 * time.Millisecond})
	var tasks, bad atomic.Int64
	balancer := &rotation{out: -1}
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for k := range stopCallers {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(k)))
			for n := 0; ctx.Err() == nil; n++ {
				j := jobOf(fmt.Sprintf("stop-%d-%d", k, n), 1+rng.IntN(30), rng.IntN(20))
				a, err := c.Client(balancer.choose(rng, 3)).Submit(context.Background(), cluster.Service, j)
				if err != nil || a.State != seats.Complete || !isWhole(j, a) {
					bad.Add(1)
					t.Errorf("job %s: %v %+v", j.ID, err, a)
					continue
				}
				tasks.Add(int64(len(j.Tasks)))
			}
		})
	}
	for k, p := range c.Entries {
		time.AfterFunc(lagOfBalancer, func() { balancer.setOut(k) })
		stopAndBegin(t, c, p)
		balancer.setOut(-1)
	}
	for _, p := range c.Agents {
		stopAndBegin(t, c, p)
	}
	deadline := time.Now().Add(patience)
	for tasks.Load() < tasksAtLeast && time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
	}
	stop()
	all.Wait()
	doubled, _ := c.Doubled()
	t.Logf("%d tasks through 6 planned stops: %d jobs failed, %d tasks doubled", tasks.Load(), bad.Load(), len(doubled))
	assert.Equal(t, len(doubled), 0)
	assert.Assert(t, tasks.Load() >= tasksAtLeast)
}

// TestLeavingTargetGetsNothingNew takes a target out by the host list's word and
// by an operator's drain.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	c := cluster.Start(t, threeByThree())
	ctx := context.Background()
	c.Store.SetHost("worker1", "leaving")
	untilOpen(t, c, 2)
	assertNothingNew(t, c, 0, "host-list")
	c.Store.SetHost("worker1", "live")
	untilOpen(t, c, 3)

	plan, err := c.Operator(0).Plan(ctx, config.Intent{Drain: []string{"worker2"}})
	assert.NilError(t, err)
	_, err = c.Operator(1).Confirm(ctx, plan)
	assert.NilError(t, err)
	untilOpen(t, c, 2)
	assertNothingNew(t, c, 1, "drain")
}

func untilOpen(t *testing.T, c *cluster.Cluster, n int) {
	t.Helper()
	deadline := time.Now().Add(patience)
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

func assertNothingNew(t *testing.T, c *cluster.Cluster, target int, name string) {
	t.Helper()
	before := len(c.Targets[target].Starts())
	for k := range 3 {
		j := jobOf(fmt.Sprintf("%s-%d", name, k), 60, 5)
		a, err := c.Client(k).Submit(context.Background(), cluster.Service, j)
		assert.NilError(t, err)
		assertWhole(t, j, a)
	}
	assert.Equal(t, len(c.Targets[target].Starts()), before)
}
