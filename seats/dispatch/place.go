package dispatch

// Candidate is an agent that may get the next start.
type Candidate struct {
	// Outstanding is the number of unanswered starts at the agent.
	Outstanding int
	// Window is the largest allowed value of Outstanding.
	Window int
	// Slowness is the ratio of the target's mean task time to the mean of all
	// targets.
	Slowness float64
}

// Choose returns the index of the candidate that gets the next start, or -1 if
// none can take it.
type Choose func([]Candidate) int

// LeastLoaded chooses the candidate with the smallest fraction of its window in
// use, multiplied by its slowness if that is above one.
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

// Policy selects the next job and the agent that gets its task.
type Policy struct {
	Order  Order
	Choose Choose
}

// DefaultPolicy returns the policy used in production.
func DefaultPolicy() Policy {
	return Policy{Order: FewestAged, Choose: LeastLoaded}
}
