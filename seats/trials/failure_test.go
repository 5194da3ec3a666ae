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
	trials    = flag.Int("trials", 0, "number of seeded failure trials; 0 runs one of each kind")
	trialSeed = flag.Uint64("trial.seed", 1, "seed of the first trial")
)

// Size and timing of one trial.
const (
	callers       = 12
	trialLease    = 1500 * time.Millisecond
	beforeFailure = 400 * time.Millisecond
	failureTime   = 3500 * time.Millisecond
	recoveryTime  = 1500 * time.Millisecond
	pauseTime     = 2500 * time.Millisecond // longer than the lease
	jobLifetime   = 12 * time.Second
	maxAttempts   = 40
	answerTimeout = 15 * time.Second
)

// failure is a kind of failure. begin injects it and returns a function that ends
// it.
type failure struct {
	name  string
	begin func(c *cluster.Cluster, rng *rand.Rand) func()
}

func randomEntry(c *cluster.Cluster, rng *rand.Rand) *cluster.Process {
	return c.Entries[rng.IntN(len(c.Entries))]
}

func randomAgent(c *cluster.Cluster, rng *rand.Rand) *cluster.Process {
	return c.Agents[rng.IntN(len(c.Agents))]
}

// kill kills the processes and returns a function that restarts them.
func kill(c *cluster.Cluster, all ...*cluster.Process) func() {
	for _, p := range all {
		p.Kill()
	}
	return func() {
		for _, p := range all {
			c.Begin(p)
		}
	}
}

// pause stops the processes for longer than the lease and resumes them.
func pause(all ...*cluster.Process) func() {
	for _, p := range all {
		p.Signal(syscall.SIGSTOP)
	}
	time.Sleep(pauseTime)
	for _, p := range all {
		p.Signal(syscall.SIGCONT)
	}
	return func() {}
}

func injectStoreFaults(c *cluster.Cluster, f standplatform.Faults) func() {
	c.Store.SetFaults(f)
	return func() { c.Store.SetFaults(standplatform.Faults{}) }
}

func sequence(a, b func()) func() {
	return func() {
		a()
		b()
	}
}

var failures = []failure{
	{"kill-entry", func(c *cluster.Cluster, r *rand.Rand) func() { return kill(c, randomEntry(c, r)) }},
	{"kill-agent", func(c *cluster.Cluster, r *rand.Rand) func() { return kill(c, randomAgent(c, r)) }},
	{"kill-both", func(c *cluster.Cluster, r *rand.Rand) func() { return kill(c, randomEntry(c, r), randomAgent(c, r)) }},
	{"pause-entry", func(c *cluster.Cluster, r *rand.Rand) func() { return pause(randomEntry(c, r)) }},
	{"pause-agent", func(c *cluster.Cluster, r *rand.Rand) func() { return pause(randomAgent(c, r)) }},
	{"pause-remover", func(c *cluster.Cluster, r *rand.Rand) func() {
		// Entry 0, the first by name, removes the killed entry from the roster.
		end := kill(c, c.Entries[2])
		time.Sleep(trialLease/2 + time.Duration(r.IntN(300))*time.Millisecond)
		return sequence(pause(c.Entries[0]), end)
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
		return injectStoreFaults(c, standplatform.Faults{Outage: true})
	}},
	{"store-down-before-kill", func(c *cluster.Cluster, r *rand.Rand) func() {
		up := injectStoreFaults(c, standplatform.Faults{Outage: true})
		end := kill(c, randomEntry(c, r))
		time.Sleep(failureTime / 2)
		up()
		return end
	}},
	{"store-down-after-kill", func(c *cluster.Cluster, r *rand.Rand) func() {
		end := kill(c, randomEntry(c, r))
		time.Sleep(trialLease/2 + time.Duration(r.IntN(1000))*time.Millisecond)
		return sequence(injectStoreFaults(c, standplatform.Faults{Outage: true}), end)
	}},
	{"store-slow-kill", func(c *cluster.Cluster, r *rand.Rand) func() {
		return sequence(injectStoreFaults(c, standplatform.Faults{SlowMS: 400}), kill(c, randomEntry(c, r)))
	}},
	{"lost-answers-kill", func(c *cluster.Cluster, r *rand.Rand) func() {
		return sequence(injectStoreFaults(c, standplatform.Faults{LoseAnswers: 2}), kill(c, randomEntry(c, r)))
	}},
}

