package main

import (
	"bufio"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// record is the record of a case: one line for each event, and the runs and answers seen.
type record struct {
	began time.Time

	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	runs    map[string][]*seenRun // by task
	answers map[string]int
}

// seenRun is a run as its worker saw it.
type seenRun struct {
	worker   string
	number   int
	from, to time.Duration // to is zero while the run goes on
}

// newRecord creates the record file.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f), runs: make(map[string][]*seenRun),
		answers: make(map[string]int)}, nil
}

// close writes what is buffered and closes the file.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// now returns the time since the beginning of the record.
func (r *record) now() time.Duration {
	return time.Since(r.began)
}

// note writes a line with the current time.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// write writes a line. The caller holds r.mu.
func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_ = r.out.Flush()
}

// began notes the beginning of a run and returns it.
func (r *record) runBegan(worker, task string, number int) *seenRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &seenRun{worker: worker, number: number, from: r.now()}
	r.runs[task] = append(r.runs[task], run)
	r.write("%s begins run %d of %s", worker, number, task)
	return run
}

// runEnded notes the end of a run.
func (r *record) runEnded(run *seenRun, task, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.to = r.now()
	r.write("%s ends run %d of %s: %s", run.worker, run.number, task, how)
}

// answered notes what a client got for a request.
func (r *record) answered(job, entry, status string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[status]++
	r.write("client gets %s for job %s from %s", status, job, entry)
}

// counts returns the number of runs, and the answers by status.
func (r *record) counts() (runs int, answers string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, list := range r.runs {
		runs += len(list)
	}
	var parts []string
	for _, status := range slices.Sorted(maps.Keys(r.answers)) {
		parts = append(parts, fmt.Sprintf("%s: %d", status, r.answers[status]))
	}
	return runs, strings.Join(parts, ", ")
}

// overlaps describes the pairs of runs of one task that went on at the same time.
func (r *record) overlaps() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	for _, task := range slices.Sorted(maps.Keys(r.runs)) {
		list := r.runs[task]
		for k, first := range list {
			for _, second := range list[k+1:] {
				from, to := max(first.from, second.from), min(r.end(first), r.end(second))
				if to > from {
					found = append(found, fmt.Sprintf("task %s: run %d on %s and run %d on %s both went on from %.3f to %.3f s",
						task, first.number, first.worker, second.number, second.worker, from.Seconds(), to.Seconds()))
				}
			}
		}
	}
	return found
}

// end returns the end of a run, or the current time while it goes on. The caller holds r.mu.
func (r *record) end(run *seenRun) time.Duration {
	if run.to == 0 {
		return r.now()
	}
	return run.to
}
