package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the users' pages.
const (
	heartbeatInterval = 1500 * time.Millisecond
	holdMax           = time.Second // hold_max_ms
	service           = "trackd"
	workerCPU         = 16000
	workerMemoryMB    = 65536
	maxEndsInList     = 500
	maxWait           = 2 * time.Second
	leaseCheck        = 2 * time.Millisecond
)

// worker is a stand-in for one life of a worker. The spec of a task is its duration.
type worker struct {
	name, id, hall string
	labels         []string // its kind and its rack
	rec            *record
	began          time.Time
	listener       net.Listener
	server         *http.Server
	stopped        chan struct{}

	mu       sync.Mutex
	trouble  trouble
	handling bool // a start is being handled
	token    uint64
	deadline time.Duration // end of the lease, on this worker's clock
	runs     map[string]*workerRun
	highest  map[string]int // highest run number that was stopped or has ended, by task
	ended    [][]any
	ends     uint64
	changed  chan struct{}
	orders   int // starts and stops that arrived
	failed   int // of these, shed or left unanswered
}

// trouble is how a worker misbehaves; the zero value is a sound worker.
type trouble struct {
	// startTakes is the time that a start takes until it is carried out and answered. While one
	// is being handled, further starts are shed: they get 503 and nothing is done.
	startTakes time.Duration
	// late makes the worker leave starts and stops unanswered; it carries them out minLate to
	// maxLate later. Holds are answered as usual.
	late bool
}

// Bounds of the delay of late orders, as the users' bench gives them for applied_late.
const (
	minLate = 2 * time.Second
	maxLate = 12 * time.Second
)

// workerRun is a run that goes on.
type workerRun struct {
	task   string
	number int
	seen   *seenRun
	timer  *time.Timer
}

// startWorker starts a worker that listens on a free loopback port.
func startWorker(rec *record, name, hall string, labels []string) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{name: name, id: "i-" + name, hall: hall, labels: labels, rec: rec, began: time.Now().Add(-time.Second),
		listener: l, stopped: make(chan struct{}), runs: make(map[string]*workerRun), highest: make(map[string]int),
		changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /beaconpoint/run-start", w.handleStart)
	mux.HandleFunc("POST /beaconpoint/run-stop", w.handleStop)
	mux.HandleFunc("POST /beaconpoint/hold", w.handleHold)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }() // returns when the server is closed
	go w.enforceLease()
	return w, nil
}

// addr returns the address for calls.
func (w *worker) addr() string {
	return w.listener.Addr().String()
}

// stop ends the worker.
func (w *worker) stop() {
	close(w.stopped)
	_ = w.server.Close()
}

// setTrouble changes how the worker behaves.
func (w *worker) setTrouble(t trouble) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trouble = t
}

