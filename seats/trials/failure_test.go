package trials

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/seats"
	standplatform "github.com/beaconpoint/beaconpoint/seats/standin/store"
	"github.com/beaconpoint/beaconpoint/seats/testutil/cluster"
)

var (
	trials    = flag.Int("trials", 0, "how many seeded failure trials to run; 0 runs one of each kind")
	trialSeed = flag.Uint64("trial.seed", 1, "seed of the first trial")
)

// Sizes of one trial.
const (
	callers      = 12 // that submit jobs one after the other
	trialLease   = 1500 * time.Millisecond
	calmBefore   = 400 * time.Millisecond
	trouble      = 3500 * time.Millisecond
	calmAfter    = 1500 * time.Millisecond
	pauseLength  = 2500 * time.Millisecond // longer than the lease
	lifetime     = 12 * time.Second
	attempts     = 40
	answerWithin = 15 * time.Second
)

// failure is one kind of trouble: it begins it and returns what ends it.
type failure struct {
	name  string
	begin func(c *cluster.Cluster, rng *rand.Rand) func()
}

func entryOf(c *cluster.Cluster, rng *rand.Rand) *cluster.Process {
	return c.Entries[rng.IntN(len(c.Entries))]
}

func agentOf(c *cluster.Cluster, rng *rand.Rand) *cluster.Process {
	return c.Agents[rng.IntN(len(c.Agents))]
}

// killed kills the processes, and begins them again when the trouble ends.
func killed(c *cluster.Cluster, all ...*cluster.Process) func() {
	for _, p := range all {
		p.Kill()
	}
	return func() {
		for _, p := range all {
			c.Begin(p)
		}
	}
}

// paused stops the processes for longer than the lease.
func paused(all ...*cluster.Process) func() {
	for _, p := range all {
		p.Signal(syscall.SIGSTOP)
	}
	time.Sleep(pauseLength)
	for _, p := range all {
		p.Signal(syscall.SIGCONT)
	}
	return func() {}
}

func storeFault(c *cluster.Cluster, f standplatform.Faults) func() {
	c.Store.SetFaults(f)
	return func() { c.Store.SetFaults(standplatform.Faults{}) }
}

func both(a, b func()) func() {
	return func() {
		a()
		b()
	}
}

var failures = []failure{
	{"kill-entry", func(c *cluster.Cluster, r *rand.Rand) func() { return killed(c, entryOf(c, r)) }},
	{"kill-agent", func(c *cluster.Cluster, r *rand.Rand) func() { return killed(c, agentOf(c, r)) }},
	{"kill-both", func(c *cluster.Cluster, r *rand.Rand) func() { return killed(c, entryOf(c, r), agentOf(c, r)) }},
	{"pause-entry", func(c *cluster.Cluster, r *rand.Rand) func() { return paused(entryOf(c, r)) }},
	{"pause-agent", func(c *cluster.Cluster, r *rand.Rand) func() { return paused(agentOf(c, r)) }},
	{"pause-remover", func(c *cluster.Cluster, r *rand.Rand) func() {
		// The first in order of names removes the silent seat.
		end := killed(c, c.Entries[2])
		time.Sleep(trialLease/2 + time.Duration(r.IntN(300))*time.Millisecond)
		return both(paused(c.Entries[0]), end)
	}},
	{"cut-agent", func(c *cluster.Cluster, r *rand.Rand) func() {
		k := r.IntN(len(c.Agents))
		c.Cut(k, true)
		return func() { c.Cut(k, false) }
	}},
	{"cut-again-and-again", func(c *cluster.Cluster, r *rand.Rand) func() {
		k := r.IntN(len(c.Agents))
		for range 8 {
			c.Cut(k, true)
			time.Sleep(time.Duration(r.IntN(150)) * time.Millisecond)
			c.Cut(k, false)
			time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
		}
		return func() {}
	}},
	{"store-down", func(c *cluster.Cluster, _ *rand.Rand) func() {
		return storeFault(c, standplatform.Faults{Outage: true})
	}},
	{"store-down-before-kill", func(c *cluster.Cluster, r *rand.Rand) func() {
		up := storeFault(c, standplatform.Faults{Outage: true})
		end := killed(c, entryOf(c, r))
		time.Sleep(trouble / 2)
		up()
		return end
	}},
	{"store-down-after-kill", func(c *cluster.Cluster, r *rand.Rand) func() {
		end := killed(c, entryOf(c, r))
		time.Sleep(trialLease/2 + time.Duration(r.IntN(1000))*time.Millisecond)
		return both(storeFault(c, standplatform.Faults{Outage: true}), end)
	}},
	{"store-slow-kill", func(c *cluster.Cluster, r *rand.Rand) func() {
		return both(storeFault(c, standplatform.Faults{SlowMS: 400}), killed(c, entryOf(c, r)))
	}},
	{"lost-answers-kill", func(c *cluster.Cluster, r *rand.Rand) func() {
		return both(storeFault(c, standplatform.Faults{LoseAnswers: 2}), killed(c, entryOf(c, r)))
	}},
}

