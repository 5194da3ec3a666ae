// Package load is a seeded load generator. It submits jobs to entries and
// reports the ratio of response time to ideal time and the failures by code.
package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/beaconpoint/beaconpoint/seats"
)

// Limits of a load and the distribution of task durations.
const (
	maxJobs          = 1_000_000
	maxJobsPerSecond = 100_000
	maxInFlight      = 4096
	// ratioScale is the histogram value of a ratio of one.
	ratioScale = 1000
	maxRatio   = 10_000 * ratioScale
	// longTaskShare is the fraction of long tasks.
	longTaskShare = 0.02
	longTaskMinMS = 2000
	longTaskMaxMS = 5000
)

// Config describes a load.
type Config struct {
	// Entries lists the base URLs of the entries, separated by commas. Jobs
	// are submitted to them in round-robin order.
	Entries      string
	Service      string
	Organisation string
	// Jobs is the number of jobs.
	Jobs int
	// LargestJob is the largest number of tasks in a job. Job sizes are
	// log-uniform.
	LargestJob int
	// JobsPerSecond is the mean rate of the Poisson arrivals.
	JobsPerSecond float64
	// ShortMS and LongMS are the range of task durations in milliseconds. If
	// LongMS is at least 1000, one task in fifty runs for 2 to 5 s instead.
	ShortMS, LongMS int
	// Expiry is the time to live of each job; zero means none.
	Expiry time.Duration
	Seed   uint64
}

// DefaultConfig returns the configuration of a small load.
func DefaultConfig() Config {
	return Config{
		Service: "trackd", Organisation: "port-gate", Jobs: 200, LargestJob: 20,
		JobsPerSecond: 20, ShortMS: 50, LongMS: 500, Seed: 1,
	}
}

// Report holds the results of a load.
type Report struct {
	mu       sync.Mutex
	Jobs     int
	Tasks    int
	States   map[seats.State]int
	Codes    map[string]int
	NoAnswer int
	// Wrong counts complete answers whose results do not match the job.
	Wrong    int
	Ratio    *hdrhistogram.Histogram
	Took     time.Duration
	Finished int // number of tasks of complete jobs
}

// Run submits the jobs of the load and waits for all answers.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	r := &Report{
		States: make(map[seats.State]int),
		Codes:  make(map[string]int),
		Ratio:  hdrhistogram.New(1, maxRatio, 3),
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight}
	defer transport.CloseIdleConnections()
	var clients []*seats.Client
	for base := range strings.SplitSeq(cfg.Entries, ",") {
		clients = append(clients, seats.NewClient(base, seats.WithHTTPClient(&http.Client{Transport: transport})))
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	inFlight := make(chan struct{}, maxInFlight)
	var jobs sync.WaitGroup
	start := time.Now()
	next := start
	for k := range cfg.Jobs {
		j, longest := cfg.newJob(rng, k)
		next = next.Add(time.Duration(rng.ExpFloat64() / cfg.JobsPerSecond * float64(time.Second)))
		if !sleepUntil(ctx, next) {
			break
		}
		inFlight <- struct{}{}
		jobs.Go(func() {
			defer func() { <-inFlight }()
			r.submit(ctx, clients[k%len(clients)], cfg, j, longest)
		})
	}
	jobs.Wait()
	r.Took = time.Since(start)
	return r, nil
}

func (c Config) check() error {
	switch {
	case c.Entries == "":
		return errors.New("name at least one entry")
	case c.Jobs < 1 || c.Jobs > maxJobs:
		return fmt.Errorf("jobs must be 1 to %d", maxJobs)
	case c.LargestJob < 1 || c.LargestJob > seats.MaxTasks:
		return fmt.Errorf("tasks must be 1 to %d", seats.MaxTasks)
	case c.JobsPerSecond <= 0 || c.JobsPerSecond > maxJobsPerSecond:
		return fmt.Errorf("the rate must be above 0 and at most %d", maxJobsPerSecond)
	case c.ShortMS < 0 || c.LongMS < c.ShortMS:
		return errors.New("the longest task must not be shorter than the shortest")
	}
	return nil
}

