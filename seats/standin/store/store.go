// Package store is a stand-in for the platform: a key-value service with
// compare-and-swap, leases and long-poll watches, and a host list that lags. It
// can be made to fail, and it counts the calls.
package store

import (
	"sync"
	"time"
)

// Faults is how the stand-in misbehaves.
type Faults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// SlowMS delays every call, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers is how many writes take effect with their answer lost.
	LoseAnswers int `json:"lose_answers"`
}

// Calls counts the calls by kind; a waiting watch counts as one.
type Calls struct {
	Reads, Writes, Watches, Hosts uint64
}

type entry struct {
	data     []byte
	revision uint64
	expires  time.Time // of a lease, or zero
}

// Store holds the keys and the host list.
type Store struct {
	mu      sync.Mutex
	keys    map[string]entry
	changed chan struct{} // closed at each write
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

// NewStore returns an empty store whose host list lags by lag.
func NewStore(lag time.Duration) *Store {
	return &Store{keys: make(map[string]entry), changed: make(chan struct{}), lag: lag}
}

// SetFaults changes how the store misbehaves. Waiting watches are woken.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Calls returns the calls counted so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetHost changes a host's state; the list shows it after the lag.
func (s *Store) SetHost(name, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, hostChange{time.Now(), name, state})
}

// Get returns a key's data and revision.
func (s *Store) Get(key string) ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.live(key)
	return e.data, e.revision
}

// Swap writes data if the key's revision is base.
func (s *Store) Swap(key string, base uint64, data []byte, ttl time.Duration) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.live(key)
	if e.revision != base {
		return e.revision, false
	}
	next := entry{data: data, revision: base + 1}
	if ttl > 0 {
		next.expires = time.Now().Add(ttl)
	}
	s.keys[key] = next
	s.wake()
	return next.revision, true
}

// live returns the key's entry, an empty one after its lease has ended.
func (s *Store) live(key string) entry {
	e := s.keys[key]
	if !e.expires.IsZero() && time.Now().After(e.expires) {
		return entry{}
	}
	return e
}

func (s *Store) wake() {
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
