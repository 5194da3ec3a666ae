// Package target is a test double for a target of the platform. It starts, stops and lists
// runs over HTTP. Runs that end after the lease has expired are listed as lapsed. The spec
// of a task is its duration.
package target

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Target is a target across all of its incarnations. It implements http.Handler.
type Target struct {
	// Hall is the data hall in the heartbeats. It must not be changed after the first one.
	Hall string

	mux     *http.ServeMux
	service string
	cpu     int

	mu           sync.Mutex
	incarnations int
	startedAt    time.Time
	deadline     int64
	token        uint64
	runs         map[string]*run
	highestRun   map[string]int
	ended        [][]any
	endCount     uint64
	changed      chan struct{}
	draining     bool
	failing      bool
	starts       []string // task names of all runs started so far
	duplicates   []string // task names of runs started while another run of the same task was active
}

// run is an active run.
type run struct {
	name        string
	number      int
	incarnation int
	timer       *time.Timer
}

// NewTarget returns a target of a service with the given CPU capacity in millicores.
func NewTarget(service string, cpu int) *Target {
	t := &Target{mux: http.NewServeMux(), service: service, cpu: cpu}
	t.mux.HandleFunc("POST /beaconpoint/run-start", t.handleStart)
	t.mux.HandleFunc("POST /beaconpoint/run-stop", t.handleStop)
	t.mux.HandleFunc("POST /beaconpoint/hold", t.handleRenew)
	t.Restart()
	return t
}

// Restart begins a new incarnation without runs.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.runs {
		r.timer.Stop()
	}
	t.incarnations++
	t.startedAt = time.Now()
	t.deadline, t.token, t.endCount = 0, 0, 0
	t.runs = make(map[string]*run)
	t.highestRun = make(map[string]int)
	t.ended = nil
	t.draining = false
	t.notifyWaiters()
}

// SetFailing sets whether runs that are started from now on fail.
func (t *Target) SetFailing(failing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failing = failing
}

// Starts returns the task names of all runs started so far.
func (t *Target) Starts() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.starts...)
}

// DuplicateStarts returns the names of the tasks that were started while another run of the same
// task was active on this target.
func (t *Target) DuplicateStarts() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.duplicates...)
}

// SendHeartbeat sends a heartbeat with the given sequence number to the agent at addr.
func (t *Target) SendHeartbeat(addr string, seq int) error {
	t.mu.Lock()
	state := "ready"
	if t.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{"service": t.service, "address": "127.0.0.1:1", "zone": t.Hall,
		"version": "v1",
		"slots":   8, "state": state, "capacity": map[string]int{"cpu": t.cpu, "mem_mb": 4096}, "labels": []string{"a"},
		"clock_ms": t.clock(), "seq": seq})
	id := t.id()
	t.mu.Unlock()
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+addr+"/beaconpoint/instances/"+id+"/heartbeat", "application/json",
		bytes.NewReader(body))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	expected := r.Header.Get("Beaconpoint-Expect-Instance")
	other := expected != "" && expected != t.id()
	t.mu.Unlock()
	if other {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.mux.ServeHTTP(rw, r)
}

// id returns the instance ID of the current incarnation. The caller holds t.mu.
func (t *Target) id() string {
	return fmt.Sprintf("i-%p-%d", t, t.incarnations)
}

// clock returns the reading of the target's clock in milliseconds. The caller holds t.mu.
func (t *Target) clock() int64 {
	return time.Since(t.startedAt).Milliseconds() + 1000
}

// notifyWaiters ends the waits of renewals. The caller holds t.mu.
func (t *Target) notifyWaiters() {
	if t.changed != nil {
		close(t.changed)
	}
	t.changed = make(chan struct{})
}

