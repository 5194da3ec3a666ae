// Package load puts a bounded, seeded load of jobs on entries and measures the
// answers: response time against the ideal, and refusals by code.
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

// Bounds of a load.
const (
	maxJobs     = 1_000_000
	maxRate     = 100_000
	maxInFlight = 4096
	// ratioScale is the precision of a ratio in the histogram.
	ratioScale = 1000
	maxRatio   = 10_000 * ratioScale
	// longShare is the share of tasks of several seconds.
	longShare  = 0.02
	severalMin = 2000
	severalMax = 5000
)

// Config is the shape of a load.
type Config struct {
	// Entries are base URLs, comma-separated; jobs go to them in turn.
	Entries      string
	Service      string
	Organisation string
	// Jobs is how many jobs are submitted.
	Jobs int
	// LargestJob is the largest number of tasks; sizes are log-uniform.
	LargestJob int
	// JobsPerSecond is the mean rate of arrivals, which are Poisson.
	JobsPerSecond float64
	// ShortMS and LongMS bound the common task's length, in milliseconds;
	// one in fifty lasts several seconds if LongMS is at least 1000.
	ShortMS, LongMS int
	// Expiry is each job's time to live; zero for none.
	Expiry time.Duration
	Seed   uint64
}

// DefaultConfig returns a small load.
func DefaultConfig() Config {
	return Config{
		Service: "trackd", Organisation: "port-gate", Jobs: 200, LargestJob: 20,
		JobsPerSecond: 20, ShortMS: 50, LongMS: 500, Seed: 1,
	}
}

// Report is what came of a load.
type Report struct {
	mu       sync.Mutex
	Jobs     int
	Tasks    int
	States   map[seats.State]int
	Codes    map[string]int
	NoAnswer int
	// Wrong counts complete answers that were not whole and the caller's own.
	Wrong    int
	Ratio    *hdrhistogram.Histogram
	Took     time.Duration
	Finished int // tasks of complete jobs
}

// Run puts the load on the entries and waits for every answer.
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
	room := make(chan struct{}, maxInFlight)
	var jobs sync.WaitGroup
	began := time.Now()
	next := began
	for k := range cfg.Jobs {
		j, longest := cfg.job(rng, k)
		next = next.Add(time.Duration(rng.ExpFloat64() / cfg.JobsPerSecond * float64(time.Second)))
		if !sleepUntil(ctx, next) {
			break
		}
		room <- struct{}{}
		jobs.Go(func() {
			defer func() { <-room }()
			r.submit(ctx, clients[k%len(clients)], cfg, j, longest)
		})
	}
	jobs.Wait()
	r.Took = time.Since(began)
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
	case c.JobsPerSecond <= 0 || c.JobsPerSecond > maxRate:
		return fmt.Errorf("the rate must be above 0 and at most %d", maxRate)
	case c.ShortMS < 0 || c.LongMS < c.ShortMS:
		return errors.New("the longest task must not be shorter than the shortest")
	}
	return nil
}

// job makes the k-th job and tells its longest task.
func (c Config) job(rng *rand.Rand, k int) (seats.Job, time.Duration) {
	n := int(math.Exp(rng.Float64() * math.Log(float64(c.LargestJob)+0.999)))
	j := seats.Job{ID: fmt.Sprintf("load-%d-%d-%d", c.Seed, time.Now().UnixNano(), k), Organisation: c.Organisation}
	if c.Expiry > 0 {
		at := time.Now().Add(c.Expiry)
		j.ExpiresAt = &at
	}
	longest := 1
	for i := range n {
		ms := c.ShortMS + rng.IntN(c.LongMS-c.ShortMS+1)
		if c.LongMS >= 1000 && rng.Float64() < longShare {
			ms = severalMin + rng.IntN(severalMax-severalMin)
		}
		longest = max(longest, ms)
		j.Tasks = append(j.Tasks, seats.Task{
			ID:      fmt.Sprintf("t%d", i),
			Payload: fmt.Appendf(nil, `{"ms":%d,"echo":"%s-%d"}`, ms, j.ID, i),
		})
	}
	return j, time.Duration(longest) * time.Millisecond
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
	if !whole(j, a) {
		r.Wrong++
	}
	_ = r.Ratio.RecordValue(min(int64(float64(took)/float64(longest)*ratioScale), maxRatio)) // within bounds
}

// whole reports whether a answers every task of j, each with its own echo.
func whole(j seats.Job, a seats.Answer) bool {
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

// Text returns the report for people.
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
