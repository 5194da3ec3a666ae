// Package roster holds the roster of a region: the entries that have a seat
// and the agents that are registered. It is an immutable value; a change makes
// a new one with the next revision.
package roster

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// keptChanges is how many change ids a roster carries, so that a swap whose
// answer was lost can be found again.
const keptChanges = 32

// ID names one life of a process: a restarted process has a new incarnation.
type ID struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// NewID returns the id of one life of the process name.
func NewID(name string, incarnation uint64) ID {
	return ID{Name: name, Incarnation: incarnation}
}

// String returns the name and the incarnation, as logs show them.
func (i ID) String() string {
	return i.Name + "#" + strconv.FormatUint(i.Incarnation, 36)
}

// Compare orders ids by name and incarnation.
func (i ID) Compare(o ID) int {
	if c := strings.Compare(i.Name, o.Name); c != 0 {
		return c
	}
	return cmp.Compare(i.Incarnation, o.Incarnation)
}

// IsZero reports whether i names nobody.
func (i ID) IsZero() bool {
	return i.Name == ""
}

// Seat is an entry's place in the roster.
type Seat struct {
	ID   ID     `json:"id"`
	Addr string `json:"addr"`
	// Leaving seats are home to no job any more; they finish what they own.
	Leaving bool `json:"leaving,omitempty"`
}

// Loss is a process that left the roster, kept until nothing it knew can
// matter any more.
type Loss struct {
	ID ID `json:"id"`
	// At is when it left, in Unix milliseconds of the writer's clock.
	At int64 `json:"at"`
}

// Roster is who takes part in a region at one revision.
type Roster struct {
	Revision uint64 `json:"revision"`
	Seats    []Seat `json:"seats"`
	Agents   []ID   `json:"agents"`
	// Shards is how many shares each service's jobs are split into; each
	// share has one home. None counts as one.
	Shards int `json:"shards,omitempty"`
	// LostSeats and LostAgents left within the retention.
	LostSeats  []Loss `json:"lost_seats,omitempty"`
	LostAgents []Loss `json:"lost_agents,omitempty"`
	// Changes are the ids of the latest changes, newest last.
	Changes []string `json:"changes"`
}

// HasSeat reports whether id holds a seat.
func (r Roster) HasSeat(id ID) bool {
	return slices.ContainsFunc(r.Seats, func(s Seat) bool { return s.ID == id })
}

// HasAgent reports whether the agent id is registered.
func (r Roster) HasAgent(id ID) bool {
	return slices.Contains(r.Agents, id)
}

// SeatNamed returns the seat that the entry name holds.
func (r Roster) SeatNamed(name string) (Seat, bool) {
	k := slices.IndexFunc(r.Seats, func(s Seat) bool { return s.ID.Name == name })
	if k < 0 {
		return Seat{}, false
	}
	return r.Seats[k], true
}

// WithChange returns the next revision, marked with the change's id.
func (r Roster) WithChange(change string) Roster {
	r.Revision++
	r.Changes = append(slices.Clone(r.Changes), change)
	if n := len(r.Changes); n > keptChanges {
		r.Changes = r.Changes[n-keptChanges:]
	}
	return r
}

// WithSeat returns the roster with s seated. An earlier life of the same entry
// loses its seat.
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

// WithoutSeat returns the roster with id's seat taken away.
func (r Roster) WithoutSeat(id ID, at time.Time) Roster {
	if !r.HasSeat(id) {
		return r
	}
	r.Seats = slices.DeleteFunc(slices.Clone(r.Seats), func(s Seat) bool { return s.ID == id })
	r.LostSeats = append(slices.Clone(r.LostSeats), Loss{ID: id, At: at.UnixMilli()})
	return r
}

// WithoutLeaver returns the roster without the seat of an entry that has handed
// over all to the others; it counts as lost only where there are none.
func (r Roster) WithoutLeaver(id ID, at time.Time) Roster {
	lost := r.LostSeats
	r = r.WithoutSeat(id, at)
	if len(r.Seats) > 0 {
		r.LostSeats = lost
	}
	return r
}

// WithAgent returns the roster with the agent registered. An earlier life of
// the same agent counts as lost.
func (r Roster) WithAgent(id ID, at time.Time) Roster {
	if k := slices.IndexFunc(r.Agents, func(a ID) bool { return a.Name == id.Name }); k >= 0 {
		r = r.WithoutAgent(r.Agents[k], at)
	}
	r.Agents = append(slices.Clone(r.Agents), id)
	return r
}

// WithoutAgent returns the roster with the agent counted as lost.
func (r Roster) WithoutAgent(id ID, at time.Time) Roster {
	if !r.HasAgent(id) {
		return r
	}
	r.Agents = slices.DeleteFunc(slices.Clone(r.Agents), func(a ID) bool { return a == id })
	r.LostAgents = append(slices.Clone(r.LostAgents), Loss{ID: id, At: at.UnixMilli()})
	return r
}

// WithShards returns the roster with another number of shares.
func (r Roster) WithShards(n int) Roster {
	r.Shards = n
	return r
}

// WithLossesSince returns the roster without the losses from before cutoff.
func (r Roster) WithLossesSince(cutoff time.Time) Roster {
	old := func(l Loss) bool { return l.At < cutoff.UnixMilli() }
	r.LostSeats = slices.DeleteFunc(slices.Clone(r.LostSeats), old)
	r.LostAgents = slices.DeleteFunc(slices.Clone(r.LostAgents), old)
	return r
}