// requestBody is the union of the bodies of starts, stops and renewals.
type requestBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen uint64 `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// decodeBody decodes a request and checks its fencing token. If it returns false, it has
// written the response. It returns with t.mu held.
func (t *Target) decodeBody(rw http.ResponseWriter, r *http.Request) (requestBody, bool) {
	var body requestBody
	err := json.NewDecoder(r.Body).Decode(&body)
	t.mu.Lock()
	switch {
	case err != nil:
		rw.WriteHeader(http.StatusBadRequest)
		return body, false
	case body.Token < t.token:
		t.reply(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return body, false
	}
	t.token = body.Token
	return body, true
}

// reply writes a response that includes the clock reading. The caller holds t.mu.
func (t *Target) reply(rw http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = t.clock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller may have disconnected
}

// handleStart starts a run. A start of an active run is accepted without effect; one that
// is too late or superseded is rejected.
func (t *Target) handleStart(rw http.ResponseWriter, r *http.Request) {
	body, ok := t.decodeBody(rw, r)
	defer t.mu.Unlock()
	switch active := t.runs[body.Task]; {
	case !ok:
	case active != nil && active.number == body.Run:
		t.reply(rw, http.StatusOK, map[string]any{})
	case body.Deadline < t.clock():
		t.reply(rw, http.StatusConflict, map[string]any{"reason": "late"})
	case body.Run <= t.highestRun[body.Task]:
		t.reply(rw, http.StatusConflict, map[string]any{"reason": "old"})
	default:
		t.startRun(body)
		t.reply(rw, http.StatusOK, map[string]any{})
	}
}

// startRun starts a run that ends after the duration in its spec. The caller holds t.mu.
func (t *Target) startRun(body requestBody) {
	t.deadline = max(t.deadline, body.Deadline)
	if t.runs[body.Task] != nil {
		t.duplicates = append(t.duplicates, body.Task)
	}
	t.starts = append(t.starts, body.Task)
	end := "done"
	if t.failing {
		end = "failed"
	}
	duration, err := time.ParseDuration(body.Spec)
	if err != nil {
		duration, end = 0, "failed"
	}
	started := &run{name: body.Task, number: body.Run, incarnation: t.incarnations}
	started.timer = time.AfterFunc(duration, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.finishRun(started, end)
	})
	t.runs[body.Task] = started
}

// finishRun ends a run and lists its end, unless the run has already ended. The caller
// holds t.mu.
func (t *Target) finishRun(r *run, end string) {
	if t.runs[r.name] != r || r.incarnation != t.incarnations {
		return
	}
	if t.clock() > t.deadline {
		end = "lapsed"
	}
	r.timer.Stop()
	delete(t.runs, r.name)
	t.highestRun[r.name] = max(t.highestRun[r.name], r.number)
	t.endCount++
	t.ended = append(t.ended, []any{t.endCount, r.name, r.number, end, ""})
	t.notifyWaiters()
}

// handleStop ends a run, or prevents a later start of it.
func (t *Target) handleStop(rw http.ResponseWriter, r *http.Request) {
	body, ok := t.decodeBody(rw, r)
	defer t.mu.Unlock()
	if !ok {
		return
	}
	t.highestRun[body.Task] = max(t.highestRun[body.Task], body.Run)
	if active := t.runs[body.Task]; active != nil && active.number == body.Run {
		t.finishRun(active, "stopped")
	}
	t.reply(rw, http.StatusOK, map[string]any{})
}

// handleRenew renews the lease and returns the run lists, if necessary after waiting for a
// run to end.
func (t *Target) handleRenew(rw http.ResponseWriter, r *http.Request) {
	body, ok := t.decodeBody(rw, r)
	defer t.mu.Unlock()
	if !ok {
		return
	}
	t.deadline = max(t.deadline, body.Deadline)
	for len(t.ended) > 0 && t.ended[0][0].(uint64) <= body.LastSeen {
		t.ended = t.ended[1:]
	}
	if len(t.ended) == 0 && body.Wait > 0 {
		t.waitForEnd(r, time.Duration(body.Wait)*time.Millisecond)
	}
	running := [][]any{}
	for _, active := range t.runs {
		running = append(running, []any{active.name, active.number, "", 100})
	}
	t.reply(rw, http.StatusOK, map[string]any{"running": running, "ended": append([][]any{}, t.ended...)})
}

// waitForEnd waits until a run ends, d has passed, or the caller disconnects. It releases
// t.mu while waiting.
func (t *Target) waitForEnd(r *http.Request, d time.Duration) {
	changed := t.changed
	t.mu.Unlock()
	defer t.mu.Lock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
}
