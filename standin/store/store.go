// Package store is a test double for the platform's key-value store: keys with revisions,
// transactions and watches over HTTP, with fault injection. Leases are not implemented.
package store

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key and its value.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"` // revision at which the key was created
	Lease    uint64 `json:"lease,omitempty"`
	Gone     bool   `json:"gone,omitempty"`
	At       uint64 `json:"at,omitempty"` // revision of the store
}

// Faults configures injected faults.
type Faults struct {
	// Down rejects every call with status 503, and Silent leaves every call without a
	// response until its caller disconnects.
	Down, Silent bool
	// LoseAnswers is the number of further writes that are committed without a response.
	LoseAnswers int
	// BeforeWrite is called before a transaction is processed, to simulate a delayed one.
	BeforeWrite func()
}

// Store holds the keys. It implements http.Handler.
type Store struct {
	mux *http.ServeMux

	mu                sync.Mutex
	revision          uint64
	items             map[string]Item
	history           []Item
	compactedRevision uint64 // history up to this revision was discarded
	changed           chan struct{}
	faults            Faults
	calls             map[string]int
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{mux: http.NewServeMux(), items: make(map[string]Item),
		changed: make(chan struct{}), calls: make(map[string]int)}
	for path, handle := range map[string]http.HandlerFunc{
		"GET /beaconpoint/kv-key":   s.key,
		"GET /beaconpoint/kv-range": s.list,
		"GET /beaconpoint/kv-watch": s.watch,
		"POST /beaconpoint/kv-txn":  s.transact,
	} {
		s.mux.HandleFunc(path, handle)
	}
	return s
}

// SetFaults replaces the injected faults. It has no effect on watches that already wait.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Put writes a key without preconditions.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(Item{Key: key, Value: value})
	s.notifyWatches()
}

// Remove removes a key without preconditions.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	s.notifyWatches()
}

// DiscardHistory discards the history, so that watches from earlier revisions fail.
func (s *Store) DiscardHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision = s.revision
	s.history = nil
	s.notifyWatches()
}

// Count returns the number of keys with the prefix.
func (s *Store) Count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

// Calls returns the number of calls by path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int)
	for path, n := range s.calls {
		out[path] = n
	}
	return out
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	faults := s.faults
	s.mu.Unlock()
	switch {
	case faults.Silent:
		<-r.Context().Done()
		return
	case faults.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if faults.BeforeWrite != nil && r.URL.Path == "/beaconpoint/kv-txn" {
		faults.BeforeWrite()
	}
	s.mux.ServeHTTP(w, r)
}

// notifyWatches wakes all watches, which then look for changes. The caller holds s.mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an item with the next revision. The caller holds s.mu.
func (s *Store) put(i Item) {
	s.revision++
	i.Revision = s.revision
	i.Made = s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Made = old.Made
	}
	s.items[i.Key] = i
	s.history = append(s.history, i)
}

// remove removes a key if it exists. The caller holds s.mu.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Gone: true})
}

// key handles reads of one key.
func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, Item{At: s.revision})
		return
	}
	i.At = s.revision
	reply(w, http.StatusOK, i)
}

// list handles paged reads of the keys with a prefix.
func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("depends_on")
	var items []Item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "at": s.revision})
}

// pageSize is the maximum number of items in a page.
const pageSize = 500

// watch handles watches. It responds with the changes after a revision and waits for one
// if there are none.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("depends_on"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []Item{}
		for _, i := range s.history {
			if i.Revision > from && strings.HasPrefix(i.Key, q.Get("path_prefix")) {
				events = append(events, i)
			}
		}
		gone, at, changed := from < s.compactedRevision, s.revision, s.changed
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || expired:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// precondition requires a key to have a revision. Revision 0 means that the key must not
// exist.
type precondition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// transact commits a transaction if its preconditions hold.
func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []precondition `json:"expected_rev"`
		Put      []Item         `json:"put"`
		Remove   []string       `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []Item
	for _, c := range body.Expected {
		if s.items[c.Key].Revision != c.Revision {
			current = append(current, s.items[c.Key])
		}
	}
	if len(current) > 0 {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, i := range body.Put {
		if i.Lease != 0 {
			w.WriteHeader(http.StatusNotFound) // leases are not implemented
			return
		}
	}
	for _, i := range body.Put {
		s.put(i)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	s.notifyWatches()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		panic(http.ErrAbortHandler) // committed, but without a response
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}