// sendHeartbeats sends heartbeats to the agent at addr until the worker is stopped.
func (w *worker) sendHeartbeats(addr string) {
	for seq := 1; ; seq++ {
		w.mu.Lock()
		body, err := json.Marshal(map[string]any{"service": service, "address": w.addr(), "zone": w.hall, "version": "v1",
			"slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq": seq, "clock_ms": w.clock().Milliseconds(),
			"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemoryMB, "gpu": 0}, "labels": w.labels})
		w.mu.Unlock()
		pause := heartbeatInterval
		if err == nil {
			err = post("http://"+addr+"/beaconpoint/instances/"+w.id+"/heartbeat", body)
		}
		if err != nil {
			pause = heartbeatInterval / 10 // the agent is not up yet
		}
		select {
		case <-w.stopped:
			return
		case <-time.After(pause):
		}
	}
}

// post sends a body and discards the answer.
func post(url string, body []byte) error {
	resp, err := http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// clock returns the reading of the worker's steady clock.
func (w *worker) clock() time.Duration {
	return time.Since(w.began)
}

// call is the union of the bodies of starts, stops and holds.
type call struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen uint64 `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// decode decodes a call. It reports false, and has answered, if the call is malformed or meant
// for another incarnation.
func (w *worker) decode(rw http.ResponseWriter, r *http.Request) (call, bool) {
	var c call
	if id := r.Header.Get("Beaconpoint-Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return c, false
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return c, false
	}
	return c, true
}

// answer writes an answer with the clock reading. The caller holds w.mu.
func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = w.clock().Milliseconds()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller may have left
}

// handleStart handles a start. A worker in trouble sheds it while it handles another one, and
// takes its time otherwise.
func (w *worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.decode(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders++
	if w.trouble.late {
		w.leave(r, func() { w.start(c) }, "start", c)
		return
	}
	if w.trouble.startTakes > 0 {
		if w.handling {
			w.failed++
			w.rec.note("%s answers 503 to start of run %d of %s: busy, nothing done", w.name, c.Run, c.Task)
			w.answer(rw, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		w.rec.note("%s handles start of run %d of %s, which takes %v", w.name, c.Run, c.Task, w.trouble.startTakes)
		w.handling = true
		w.sleep(w.trouble.startTakes)
		w.handling = false
	}
	status, body := w.start(c)
	w.answer(rw, status, body)
}

// leave leaves an order unanswered and carries it out later. It returns when the caller has left.
// The caller holds w.mu.
func (w *worker) leave(r *http.Request, carryOut func(), kind string, c call) {
	w.failed++
	delay := minLate + rand.N(maxLate-minLate)
	w.rec.note("%s leaves %s of run %d of %s unanswered, carries it out %.1f s later", w.name, kind, c.Run, c.Task,
		delay.Seconds())
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		carryOut()
	})
	w.mu.Unlock()
	defer w.mu.Lock()
	<-r.Context().Done()
}

// sleep waits with w.mu released.
func (w *worker) sleep(d time.Duration) {
	w.mu.Unlock()
	time.Sleep(d)
	w.mu.Lock()
}

// start carries a start out and returns the answer. The caller holds w.mu.
func (w *worker) start(c call) (int, map[string]any) {
	if c.Token < w.token {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	w.token = c.Token
	active := w.runs[c.Task]
	deadline := time.Duration(c.Deadline) * time.Millisecond
	switch {
	case active != nil && active.number == c.Run:
		w.extend(deadline)
		return http.StatusOK, map[string]any{}
	case deadline < w.clock():
		w.rec.note("%s rejects start of run %d of %s: late", w.name, c.Run, c.Task)
		return http.StatusConflict, map[string]any{"reason": "late"}
	case c.Run <= w.highest[c.Task] || active != nil && c.Run < active.number:
		w.extend(deadline)
		w.rec.note("%s rejects start of run %d of %s: old", w.name, c.Run, c.Task)
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	w.extend(deadline)
	w.begin(c)
	return http.StatusOK, map[string]any{}
}

// begin begins a run. The caller holds w.mu.
func (w *worker) begin(c call) {
	run := &workerRun{task: c.Task, number: c.Run, seen: w.rec.runBegan(w.name, c.Task, c.Run)}
	duration, err := time.ParseDuration(strings.TrimSpace(c.Spec))
	how := "done"
	if err != nil {
		how = "failed"
	}
	run.timer = time.AfterFunc(duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(run, how)
	})
	w.runs[c.Task] = run
}

// extend extends the lease to a deadline, which never shortens it. The caller holds w.mu.
func (w *worker) extend(deadline time.Duration) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+holdMax))
}

// end ends a run and lists its end. The caller holds w.mu.
func (w *worker) end(run *workerRun, how string) {
	if w.runs[run.task] != run {
		return
	}
	run.timer.Stop()
	delete(w.runs, run.task)
	w.highest[run.task] = max(w.highest[run.task], run.number)
	w.rec.runEnded(run.seen, run.task, how)
	w.ends++
	w.ended = append(w.ended, []any{w.ends, run.task, run.number, how, ""})
	close(w.changed)
	w.changed = make(chan struct{})
}

// enforceLease kills everything when the lease is over.
func (w *worker) enforceLease() {
	for {
		select {
		case <-w.stopped:
			return
		case <-time.After(leaseCheck):
		}
		w.mu.Lock()
		if w.clock() > w.deadline {
			for _, run := range w.runs {
				w.end(run, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// handleStop handles a stop.
func (w *worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.decode(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders++
	if w.trouble.late {
		w.leave(r, func() { w.stopRun(c) }, "stop", c)
		return
	}
	status, body := w.stopRun(c)
	w.answer(rw, status, body)
}

// stopRun carries a stop out and returns the answer. The caller holds w.mu.
func (w *worker) stopRun(c call) (int, map[string]any) {
	if c.Token < w.token {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	w.token = c.Token
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if run := w.runs[c.Task]; run != nil && run.number == c.Run {
		w.end(run, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

// handleHold renews the lease and answers with the lists, after waiting for an end if asked.
func (w *worker) handleHold(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.decode(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Token < w.token {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.token = c.Token
	w.extend(time.Duration(c.Deadline) * time.Millisecond)
	for len(w.ended) > 0 && w.ended[0][0].(uint64) <= c.LastSeen {
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 {
		w.awaitEnd(r, min(maxWait, time.Duration(c.Wait)*time.Millisecond))
	}
	running := [][]any{}
	for _, run := range w.runs {
		running = append(running, []any{run.task, run.number, "", 100, 0})
	}
	ended := append([][]any{}, w.ended[:min(len(w.ended), maxEndsInList)]...)
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// awaitEnd waits for an end, with w.mu released.
func (w *worker) awaitEnd(r *http.Request, d time.Duration) {
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

// running returns the number of runs of the given jobs that go on.
func (w *worker) running(jobs map[string]bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for task := range w.runs {
		if job, _, _ := strings.Cut(task, "."); jobs[job] {
			count++
		}
	}
	return count
}

// ordersSoFar returns how many starts and stops arrived, and how many of them failed.
func (w *worker) ordersSoFar() (orders, failed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.orders, w.failed
}

// String returns the name of the worker and how it fared.
func (w *worker) String() string {
	orders, failed := w.ordersSoFar()
	return fmt.Sprintf("%s: %d starts and stops, %d of them shed or not answered", w.name, orders, failed)
}
