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

type run struct {
	name        string
	number      int
	incarnation int
	timer       *time.Timer
}

// NewTarget returns a target of a service with the given processor, in
// thousandths of a core.
func NewTarget(service string, cpu int) *Target {
	w := &Target{mux: http.NewServeMux(), service: service, cpu: cpu}
	w.mux.HandleFunc("POST /beaconpoint/run-start", w.start)
	w.mux.HandleFunc("POST /beaconpoint/run-stop", w.stop)
	w.mux.HandleFunc("POST /beaconpoint/hold", w.hold)
	w.Restart()
	return w
}

// Restart begins a new incarnation in which nothing runs.
func (w *Target) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		r.timer.Stop()
	}
	w.incarnations++
	w.began = time.Now()
	w.deadline, w.token, w.count = 0, 0, 0
	w.runs = make(map[string]*run)
	w.highest = make(map[string]int)
	w.ended = nil
	w.draining = false
	w.wake()
}

// SetFailing makes all runs that begin from now on fail.
func (w *Target) SetFailing(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = failing
}

// Starts returns the names of all runs that were ever started.
func (w *Target) Starts() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.starts...)
}

// Doubled returns the names of the tasks that were started while another run of them
// was at work here.
func (w *Target) Doubled() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.doubled...)
}

// Report sends one heartbeat to the agent at addr.
func (w *Target) Report(addr string, seq int) error {
	w.mu.Lock()
	state := "ready"
	if w.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{"service": w.service, "address": "127.0.0.1:1", "zone": "z", "version": "v1",
		"slots": 8, "state": state, "capacity": map[string]int{"cpu": w.cpu, "mem_mb": 4096}, "labels": []string{"a"},
		"clock_ms": w.clock(), "seq": seq})
	id := w.id()
	w.mu.Unlock()
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
func (w *Target) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	expected := r.Header.Get("Beaconpoint-Expect-Instance")
	other := expected != "" && expected != w.id()
	w.mu.Unlock()
	if other {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mux.ServeHTTP(rw, r)
}

func (w *Target) id() string {
	return fmt.Sprintf("i-%p-%d", w, w.incarnations)
}

func (w *Target) clock() int64 {
	return time.Since(w.began).Milliseconds() + 1000
}

func (w *Target) wake() {
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}

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
func (w *Target) take(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	err := json.NewDecoder(r.Body).Decode(&o)
	w.mu.Lock()
	switch {
	case err != nil:
		rw.WriteHeader(http.StatusBadRequest)
		return o, false
	case o.Token < w.token:
		w.reply(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return o, false
	}
	w.token = o.Token
	return o, true
}

func (w *Target) reply(rw http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = w.clock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller may have gone
}

func (w *Target) start(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.take(rw, r)
	defer w.mu.Unlock()
	switch present := w.runs[o.Task]; {
	case !ok:
	case present != nil && present.number == o.Run:
		w.reply(rw, http.StatusOK, map[string]any{})
	case o.Deadline < w.clock():
		w.reply(rw, http.StatusConflict, map[string]any{"reason": "late"})
	case o.Run <= w.highest[o.Task]:
		w.reply(rw, http.StatusConflict, map[string]any{"reason": "old"})
	default:
		w.begin(o)
		w.reply(rw, http.StatusOK, map[string]any{})
	}
}

func (w *Target) begin(o order) {
	w.deadline = max(w.deadline, o.Deadline)
	if w.runs[o.Task] != nil {
		w.doubled = append(w.doubled, o.Task)
	}
	w.starts = append(w.starts, o.Task)
	how := "done"
	if w.failing {
		how = "failed"
	}
	took, err := time.ParseDuration(o.Spec)
	if err != nil {
		took, how = 0, "failed"
	}
	one := &run{name: o.Task, number: o.Run, incarnation: w.incarnations}
	one.timer = time.AfterFunc(took, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.finish(one, how)
	})
	w.runs[o.Task] = one
}

// finish lists the end of a run. It is called with the lock held.
func (w *Target) finish(r *run, how string) {
	if w.runs[r.name] != r || r.incarnation != w.incarnations {
		return
	}
	if w.clock() > w.deadline {
		how = "lapsed"
	}
	r.timer.Stop()
	delete(w.runs, r.name)
	w.highest[r.name] = max(w.highest[r.name], r.number)
	w.count++
	w.ended = append(w.ended, []any{w.count, r.name, r.number, how, ""})
	w.wake()
}

func (w *Target) stop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.take(rw, r)
	defer w.mu.Unlock()
	if !ok {
		return
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if present := w.runs[o.Task]; present != nil && present.number == o.Run {
		w.finish(present, "stopped")
	}
	w.reply(rw, http.StatusOK, map[string]any{})
}

func (w *Target) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.take(rw, r)
	defer w.mu.Unlock()
	if !ok {
		return
	}
	w.deadline = max(w.deadline, o.Deadline)
	for len(w.ended) > 0 && w.ended[0][0].(uint64) <= o.LastSeen {
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && o.Wait > 0 {
		w.wait(r, time.Duration(o.Wait)*time.Millisecond)
	}
	running := [][]any{}
	for _, one := range w.runs {
		running = append(running, []any{one.name, one.number, "", 100})
	}
	w.reply(rw, http.StatusOK, map[string]any{"running": running, "ended": append([][]any{}, w.ended...)})
}

// wait waits for an end, without the lock.
func (w *Target) wait(r *http.Request, d time.Duration) {
	changed := w.changed
	w.mu.Unlock()
	defer w.mu.Lock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
}