// newJob returns the k-th newJob and the duration of its longest task.
func (c Config) newJob(rng *rand.Rand, k int) (seats.Job, time.Duration) {
	n := int(math.Exp(rng.Float64() * math.Log(float64(c.LargestJob)+0.999)))
	j := seats.Job{ID: fmt.Sprintf("load-%d-%d-%d", c.Seed, time.Now().UnixNano(), k), Organisation: c.Organisation}
	if c.Expiry > 0 {
		at := time.Now().Add(c.Expiry)
		j.ExpiresAt = &at
	}
	longestMS := 1
	for i := range n {
		ms := c.ShortMS + rng.IntN(c.LongMS-c.ShortMS+1)
		if c.LongMS >= 1000 && rng.Float64() < longTaskShare {
			ms = longTaskMinMS + rng.IntN(longTaskMaxMS-longTaskMinMS)
		}
		longestMS = max(longestMS, ms)
		j.Tasks = append(j.Tasks, seats.Task{
			ID:      fmt.Sprintf("t%d", i),
			Payload: fmt.Appendf(nil, `{"ms":%d,"echo":"%s-%d"}`, ms, j.ID, i),
		})
	}
	return j, time.Duration(longestMS) * time.Millisecond
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (r *Report) submit(ctx context.Context, c *seats.Client, cfg Config, j seats.Job, longest time.Duration) {
	began := time.Now()
	a, err := c.Submit(ctx, cfg.Service, j)
	took := time.Since(began)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Jobs++
	r.Tasks += len(j.Tasks)
	if err != nil {
		r.NoAnswer++
		return
	}
	r.States[a.State]++
	if a.State != seats.Complete {
		r.Codes[fmt.Sprintf("%d %s (ran: %s)", a.Code, a.Name, a.Ran)]++
		return
	}
	r.Finished += len(j.Tasks)
	if !resultsMatch(j, a) {
		r.Wrong++
	}
	_ = r.Ratio.RecordValue(min(int64(float64(took)/float64(longest)*ratioScale), maxRatio)) // within bounds
}

// resultsMatch reports whether a holds one result for each task of j, with the echo of
// that task.
func resultsMatch(j seats.Job, a seats.Answer) bool {
	if a.ID != j.ID || len(a.Results) != len(j.Tasks) {
		return false
	}
	for k, t := range j.Tasks {
		var asked, got struct{ Echo string }
		if json.Unmarshal(t.Payload, &asked) != nil || json.Unmarshal(a.Results[k].Output, &got) != nil {
			return false
		}
		if a.Results[k].ID != t.ID || got.Echo != asked.Echo {
			return false
		}
	}
	return true
}

// Text returns the report as human-readable text.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "jobs %d, tasks %d, in %.1f s (%.0f tasks/s finished)\n",
		r.Jobs, r.Tasks, r.Took.Seconds(), float64(r.Finished)/r.Took.Seconds())
	fmt.Fprintf(&b, "complete %d, refused %d, failed %d, no answer %d, wrong %d\n",
		r.States[seats.Complete], r.States[seats.Refused], r.States[seats.Failed], r.NoAnswer, r.Wrong)
	var codes []string
	for c := range r.Codes {
		codes = append(codes, c)
	}
	slices.Sort(codes)
	for _, c := range codes {
		fmt.Fprintf(&b, "  %s: %d\n", c, r.Codes[c])
	}
	fmt.Fprintf(&b, "response over ideal: mean %.3f, median %.3f, p90 %.3f, p99 %.3f, worst %.3f\n",
		r.Ratio.Mean()/ratioScale, r.quantile(50), r.quantile(90), r.quantile(99), float64(r.Ratio.Max())/ratioScale)
	return b.String()
}

func (r *Report) quantile(q float64) float64 {
	return float64(r.Ratio.ValueAtQuantile(q)) / ratioScale
}
