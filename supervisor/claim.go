package supervisor

import (
	"time"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/peer"
)

// newClaims returns the registry of the jobs that have this agent as a home. It does not
// depend on the state of the target.
func (s *Supervisor) newClaims() *claim.Registry {
	g := claim.NewRegistry(peer.ClearTime, s.Log)
	g.Reply = func(id claim.ConnID, r claim.Reply) {
		if c := s.sessions[ConnID(id)]; c != nil {
			c.out.Claimed = append(c.out.Claimed, r)
			c.dirty = true
		}
	}
	g.Tell = func(id claim.ConnID, i claim.Interest) {
		if c := s.sessions[ConnID(id)]; c != nil {
			c.out.Interests = append(c.out.Interests, i)
			c.dirty = true
		}
	}
	g.HeardAt = func(id claim.ConnID) time.Duration {
		if c := s.sessions[ConnID(id)]; c != nil {
			return c.lastFrameAt
		}
		return 0
	}
	return g
}

// receiveClaims handles the settlements and claims of an entry. Settlements come first,
// since a job that was given up may be claimed again in the same frame.
func (s *Supervisor) receiveClaims(now time.Duration, c *session, f *peer.Frame) {
	for _, settled := range f.Settled {
		s.claims.Settle(now, c.holder(), settled)
	}
	for _, cl := range f.Claims {
		s.claims.Claim(now, c.holder(), claim.ConnID(c.id), cl)
	}
}

// holder returns the entry of c as a holder of claims.
func (c *session) holder() claim.Holder {
	return claim.Holder{Name: c.name, Boot: c.boot}
}

// Claims returns the counters of the claim registry.
func (s *Supervisor) Claims() claim.Stats {
	return s.claims.Stats()
}