// Fails when a task is started twice or an answer is wrong during a failure.
// -trials sets the number of trials, -trial.seed the first seed.
func TestFailures(t *testing.T) {
	n := *trials
	if n == 0 {
		n = len(failures)
	}
	var mu sync.Mutex
	sums := make(map[string]tally)
	// The outer subtest returns after all parallel trials, before the summary.
	t.Run("all", func(t *testing.T) {
		for k := range n {
			f := failures[k%len(failures)]
			t.Run(fmt.Sprintf("%s-%d", f.name, k), func(t *testing.T) {
				t.Parallel()
				got := runTrial(t, f, *trialSeed+uint64(k))
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

// tally counts the outcomes of a trial.
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

// observer collects the answers that the callers of a trial receive.
type observer struct {
	mu sync.Mutex
	tally
	// duplicates waits for the duplicate submissions.
	duplicates sync.WaitGroup
	notRun     map[string]time.Time // by job ID: begin of the last attempt answered as not run
	ran        map[string]bool      // by job ID: some attempt was answered otherwise
}

func runTrial(t *testing.T, f failure, seed uint64) tally {
	rng := rand.New(rand.NewPCG(seed, seed))
	c := cluster.Start(t, cluster.Config{Entries: 3, Agents: 3, Slots: 4, Lease: trialLease})
	w := &observer{notRun: make(map[string]time.Time), ran: make(map[string]bool)}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var all sync.WaitGroup
	for k := range callers {
		all.Go(func() { w.run(ctx, t, c, rand.New(rand.NewPCG(seed, uint64(k))), fmt.Sprintf("s%d-c%d", seed, k)) })
	}
	time.Sleep(beforeFailure)
	end := f.begin(c, rng)
	time.Sleep(failureTime)
	end()
	time.Sleep(recoveryTime)
	stop()
	all.Wait()
	w.duplicates.Wait()
	c.UntilReady()
	w.check(t, c)
	return w.tally
}

// run submits jobs one after the other until ctx is done. It waits for the
// final answer to each.
func (w *observer) run(ctx context.Context, t *testing.T, c *cluster.Cluster, rng *rand.Rand, name string) {
	for k := 0; ctx.Err() == nil; k++ {
		j := jobOf(fmt.Sprintf("%s-%d", name, k), 1+rng.IntN(6), 20+rng.IntN(150))
		at := time.Now().Add(jobLifetime)
		j.ExpiresAt = &at
		w.submitUntilAnswered(t, c, rng, j)
	}
}

// submitUntilAnswered submits a job through random entries, sometimes through two
// at once, until it has a final answer or its lifetime is over.
func (w *observer) submitUntilAnswered(t *testing.T, c *cluster.Cluster, rng *rand.Rand, j seats.Job) {
	began := time.Now()
	for range maxAttempts {
		k := rng.IntN(len(c.Entries))
		if rng.IntN(4) == 0 {
			w.duplicates.Go(func() { w.submit(t, c, (k+1)%len(c.Entries), j) })
		}
		a, ok := w.submit(t, c, k, j)
		final := ok && (a.State != seats.Refused || a.Ran == seats.RanYes)
		if final || time.Since(began) > jobLifetime {
			w.recordOutcome(a, ok, time.Since(began))
			return
		}
		time.Sleep(time.Duration(50+rng.IntN(150)) * time.Millisecond)
	}
	w.recordOutcome(seats.Answer{}, false, time.Since(began))
}

func (w *observer) submit(t *testing.T, c *cluster.Cluster, k int, j seats.Job) (seats.Answer, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
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
	if a.State == seats.Complete && !resultsMatch(j, a) {
		w.wrong++
		t.Errorf("job %s: results do not match its tasks: %+v", j.ID, a)
	}
	return a, true
}

func resultsMatch(j seats.Job, a seats.Answer) bool {
	return a.ID == j.ID && len(a.Results) == len(j.Tasks) && !slices.ContainsFunc(j.Tasks, func(task seats.Task) bool {
		k := slices.IndexFunc(a.Results, func(r seats.Result) bool { return r.ID == task.ID })
		return k < 0 || string(a.Results[k].Output) != fmt.Sprintf(`{"task":"%s/%s","echo":"%s-%d"}`, j.ID, task.ID, j.ID, k)
	})
}

func (w *observer) recordOutcome(a seats.Answer, ok bool, took time.Duration) {
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

// check compares the answers with the starts at the targets.
func (w *observer) check(t *testing.T, c *cluster.Cluster) {
	w.mu.Lock()
	defer w.mu.Unlock()
	doubled, starts := c.Doubled()
	w.doubled, w.starts = len(doubled), starts
	for job, attempt := range w.notRun {
		first, started := c.FirstStart(job)
		if started && (first.Before(attempt) || !w.ran[job]) {
			w.falseNo++
			t.Errorf("job %s: the attempt of %v was answered as not run, but the job was started at %v", job, attempt, first)
		}
	}
	assert.Check(t, len(doubled) == 0, "tasks started more than once: %v", doubled)
	assert.Check(t, w.complete > 0, "no job completed")
}