// TestFailures runs the trials: callers submit and resubmit jobs through all
// entries while something fails. Run many with
//
//	go test ./trials -run TestFailures -trials 200 -timeout 2h -v
func TestFailures(t *testing.T) {
	n := *trials
	if n == 0 {
		n = len(failures)
	}
	var mu sync.Mutex
	sums := make(map[string]tally)
	// The trials end before their sums are printed.
	t.Run("all", func(t *testing.T) {
		for k := range n {
			f := failures[k%len(failures)]
			t.Run(fmt.Sprintf("%s-%d", f.name, k), func(t *testing.T) {
				t.Parallel()
				got := trial(t, f, *trialSeed+uint64(k))
				mu.Lock()
				defer mu.Unlock()
				sums[f.name] = sums[f.name].plus(got)
			})
		}
	})
	for _, f := range failures {
		t.Logf("%-24s %s", f.name, sums[f.name])
	}
}

// tally is what came of a trial.
type tally struct {
	jobs, complete, failed, refused, unanswered int
	starts, doubled, wrong, falseNo             int
	slowest                                     time.Duration
}

func (a tally) plus(b tally) tally {
	return tally{
		a.jobs + b.jobs, a.complete + b.complete, a.failed + b.failed, a.refused + b.refused, a.unanswered + b.unanswered,
		a.starts + b.starts, a.doubled + b.doubled, a.wrong + b.wrong, a.falseNo + b.falseNo,
		max(a.slowest, b.slowest),
	}
}

func (a tally) String() string {
	return fmt.Sprintf("jobs %d: complete %d, failed %d, refused %d, no answer %d; starts %d, doubled %d, wrong answers %d, false not-run %d; slowest answer %d ms",
		a.jobs, a.complete, a.failed, a.refused, a.unanswered, a.starts, a.doubled, a.wrong, a.falseNo, a.slowest.Milliseconds())
}

// watch collects what the callers of a trial see.
type watch struct {
	mu sync.Mutex
	tally
	// besides are the submissions made beside a caller's own.
	besides sync.WaitGroup
	notRun  map[string]time.Time // when a job's attempt began that was called not run
	ran     map[string]bool      // jobs with an answer that does not say so
}

func trial(t *testing.T, f failure, seed uint64) tally {
	rng := rand.New(rand.NewPCG(seed, seed))
	c := cluster.Start(t, cluster.Config{Entries: 3, Agents: 3, Slots: 4, Lease: trialLease})
	w := &watch{notRun: make(map[string]time.Time), ran: make(map[string]bool)}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var all sync.WaitGroup
	for k := range callers {
		all.Go(func() { w.call(ctx, t, c, rand.New(rand.NewPCG(seed, uint64(k))), fmt.Sprintf("s%d-c%d", seed, k)) })
	}
	time.Sleep(calmBefore)
	end := f.begin(c, rng)
	time.Sleep(trouble)
	end()
	time.Sleep(calmAfter)
	stop()
	all.Wait()
	w.besides.Wait()
	c.UntilReady()
	w.check(t, c)
	return w.tally
}

