// Package target is a stand-in for a target: it runs a task for the time that
// the payload asks for, and counts the starts of each task.
package target

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Work is the payload that the stand-in understands.
type Work struct {
	// MS is how long the task runs, in milliseconds.
	MS int `json:"ms"`
	// Echo comes back in the output.
	Echo string `json:"echo,omitempty"`
	// Fail answers with a failure.
	Fail bool `json:"fail,omitempty"`
	// Drop closes the connection without an answer.
	Drop bool `json:"drop,omitempty"`
}

// Output is the stand-in's answer.
type Output struct {
	Task string `json:"task"`
	Echo string `json:"echo,omitempty"`
}

// Target is the stand-in's handler.
type Target struct {
	mu      sync.Mutex
	jobs    map[string]*Started
	running int
	peak    int
	slow    float64
}

// NewTarget returns a target that has started nothing.
func NewTarget() *Target {
	return &Target{jobs: make(map[string]*Started), slow: 1}
}

// SetSlowness makes every task run for factor times what it asks for.
func (t *Target) SetSlowness(factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slow = factor
}

// Starts returns how often each task, by "job/task", was started.
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

// FirstStart returns when the job's first task was started here.
func (t *Target) FirstStart(job string) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.jobs[job]; s != nil {
		return s.First, true
	}
	return time.Time{}, false
}

// Peak returns the most tasks that ran at once.
func (t *Target) Peak() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peak
}

// ServeHTTP implements http.Handler: POST /tasks runs a task, GET /starts tells
// the counts.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/tasks":
		t.run(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/starts":
		_ = json.NewEncoder(w).Encode(t.Starts()) // the caller sees a short body
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
		_ = json.NewEncoder(w).Encode(Output{Task: job + "/" + task, Echo: work.Echo}) // the caller sees a short body
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
	s.note(task, time.Now())
	t.running++
	t.peak = max(t.peak, t.running)
	return t.slow
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}
