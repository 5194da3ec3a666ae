// Package target is a stand-in for a target of the platform: it starts and
// stops runs on orders over HTTP, lists them, and lets them lapse without a
// lease. A task's spec says how long it takes.
package target

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Target is one target through all of its incarnations. It implements http.Handler.
type Target struct {
	// Hall is the data hall that its heartbeats name. It must not be changed once they
	// are sent.
	Hall string

	mux     *http.ServeMux
	service string
	cpu     int

	mu           sync.Mutex
	incarnations int
	began        time.Time
	deadline     int64
	token        uint64
	runs         map[string]*run
	highest      map[string]int
	ended        [][]any
	count        uint64
	changed      chan struct{}
	draining     bool
	failing      bool
	starts       []string // names of all runs that were ever started
	doubled      []string // those that were started while another run of the task was at work
}

// run is a run that is at work.
type run struct {
	name        string
	number      int
	incarnation int
	timer       *time.Timer
}

// NewTarget returns a target of a service with the given processor, in
// thousandths of a core.
func NewTarget(service string, cpu int) *Target {
	t := &Target{mux: http.NewServeMux(), service: service, cpu: cpu}
	t.mux.HandleFunc("POST /beaconpoint/run-start", t.start)
	t.mux.HandleFunc("POST /beaconpoint/run-stop", t.stop)
	t.mux.HandleFunc("POST /beaconpoint/hold", t.hold)
	t.Restart()
	return t
}

// Restart begins a new incarnation in which nothing runs.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.runs {
		r.timer.Stop()
	}
	t.incarnations++
	t.began = time.Now()
	t.deadline, t.token, t.count = 0, 0, 0
	t.runs = make(map[string]*run)
	t.highest = make(map[string]int)
	t.ended = nil
	t.draining = false
	t.wake()
}

// SetFailing makes all runs that begin from now on fail.
func (t *Target) SetFailing(failing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failing = failing
}

// Starts returns the names of all runs that were ever started.
func (t *Target) Starts() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.starts...)
}

// Doubled returns the names of the tasks that were started while another run of them
// was at work here.
func (t *Target) Doubled() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.doubled...)
}

// Report sends one heartbeat to the agent at addr.
func (t *Target) Report(addr string, seq int) error {
	t.mu.Lock()
	state := "ready"
	if t.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{"service": t.service, "address": "127.0.0.1:1", "zone": t.Hall, "version": "v1",
		"slots": 8, "state": state, "capacity": map[string]int{"cpu": t.cpu, "mem_mb": 4096}, "labels": []string{"a"},
		"clock_ms": t.clock(), "seq": seq})
	id := t.id()
	t.mu.Unlock()
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+addr+"/beaconpoint/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(body))
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

// id returns the id of the incarnation.
func (t *Target) id() string {
	return fmt.Sprintf("i-%p-%d", t, t.incarnations)
}

// clock returns the target's own clock, in milliseconds.
func (t *Target) clock() int64 {
	return time.Since(t.began).Milliseconds() + 1000
}

// wake ends the waits of renewals. It is called with the lock held.
func (t *Target) wake() {
	if t.changed != nil {
		close(t.changed)
	}
	t.changed = make(chan struct{})
}

// order is the body of every call, each with the parts that it has.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen uint64 `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// take reads an order and checks its token. It returns with the lock held.
func (t *Target) take(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	err := json.NewDecoder(r.Body).Decode(&o)
	t.mu.Lock()
	switch {
	case err != nil:
		rw.WriteHeader(http.StatusBadRequest)
		return o, false
	case o.Token < t.token:
		t.reply(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return o, false
	}
	t.token = o.Token
	return o, true
}

// reply answers, with the target's clock.
func (t *Target) reply(rw http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = t.clock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller may have gone
}

// start starts a run, unless it is there, late or old.
func (t *Target) start(rw http.ResponseWriter, r *http.Request) {
	o, ok := t.take(rw, r)
	defer t.mu.Unlock()
	switch present := t.runs[o.Task]; {
	case !ok:
	case present != nil && present.number == o.Run:
		t.reply(rw, http.StatusOK, map[string]any{})
	case o.Deadline < t.clock():
		t.reply(rw, http.StatusConflict, map[string]any{"reason": "late"})
	case o.Run <= t.highest[o.Task]:
		t.reply(rw, http.StatusConflict, map[string]any{"reason": "old"})
	default:
		t.begin(o)
		t.reply(rw, http.StatusOK, map[string]any{})
	}
}

// begin begins a run, which ends by itself after the time that its spec says.
func (t *Target) begin(o order) {
	t.deadline = max(t.deadline, o.Deadline)
	if t.runs[o.Task] != nil {
		t.doubled = append(t.doubled, o.Task)
	}
	t.starts = append(t.starts, o.Task)
	how := "done"
	if t.failing {
		how = "failed"
	}
	took, err := time.ParseDuration(o.Spec)
	if err != nil {
		took, how = 0, "failed"
	}
	one := &run{name: o.Task, number: o.Run, incarnation: t.incarnations}
	one.timer = time.AfterFunc(took, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.finish(one, how)
	})
	t.runs[o.Task] = one
}

// finish lists the end of a run. It is called with the lock held.
func (t *Target) finish(r *run, how string) {
	if t.runs[r.name] != r || r.incarnation != t.incarnations {
		return
	}
	if t.clock() > t.deadline {
		how = "lapsed"
	}
	r.timer.Stop()
	delete(t.runs, r.name)
	t.highest[r.name] = max(t.highest[r.name], r.number)
	t.count++
	t.ended = append(t.ended, []any{t.count, r.name, r.number, how, ""})
	t.wake()
}

// stop ends a run, and keeps it from beginning later.
func (t *Target) stop(rw http.ResponseWriter, r *http.Request) {
	o, ok := t.take(rw, r)
	defer t.mu.Unlock()
	if !ok {
		return
	}
	t.highest[o.Task] = max(t.highest[o.Task], o.Run)
	if present := t.runs[o.Task]; present != nil && present.number == o.Run {
		t.finish(present, "stopped")
	}
	t.reply(rw, http.StatusOK, map[string]any{})
}

// hold renews the lease and answers with the lists, once there is an end to list.
func (t *Target) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := t.take(rw, r)
	defer t.mu.Unlock()
	if !ok {
		return
	}
	t.deadline = max(t.deadline, o.Deadline)
	for len(t.ended) > 0 && t.ended[0][0].(uint64) <= o.LastSeen {
		t.ended = t.ended[1:]
	}
	if len(t.ended) == 0 && o.Wait > 0 {
		t.wait(r, time.Duration(o.Wait)*time.Millisecond)
	}
	running := [][]any{}
	for _, one := range t.runs {
		running = append(running, []any{one.name, one.number, "", 100})
	}
	t.reply(rw, http.StatusOK, map[string]any{"running": running, "ended": append([][]any{}, t.ended...)})
}

// wait waits for an end, without the lock.
func (t *Target) wait(r *http.Request, d time.Duration) {
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
