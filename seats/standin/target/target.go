// Package target is a test double for a target. A task sleeps for the duration
// in its payload, and the starts of each task are counted.
package target

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Work is the payload of a task.
type Work struct {
	// MS is the run time of the task in milliseconds.
	MS int `json:"ms"`
	// Echo is copied to the output.
	Echo string `json:"echo,omitempty"`
	// Fail makes the target respond with status 500.
	Fail bool `json:"fail,omitempty"`
	// Drop makes the target close the connection without a response.
	Drop bool `json:"drop,omitempty"`
}

// Output is the response to a task.
type Output struct {
	Task string `json:"task"`
	Echo string `json:"echo,omitempty"`
}

// Target is the HTTP handler of the test double.
type Target struct {
	mu       sync.Mutex
	jobs     map[string]*Started
	running  int
	peak     int
	slowness float64
}

// NewTarget returns a target without any starts.
func NewTarget() *Target {
	return &Target{jobs: make(map[string]*Started), slowness: 1}
}

// SetSlowness multiplies the run time of every task by factor.
func (t *Target) SetSlowness(factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowness = factor
}

// Starts returns the number of starts of each task, keyed by "job/task".
func (t *Target) Starts() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[string]int)
	for job, s := range t.jobs {
		for task, n := range s.Tasks {
			all[job+"/"+task] = n
		}
	}
	return all
}

// FirstStart returns the time of the job's first start at this target.
func (t *Target) FirstStart(job string) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.jobs[job]; s != nil {
		return s.First, true
	}
	return time.Time{}, false
}

// Peak returns the largest number of tasks that ran concurrently.
func (t *Target) Peak() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peak
}

// ServeHTTP implements http.Handler. POST /tasks runs a task, GET /starts returns
// the number of starts of each task.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/tasks":
		t.run(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/starts":
		_ = json.NewEncoder(w).Encode(t.Starts()) // fails only if the client has gone
	default:
		http.NotFound(w, r)
	}
}

func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	job, task := r.Header.Get("X-Job"), r.Header.Get("X-Task")
	factor := t.begin(job, task)
	defer t.end()
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var work Work
	if err := json.Unmarshal(raw, &work); err != nil {
		work = Work{Echo: string(raw)}
	}
	time.Sleep(time.Duration(float64(work.MS) * factor * float64(time.Millisecond)))
	switch {
	case work.Drop:
		panic(http.ErrAbortHandler)
	case work.Fail:
		http.Error(w, "failed as asked", http.StatusInternalServerError)
	default:
		_ = json.NewEncoder(w).Encode(Output{Task: job + "/" + task, Echo: work.Echo}) // fails only if the client has gone
	}
}

func (t *Target) begin(job, task string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.jobs[job]
	if s == nil {
		s = &Started{}
		t.jobs[job] = s
	}
	s.record(task, time.Now())
	t.running++
	t.peak = max(t.peak, t.running)
	return t.slowness
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}
