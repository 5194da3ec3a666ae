package home

// Stats counts what a home did, for metrics and measurements.
type Stats struct {
	Submitted, Completed, Failed, Refused      uint64
	Starts, Resends, Refusals, Results, Awaits uint64
	Forwards, Takeovers, Retries, LateResults  uint64
}

// Wasted returns the messages that led to no start or answer: a refused start
// and its refusal, what was sent again, and what came too late.
func (s Stats) Wasted() uint64 {
	return 2*s.Refusals + s.Resends + s.LateResults
}

// Plus returns the sum of both counts.
func (s Stats) Plus(o Stats) Stats {
	return Stats{
		Submitted: s.Submitted + o.Submitted, Completed: s.Completed + o.Completed,
		Failed: s.Failed + o.Failed, Refused: s.Refused + o.Refused,
		Starts: s.Starts + o.Starts, Resends: s.Resends + o.Resends,
		Refusals: s.Refusals + o.Refusals, Results: s.Results + o.Results,
		Awaits: s.Awaits + o.Awaits, Forwards: s.Forwards + o.Forwards,
		Takeovers: s.Takeovers + o.Takeovers, Retries: s.Retries + o.Retries,
		LateResults: s.LateResults + o.LateResults,
	}
}

// Stats returns what the home did so far.
func (h *Home) Stats() Stats {
	return h.stats
}
