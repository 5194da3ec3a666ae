package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// recorder collects what clients sent and were answered and what the workers ran, with the time
// since the start of the traffic.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	lines []string
	runs  []*interval
}

// interval is one run of a task at a worker.
type interval struct {
	task, worker string
	run          int
	begin, end   time.Duration // end is zero while the run is active
	how          string
}

func newRecorder() *recorder {
	return &recorder{start: time.Now()}
}

// now returns the time since the start of the traffic.
func (r *recorder) now() time.Duration {
	return time.Since(r.start)
}

// notef adds a line.
func (r *recorder) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(format, args...)
}

// add is notef for callers that hold r.mu.
func (r *recorder) add(format string, args ...any) {
	line := fmt.Sprintf("%7.3f ", r.now().Seconds()) + fmt.Sprintf(format, args...)
	r.lines = append(r.lines, line)
}

// began records the start of a run.
func (r *recorder) began(worker, task string, run int) *interval {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := &interval{task: task, worker: worker, run: run, begin: r.now()}
	r.runs = append(r.runs, i)
	r.add("worker %s starts %s run %d", worker, task, run)
	return i
}

// ended records the end of a run.
func (r *recorder) ended(i *interval, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i.end, i.how = r.now(), how
	r.add("worker %s ends %s run %d: %s", i.worker, i.task, i.run, how)
}

// intervals returns copies of the runs of a job, in the order of their starts.
func (r *recorder) intervals(job string) []interval {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []interval
	for _, i := range r.runs {
		if strings.HasPrefix(i.task, job+".") {
			list = append(list, *i)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].begin < list[b].begin })
	return list
}

// overlaps returns the longest time for which two runs of one task of a job went on together.
func (r *recorder) overlaps(job string) (longest time.Duration, what string) {
	list := r.intervals(job)
	end := func(i interval) time.Duration {
		if i.how == "" {
			return r.now()
		}
		return i.end
	}
	for k, a := range list {
		for _, b := range list[k+1:] {
			if a.task != b.task || b.begin >= end(a) {
				continue
			}
			if both := min(end(a), end(b)) - b.begin; both > longest {
				longest = both
				what = fmt.Sprintf("%s: run %d at %s and run %d at %s", a.task, a.run, a.worker, b.run, b.worker)
			}
		}
	}
	return longest, what
}

// write writes the record to a file.
func (r *recorder) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
