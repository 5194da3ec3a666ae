package dispatch

// Candidate is an agent that may take a start.
type Candidate struct {
	// Outstanding is how many starts the home has unanswered there.
	Outstanding int
	// Window is how many it may have.
	Window int
	// Slowness is the target's measured slowness against the others; one is
	// the common pace.
	Slowness float64
}

// Choose picks the place of the next start among the candidates, or returns
// -1 when none can take it.
type Choose func([]Candidate) int

// LeastLoaded picks the candidate with the smallest share of its window in
// use, a slow target counting as fuller than it is.
func LeastLoaded(all []Candidate) int {
	best, least := -1, 0.0
	for k, c := range all {
		if c.Outstanding >= c.Window {
			continue
		}
		load := float64(c.Outstanding+1) / float64(max(c.Window, 1)) * max(c.Slowness, 1)
		if best < 0 || load < least {
			best, least = k, load
		}
	}
	return best
}

// Policy is how a home decides.
type Policy struct {
	Order  Order
	Choose Choose
}

// DefaultPolicy returns the policy in service.
func DefaultPolicy() Policy {
	return Policy{Order: FewestAged, Choose: LeastLoaded}
}
