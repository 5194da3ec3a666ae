package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of a worker, as in the site files.
const (
	workerCPU         = 16000
	workerMemoryMB    = 65536
	holdMaxMS         = 1000
	heartbeatInterval = 1500 * time.Millisecond
	maxListedEnds     = 500
)

// worker is a stand-in for a worker. It speaks HTTP to the agent beside it, kills what runs when
// its lease is over, and records all starts and ends. The spec of a task is its duration in
// milliseconds.
type worker struct {
	system               *system
	id, hall, rack       string
	appAddr, controlAddr string

	mu     sync.Mutex
	life   *life // nil while the worker is down
	spans  []*span
	fenced int // calls rejected because of their fencing token
}

// life is the state of one life of a worker.
type life struct {
	born     time.Time
	server   *http.Server
	stop     context.CancelFunc
	token    uint64
	deadline int64 // end of the lease on the worker's clock
	running  map[string]*span
	highest  map[string]int // highest run that was stopped or has ended, by task
	ended    [][]any
	ends     uint64
	changed  chan struct{} // closed at the next end
}

// span is the time for which a run was at work.
type span struct {
	worker, task string
	run          int
	from, to     time.Duration // to is zero while it runs
}

// job returns the ID of the job of the run's task.
func (r span) job() string {
	id, _, _ := strings.Cut(r.task, ".")
	return id
}

func newWorker(s *system, id string, k int, appAddr, controlAddr string) *worker {
	return &worker{system: s, id: id, hall: hall(k), rack: "r-" + strconv.Itoa(k%halls), appAddr: appAddr,
		controlAddr: controlAddr}
}

