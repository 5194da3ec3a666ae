// Package lease tracks the confirmations that allow a process to act at its
// roster revision. A seat confirms a process by echoing a timestamp of the
// process's own clock, and the lease counts from that timestamp. So no two clocks
// are compared, and a delayed confirmation does not extend the lease.
package lease

import (
	"time"

	"github.com/beaconpoint/beaconpoint/seats/roster"
)

// Standing holds the end of each seat's confirmation of one process.
type Standing struct {
	lease time.Duration
	until map[roster.ID]time.Duration
}

// NewStanding returns a Standing whose confirmations are valid for lease.
func NewStanding(lease time.Duration) *Standing {
	return &Standing{lease: lease, until: make(map[roster.ID]time.Duration)}
}

// Confirm records that seat has echoed stamp, a reading of this process's clock.
// A stamp of zero or below is ignored, since the process never sends one.
func (s *Standing) Confirm(seat roster.ID, stamp time.Duration) {
	if stamp <= 0 {
		return
	}
	if until := stamp + s.lease; until > s.until[seat] {
		s.until[seat] = until
	}
}

// Holds reports whether the confirmations of all seats other than self are valid
// at now. It reports false if there are no seats.
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

// Keep removes the confirmations of all other seats than the given ones.
func (s *Standing) Keep(seats []roster.Seat) {
	kept := make(map[roster.ID]time.Duration, len(seats))
	for _, seat := range seats {
		kept[seat.ID] = s.until[seat.ID]
	}
	s.until = kept
}