// call submits one job after the other until ctx is done, each to the end.
func (w *watch) call(ctx context.Context, t *testing.T, c *cluster.Cluster, rng *rand.Rand, name string) {
	for k := 0; ctx.Err() == nil; k++ {
		j := jobOf(fmt.Sprintf("%s-%d", name, k), 1+rng.IntN(6), 20+rng.IntN(150))
		at := time.Now().Add(lifetime)
		j.ExpiresAt = &at
		w.untilAnswered(t, c, rng, j)
	}
}

// untilAnswered submits a job again and again, through any entry and sometimes
// through two at once, until it has a final answer.
func (w *watch) untilAnswered(t *testing.T, c *cluster.Cluster, rng *rand.Rand, j seats.Job) {
	began := time.Now()
	for range attempts {
		k := rng.IntN(len(c.Entries))
		if rng.IntN(4) == 0 {
			w.besides.Go(func() { w.submit(t, c, (k+1)%len(c.Entries), j) })
		}
		a, ok := w.submit(t, c, k, j)
		final := ok && (a.State != seats.Refused || a.Ran == seats.RanYes)
		if final || time.Since(began) > lifetime {
			w.ended(a, ok, time.Since(began))
			return
		}
		time.Sleep(time.Duration(50+rng.IntN(150)) * time.Millisecond)
	}
	w.ended(seats.Answer{}, false, time.Since(began))
}

func (w *watch) submit(t *testing.T, c *cluster.Cluster, k int, j seats.Job) (seats.Answer, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), answerWithin)
	defer cancel()
	began := time.Now()
	a, err := c.Client(k).Submit(ctx, cluster.Service, j)
	if err != nil {
		return a, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case a.Ran == seats.RanNo:
		w.notRun[j.ID] = began
	default:
		w.ran[j.ID] = true
	}
	if a.State == seats.Complete && !isWhole(j, a) {
		w.wrong++
		t.Errorf("job %s: not the whole answer: %+v", j.ID, a)
	}
	return a, true
}

func isWhole(j seats.Job, a seats.Answer) bool {
	return a.ID == j.ID && len(a.Results) == len(j.Tasks) && !slices.ContainsFunc(j.Tasks, func(task seats.Task) bool {
		k := slices.IndexFunc(a.Results, func(r seats.Result) bool { return r.ID == task.ID })
		return k < 0 || string(a.Results[k].Output) != fmt.Sprintf(`{"task":"%s/%s","echo":"%s-%d"}`, j.ID, task.ID, j.ID, k)
	})
}

func (w *watch) ended(a seats.Answer, ok bool, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs++
	w.slowest = max(w.slowest, took)
	switch {
	case !ok:
		w.unanswered++
	case a.State == seats.Complete:
		w.complete++
	case a.State == seats.Failed:
		w.failed++
	default:
		w.refused++
	}
}

// check compares the answers with what the targets were told.
func (w *watch) check(t *testing.T, c *cluster.Cluster) {
	w.mu.Lock()
	defer w.mu.Unlock()
	doubled, starts := c.Doubled()
	w.doubled, w.starts = len(doubled), starts
	for job, attempt := range w.notRun {
		first, started := c.FirstStart(job)
		if started && (first.Before(attempt) || !w.ran[job]) {
			w.falseNo++
			t.Errorf("job %s was called not run by an attempt of %v, but started at %v", job, attempt, first)
		}
	}
	assert.Check(t, len(doubled) == 0, "started twice: %v", doubled)
	assert.Check(t, w.complete > 0, "no job was answered")
}
