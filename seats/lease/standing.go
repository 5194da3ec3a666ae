// Package lease keeps the confirmations by which a process may act at its
// roster revision. Each counts from a stamp of the process's own clock, which
// a seat has echoed: no two clocks are compared, and a confirmation that was
// delayed or read after a pause is as old as its stamp.
package lease

import (
	"time"

	"github.com/beaconpoint/beaconpoint/seats/roster"
)

// Standing holds until when each seat has confirmed one process.
type Standing struct {
	lease time.Duration
	until map[roster.ID]time.Duration
}

// NewStanding returns a Standing whose confirmations hold for lease.
func NewStanding(lease time.Duration) *Standing {
	return &Standing{lease: lease, until: make(map[roster.ID]time.Duration)}
}

// Confirm notes that seat has echoed stamp, a reading of this process's clock.
// A zero stamp was never given out and confirms nothing.
func (s *Standing) Confirm(seat roster.ID, stamp time.Duration) {
	if stamp <= 0 {
		return
	}
	if until := stamp + s.lease; until > s.until[seat] {
		s.until[seat] = until
	}
}

// Holds reports whether every seat but self has confirmed the process and no
// confirmation has lapsed at now. Without seats nothing is confirmed.
func (s *Standing) Holds(now time.Duration, seats []roster.Seat, self roster.ID) bool {
	for _, seat := range seats {
		if seat.ID == self {
			continue
		}
		if now >= s.until[seat.ID] {
			return false
		}
	}
	return len(seats) > 0
}

// Keep forgets the confirmations of all but the seats.
func (s *Standing) Keep(seats []roster.Seat) {
	kept := make(map[roster.ID]time.Duration, len(seats))
	for _, seat := range seats {
		kept[seat.ID] = s.until[seat.ID]
	}
	s.until = kept
}
