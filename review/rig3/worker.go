package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Bounds of the site.
const (
	holdMax         = 1000 * time.Millisecond // hold_max_ms
	heartbeatPeriod = 1500 * time.Millisecond // heartbeat_ms
	workerCPU       = 16000
	workerMemMB     = 65536
)

// worker is a sound worker, as the pages describe it: it runs what it is told, for the number of
// milliseconds in the spec, kills everything when the lease is over, and rejects what is fenced,
// late or old.
type worker struct {
	name, zone string
	rec        *recorder
	clockStart time.Time

	mu       sync.Mutex
	token    uint64
	lease    time.Duration // on the worker's clock
	running  map[string]*workerRun
	highest  map[string]int // highest run stopped or ended, by task
	ended    [][]any
	endCount uint64
	changed  chan struct{}
	expiry   *time.Timer
}

// workerRun is one active run.
type workerRun struct {
	task  string
	run   int
	seen  *interval
	timer *time.Timer
}

// startWorker serves a worker on l and sends heartbeats to the control address of its machine.
func startWorker(name, zone string, l net.Listener, control string, rec *recorder) *worker {
	w := &worker{name: name, zone: zone, rec: rec, clockStart: time.Now(), running: make(map[string]*workerRun),
		highest: make(map[string]int), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /beaconpoint/run-start", w.start)
	mux.HandleFunc("POST /beaconpoint/run-stop", w.stop)
	mux.HandleFunc("POST /beaconpoint/hold", w.hold)
	go func() { _ = http.Serve(l, w.addressed(mux)) }()
	go w.sendHeartbeats(l.Addr().String(), control)
	return w
}

// id returns the id of the worker, which lives as long as the test.
func (w *worker) id() string {
	return "i-" + w.name
}

// clock returns the worker's clock.
func (w *worker) clock() time.Duration {
	return time.Since(w.clockStart) + time.Second
}

// addressed answers 421 to calls that mean another incarnation.
func (w *worker) addressed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if meant := r.Header.Get("Beaconpoint-Expect-Instance"); meant != "" && meant != w.id() {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(rw, r)
	})
}

// sendHeartbeats sends heartbeats until the process ends.
func (w *worker) sendHeartbeats(addr, control string) {
	for seq := 1; ; seq++ {
		body, _ := json.Marshal(map[string]any{"service": service, "address": addr, "zone": w.zone, "version": "v1",
			"slots": 8, "state": "ready", "cold_remaining_ms": 0, "labels": []string{"a", "r-" + w.zone},
			"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": 0},
			"clock_ms": w.clock().Milliseconds(), "seq": seq})
		client := http.Client{Timeout: time.Second}
		resp, err := client.Post("http://"+control+"/beaconpoint/instances/"+w.id()+"/heartbeat", "application/json",
			bytes.NewReader(body))
		pause := heartbeatPeriod
		if err != nil {
			pause = 100 * time.Millisecond // its machine is not up yet
		} else {
			resp.Body.Close()
		}
		time.Sleep(pause)
	}
}

// orderBody is the union of the bodies of the calls to a worker.
type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen uint64 `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// receive decodes a call and checks its fencing token. If it reports true, w.mu is held.
func (w *worker) receive(rw http.ResponseWriter, r *http.Request) (orderBody, bool) {
	var b orderBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return b, false
	}
	w.mu.Lock()
	if b.Token < w.token {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		w.mu.Unlock()
		return b, false
	}
	w.token = b.Token
	return b, true
}

// answer writes an answer with the clock.
func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = w.clock().Milliseconds()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller may be gone
}

// extend extends the lease. The caller holds w.mu.
func (w *worker) extend(deadlineMS int64) {
	deadline := min(time.Duration(deadlineMS)*time.Millisecond, w.clock()+holdMax)
	if deadlineMS == 0 || deadline <= w.lease {
		return
	}
	w.lease = deadline
	if w.expiry != nil {
		w.expiry.Stop()
	}
	w.expiry = time.AfterFunc(deadline-w.clock(), w.lapse)
}

// lapse kills all runs when the lease is over.
func (w *worker) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clock() < w.lease {
		return
	}
	for _, r := range w.running {
		w.end(r, "lapsed")
	}
}

// end ends a run and lists its end. The caller holds w.mu.
func (w *worker) end(r *workerRun, how string) {
	if w.running[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.endCount++
	w.ended = append(w.ended, []any{w.endCount, r.task, r.run, how, ""})
	close(w.changed)
	w.changed = make(chan struct{})
	w.rec.ended(r.seen, how)
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	b, ok := w.receive(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	active := w.running[b.Task]
	work, err := strconv.Atoi(b.Spec)
	switch {
	case err != nil || b.Run < 1:
		w.answer(rw, http.StatusBadRequest, map[string]any{})
		return
	case active != nil && active.run == b.Run:
	case time.Duration(b.Deadline)*time.Millisecond <= w.clock():
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "late"})
		return
	case b.Run <= w.highest[b.Task] || active != nil && b.Run < active.run:
		w.extend(b.Deadline)
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "old"})
		return
	default:
		started := &workerRun{task: b.Task, run: b.Run, seen: w.rec.began(w.name, b.Task, b.Run)}
		started.timer = time.AfterFunc(time.Duration(work)*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(started, "done")
		})
		w.running[b.Task] = started
	}
	w.extend(b.Deadline)
	w.answer(rw, http.StatusOK, map[string]any{})
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	b, ok := w.receive(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.highest[b.Task] = max(w.highest[b.Task], b.Run)
	if active := w.running[b.Task]; active != nil && active.run <= b.Run {
		w.end(active, "stopped")
	}
	w.answer(rw, http.StatusOK, map[string]any{})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	b, ok := w.receive(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.extend(b.Deadline)
	for len(w.ended) > 0 && w.ended[0][0].(uint64) <= b.LastSeen {
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && b.Wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(2*time.Second, time.Duration(b.Wait)*time.Millisecond)):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, a := range w.running {
		running = append(running, []any{a.task, a.run, "", 100})
	}
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "ended": append([][]any{}, w.ended...)})
}

// holder returns the worker that runs a task of the job now, or nil.
func holder(workers []*worker, job string) *worker {
	for _, w := range workers {
		w.mu.Lock()
		for task := range w.running {
			if len(task) > len(job) && task[:len(job)] == job {
				w.mu.Unlock()
				return w
			}
		}
		w.mu.Unlock()
	}
	return nil
}

// jobID returns a job's id.
func jobID(n int) string {
	return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())*1000003+uint64(n))
}
