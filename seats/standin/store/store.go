// Package store is a test double for the platform: a key-value service with
// compare-and-swap, leases and long-poll watches, and a host list that shows
// changes late. It injects faults and counts calls.
package store

import (
	"sync"
	"time"
)

// Faults are the faults to inject.
type Faults struct {
	// Outage makes every call fail with status 503.
	Outage bool `json:"outage"`
	// SlowMS delays every call, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers is the number of writes that are applied but get no response.
	LoseAnswers int `json:"lose_answers"`
}

// Calls counts the calls by kind. A long-poll watch counts once.
type Calls struct {
	Reads, Writes, Watches, Hosts uint64
}

type entry struct {
	data     []byte
	revision uint64
	expires  time.Time // end of the lease, zero without one
}

// Store holds the keys, the host list and the faults.
type Store struct {
	mu      sync.Mutex
	keys    map[string]entry
	changed chan struct{} // closed and replaced at each write
	faults  Faults
	calls   Calls
	hosts   []hostChange
	lag     time.Duration
}

type hostChange struct {
	at    time.Time
	name  string
	state string
}

// NewStore returns an empty store. Its host list shows a change after lag.
func NewStore(lag time.Duration) *Store {
	return &Store{keys: make(map[string]entry), changed: make(chan struct{}), lag: lag}
}

// SetFaults replaces the injected faults and wakes all waiting watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatches()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetHost changes the state of a host. The host list shows it after the lag.
func (s *Store) SetHost(name, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, hostChange{time.Now(), name, state})
}

// Get returns a key's data and revision.
func (s *Store) Get(key string) ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.lookup(key)
	return e.data, e.revision
}

// Swap writes data if the key's revision equals base. With a positive ttl the
// key expires after ttl. It returns the current revision and whether it wrote.
func (s *Store) Swap(key string, base uint64, data []byte, ttl time.Duration) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.lookup(key)
	if e.revision != base {
		return e.revision, false
	}
	next := entry{data: data, revision: base + 1}
	if ttl > 0 {
		next.expires = time.Now().Add(ttl)
	}
	s.keys[key] = next
	s.wakeWatches()
	return next.revision, true
}

// lookup returns the entry of a key, or an empty entry if its lease has expired.
func (s *Store) lookup(key string) entry {
	e := s.keys[key]
	if !e.expires.IsZero() && time.Now().After(e.expires) {
		return entry{}
	}
	return e
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) hostList() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[string]string)
	for _, h := range s.hosts {
		if time.Since(h.at) >= s.lag {
			seen[h.name] = h.state
		}
	}
	return seen
}
