// Package roster defines the roster of a region: the entries that hold a seat
// and the registered agents. A roster is an immutable value; each change returns
// a new one.
package roster

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxChanges limits the change ids kept in a roster. They show whether a swap
// took effect whose answer was lost.
const maxChanges = 32

// ID identifies one incarnation of a process. A restarted process has the same
// name and a new incarnation.
type ID struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// NewID returns the id of an incarnation of the process called name.
func NewID(name string, incarnation uint64) ID {
	return ID{Name: name, Incarnation: incarnation}
}

// String returns the form used in logs, name#incarnation.
func (i ID) String() string {
	return i.Name + "#" + strconv.FormatUint(i.Incarnation, 36)
}

// Compare compares ids by name, then by incarnation.
func (i ID) Compare(o ID) int {
	if c := strings.Compare(i.Name, o.Name); c != 0 {
		return c
	}
	return cmp.Compare(i.Incarnation, o.Incarnation)
}

// IsZero reports whether i has no name.
func (i ID) IsZero() bool {
	return i.Name == ""
}

// Seat is an entry's membership in the roster.
type Seat struct {
	ID   ID     `json:"id"`
	Addr string `json:"addr"`
	// Leaving is set while the entry stops. It owns no new jobs and finishes
	// those it has.
	Leaving bool `json:"leaving,omitempty"`
}

// Loss is a process removed from the roster. It is kept until all jobs that the
// process may have started have expired.
type Loss struct {
	ID ID `json:"id"`
	// At is the time of removal, in Unix milliseconds of the writer's clock.
	At int64 `json:"at"`
}

// Roster is the membership of a region at one revision.
type Roster struct {
	Revision uint64 `json:"revision"`
	Seats    []Seat `json:"seats"`
	Agents   []ID   `json:"agents"`
	// Shards is the number of shards of each service's jobs. Each shard is
	// owned by one seat. Zero counts as one.
	Shards int `json:"shards,omitempty"`
	// LostSeats and LostAgents were removed within the retention time.
	LostSeats  []Loss `json:"lost_seats,omitempty"`
	LostAgents []Loss `json:"lost_agents,omitempty"`
	// Changes lists the ids of the latest changes, newest last.
	Changes []string `json:"changes"`
}

func (r Roster) HasSeat(id ID) bool {
	return slices.ContainsFunc(r.Seats, func(s Seat) bool { return s.ID == id })
}

func (r Roster) HasAgent(id ID) bool {
	return slices.Contains(r.Agents, id)
}

// SeatNamed returns the seat of the entry called name.
func (r Roster) SeatNamed(name string) (Seat, bool) {
	k := slices.IndexFunc(r.Seats, func(s Seat) bool { return s.ID.Name == name })
	if k < 0 {
		return Seat{}, false
	}
	return r.Seats[k], true
}

// WithChange returns the roster with the next revision and change as its latest
// change id.
func (r Roster) WithChange(change string) Roster {
	r.Revision++
	r.Changes = append(slices.Clone(r.Changes), change)
	if n := len(r.Changes); n > maxChanges {
		r.Changes = r.Changes[n-maxChanges:]
	}
	return r
}

// WithSeat returns the roster with the seat s. The seat of an earlier incarnation
// of the entry is removed.
func (r Roster) WithSeat(s Seat, at time.Time) Roster {
	if old, ok := r.SeatNamed(s.ID.Name); ok {
		r = r.WithoutSeat(old.ID, at)
	}
	r.Seats = append(slices.Clone(r.Seats), s)
	return r
}

// WithLeaving returns the roster with id's seat marked as leaving.
func (r Roster) WithLeaving(id ID) Roster {
	r.Seats = slices.Clone(r.Seats)
	for k := range r.Seats {
		if r.Seats[k].ID == id {
			r.Seats[k].Leaving = true
		}
	}
	return r
}

// WithoutSeat returns the roster without id's seat, which counts as lost.
func (r Roster) WithoutSeat(id ID, at time.Time) Roster {
	if !r.HasSeat(id) {
		return r
	}
	r.Seats = slices.DeleteFunc(slices.Clone(r.Seats), func(s Seat) bool { return s.ID == id })
	r.LostSeats = append(slices.Clone(r.LostSeats), Loss{ID: id, At: at.UnixMilli()})
	return r
}

// WithoutLeaver returns the roster without the seat of an entry that has handed
// over its state. The seat counts as lost only if no other seat remains.
func (r Roster) WithoutLeaver(id ID, at time.Time) Roster {
	lost := r.LostSeats
	r = r.WithoutSeat(id, at)
	if len(r.Seats) > 0 {
		r.LostSeats = lost
	}
	return r
}

// WithAgent returns the roster with the agent registered. An earlier incarnation
// of the agent counts as lost.
func (r Roster) WithAgent(id ID, at time.Time) Roster {
	if k := slices.IndexFunc(r.Agents, func(a ID) bool { return a.Name == id.Name }); k >= 0 {
		r = r.WithoutAgent(r.Agents[k], at)
	}
	r.Agents = append(slices.Clone(r.Agents), id)
	return r
}

// WithoutAgent returns the roster without the agent, which counts as lost.
func (r Roster) WithoutAgent(id ID, at time.Time) Roster {
	if !r.HasAgent(id) {
		return r
	}
	r.Agents = slices.DeleteFunc(slices.Clone(r.Agents), func(a ID) bool { return a == id })
	r.LostAgents = append(slices.Clone(r.LostAgents), Loss{ID: id, At: at.UnixMilli()})
	return r
}

// WithShards returns the roster with n shards per service.
func (r Roster) WithShards(n int) Roster {
	r.Shards = n
	return r
}

// WithLossesSince returns the roster without losses before cutoff.
func (r Roster) WithLossesSince(cutoff time.Time) Roster {
	old := func(l Loss) bool { return l.At < cutoff.UnixMilli() }
	r.LostSeats = slices.DeleteFunc(slices.Clone(r.LostSeats), old)
	r.LostAgents = slices.DeleteFunc(slices.Clone(r.LostAgents), old)
	return r
}
