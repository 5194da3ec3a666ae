package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Server serves a Store over HTTP.
type Server struct {
	store *Store
	mux   *http.ServeMux
}

// NewServer returns an HTTP handler for s. POST /control sets the faults, GET
// /control returns the number of calls.
func NewServer(s *Store) *Server {
	v := &Server{store: s, mux: http.NewServeMux()}
	v.mux.HandleFunc("GET /v1/kv/{key}", v.get)
	v.mux.HandleFunc("PUT /v1/kv/{key}", v.put)
	v.mux.HandleFunc("GET /v1/hosts", v.hosts)
	v.mux.HandleFunc("POST /control", v.setFaults)
	v.mux.HandleFunc("GET /control", v.calls)
	v.mux.HandleFunc("POST /control/hosts/{name}/{state}", v.setHost)
	return v
}

// ServeHTTP implements http.Handler.
func (v *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.mux.ServeHTTP(w, r)
}

// begin counts the call and applies delay and outage. It returns false if it has
// responded with an error.
func (v *Server) begin(w http.ResponseWriter, count func(*Calls)) bool {
	v.store.mu.Lock()
	count(&v.store.calls)
	f := v.store.faults
	v.store.mu.Unlock()
	if f.SlowMS > 0 {
		time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	}
	if f.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (v *Server) get(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	if after != "" {
		if v.begin(w, func(c *Calls) { c.Watches++ }) {
			v.watch(w, r, after)
		}
		return
	}
	if v.begin(w, func(c *Calls) { c.Reads++ }) {
		v.writeValue(w, r.PathValue("key"))
	}
}

func (v *Server) watch(w http.ResponseWriter, r *http.Request, after string) {
	since, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		v.store.mu.Lock()
		changed, outage := v.store.changed, v.store.faults.Outage
		revision := v.store.lookup(r.PathValue("key")).revision
		v.store.mu.Unlock()
		if outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if revision > since {
			v.writeValue(w, r.PathValue("key"))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			v.writeValue(w, r.PathValue("key"))
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (v *Server) writeValue(w http.ResponseWriter, key string) {
	data, revision := v.store.Get(key)
	w.Header().Set("X-Revision", strconv.FormatUint(revision, 10))
	if revision == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(data) // fails only if the client has gone
}

func (v *Server) put(w http.ResponseWriter, r *http.Request) {
	if !v.begin(w, func(c *Calls) { c.Writes++ }) {
		return
	}
	base, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "revision: "+err.Error(), http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	ttl, _ := strconv.Atoi(r.URL.Query().Get("ttl_ms"))
	revision, ok := v.store.Swap(r.PathValue("key"), base, data, time.Duration(ttl)*time.Millisecond)
	if ok && v.takeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Revision", strconv.FormatUint(revision, 10))
	if !ok {
		w.WriteHeader(http.StatusConflict)
	}
}

func (v *Server) takeLostAnswer() bool {
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	if v.store.faults.LoseAnswers == 0 {
		return false
	}
	v.store.faults.LoseAnswers--
	return true
}

type hostLine struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

func (v *Server) hosts(w http.ResponseWriter, r *http.Request) {
	if !v.begin(w, func(c *Calls) { c.Hosts++ }) {
		return
	}
	lines := []hostLine{}
	for name, state := range v.store.hostList() {
		lines = append(lines, hostLine{name, state})
	}
	writeJSON(w, lines)
}

func (v *Server) setHost(_ http.ResponseWriter, r *http.Request) {
	v.store.SetHost(r.PathValue("name"), r.PathValue("state"))
}

func (v *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v.store.SetFaults(f)
}

func (v *Server) calls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, v.store.Calls())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has gone
}