// begin begins a life under the worker's id. The worker knows nothing of an earlier one.
func (w *worker) begin() error {
	listener, err := net.Listen("tcp", w.appAddr)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(w.system.ctx)
	l := &life{born: time.Now(), stop: stop, running: make(map[string]*span), highest: make(map[string]int),
		changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /beaconpoint/run-start", w.call(l, w.start))
	mux.HandleFunc("POST /beaconpoint/run-stop", w.call(l, w.stopRun))
	mux.HandleFunc("POST /beaconpoint/hold", w.call(l, w.hold))
	l.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	w.mu.Lock()
	w.life = l
	w.mu.Unlock()
	w.system.log.add("worker %s begins a life, born %d", w.id, l.born.UnixMilli())
	go func() { _ = l.server.Serve(listener) }() // ends with the life
	go w.beat(ctx, l)
	go w.watchLease(ctx, l)
	return nil
}

// crash ends the life of the worker without notice. Everything that runs there dies.
func (w *worker) crash() {
	w.mu.Lock()
	l := w.life
	w.life = nil
	if l != nil {
		for _, r := range l.running {
			r.to = w.system.log.now()
		}
	}
	w.mu.Unlock()
	if l == nil {
		return
	}
	w.system.log.add("worker %s crashes", w.id)
	l.stop()
	l.server.Close()
}

// clock returns the reading of the worker's clock in milliseconds.
func (l *life) clock() int64 {
	return time.Since(l.born).Milliseconds()
}

// beat sends heartbeats to the agent.
func (w *worker) beat(ctx context.Context, l *life) {
	for seq := 1; ctx.Err() == nil; seq++ {
		body, err := json.Marshal(map[string]any{"service": service, "address": w.appAddr, "zone": w.hall,
			"version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "born": l.born.UnixMilli(),
			"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemoryMB, "gpu": 0},
			"labels":   []string{"a", w.rack}, "clock_ms": l.clock(), "seq": seq})
		if err == nil {
			w.post(ctx, body)
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// post sends one heartbeat. Nobody may be there to take it.
func (w *worker) post(ctx context.Context, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + w.controlAddr + "/beaconpoint/instances/" + w.id + "/heartbeat"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}

// watchLease kills what runs when the lease is over.
func (w *worker) watchLease(ctx context.Context, l *life) {
	for ctx.Err() == nil {
		w.mu.Lock()
		if l.clock() >= l.deadline {
			for _, r := range l.running {
				w.end(l, r, "lapsed")
			}
		}
		w.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// orderBody is the union of the bodies of the calls.
type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen uint64 `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// call returns the handler of a call: it checks the addressee and the fencing token.
func (w *worker) call(l *life, do func(*life, *http.Request, orderBody) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var body orderBody
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		status, answer := http.StatusConflict, map[string]any{"reason": "fence"}
		expected := r.Header.Get("Beaconpoint-Expect-Instance")
		switch {
		case w.life != l:
			panic(http.ErrAbortHandler) // the life is over
		case expected != "" && expected != w.id:
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		case body.Token < l.token:
			w.recordFenced(l, r.URL.Path, body)
		default:
			l.token = body.Token
			status, answer = do(l, r, body)
		}
		answer["clock_ms"] = l.clock()
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(answer) // the caller may have gone
	}
}

// recordFenced records some of the calls that are rejected because of their token.
func (w *worker) recordFenced(l *life, path string, body orderBody) {
	if w.fenced++; w.fenced <= 3 || w.fenced%50 == 0 {
		w.system.log.add("%s: %s with token %d rejected (fence): token %d seen, clock %d; %d such calls", w.id, path,
			body.Token, l.token, l.clock(), w.fenced)
	}
}

// extend extends the lease.
func (l *life) extend(deadline int64) {
	l.deadline = max(l.deadline, min(deadline, l.clock()+holdMaxMS))
}

// start handles an order to start a run.
func (w *worker) start(l *life, _ *http.Request, body orderBody) (int, map[string]any) {
	active := l.running[body.Task]
	switch {
	case active != nil && active.run == body.Run:
		return http.StatusOK, map[string]any{}
	case body.Deadline <= l.clock():
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	l.extend(body.Deadline)
	if active != nil || body.Run <= l.highest[body.Task] {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	ms, err := strconv.Atoi(body.Spec)
	if err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	r := &span{worker: w.id, task: body.Task, run: body.Run, from: w.system.log.now()}
	l.running[body.Task] = r
	w.spans = append(w.spans, r)
	w.system.log.add("%s: run %d of %s starts, for %d ms", w.id, body.Run, body.Task, ms)
	time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(l, r, "done")
	})
	return http.StatusOK, map[string]any{}
}

// end ends a run, unless it has ended, and lists its end. The caller holds w.mu.
func (w *worker) end(l *life, r *span, how string) {
	if w.life != l || l.running[r.task] != r {
		return
	}
	delete(l.running, r.task)
	l.highest[r.task] = max(l.highest[r.task], r.run)
	r.to = w.system.log.now()
	l.ends++
	l.ended = append(l.ended, []any{l.ends, r.task, r.run, how, ""})
	w.system.log.add("%s: run %d of %s ends: %s", w.id, r.run, r.task, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

// stopRun handles an order to stop a run.
func (w *worker) stopRun(l *life, _ *http.Request, body orderBody) (int, map[string]any) {
	l.highest[body.Task] = max(l.highest[body.Task], body.Run)
	if r := l.running[body.Task]; r != nil && r.run == body.Run {
		w.end(l, r, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

// hold extends the lease and lists the runs, if need be after waiting for an end.
func (w *worker) hold(l *life, r *http.Request, body orderBody) (int, map[string]any) {
	l.extend(body.Deadline)
	for len(l.ended) > 0 && l.ended[0][0].(uint64) <= body.LastSeen {
		l.ended = l.ended[1:]
	}
	if len(l.ended) == 0 && body.Wait > 0 {
		changed := l.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(body.Wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, active := range l.running {
		running = append(running, []any{active.task, active.run, "", 100})
	}
	return http.StatusOK, map[string]any{"running": running, "born": l.born.UnixMilli(),
		"ended": append([][]any{}, l.ended[:min(len(l.ended), maxListedEnds)]...)}
}

// allSpans returns the runs of all workers. Runs that are still at work end now.
func (s *system) allSpans() []span {
	var all []span
	for _, w := range s.workers {
		w.mu.Lock()
		for _, r := range w.spans {
			c := *r
			if c.to == 0 {
				c.to = s.log.now()
			}
			all = append(all, c)
		}
		w.mu.Unlock()
	}
	return all
}

// overlaps returns the pairs of runs of one task that were at work at the same time.
func (s *system) overlaps() []string {
	var found []string
	all := s.allSpans()
	for k, a := range all {
		for _, b := range all[k+1:] {
			if from, to := max(a.from, b.from), min(a.to, b.to); a.task == b.task && to > from {
				found = append(found, fmt.Sprintf("two runs of task %s at the same time for %d ms: run %d on %s, run %d on %s",
					a.task, (to-from).Milliseconds(), a.run, a.worker, b.run, b.worker))
			}
		}
	}
	return found
}
