package home

// Stats counts the events of a Home, for metrics.
type Stats struct {
	Submitted, Completed, Failed, Refused      uint64
	Starts, Resends, Refusals, Results, Awaits uint64
	Forwards, Takeovers, Retries, LateResults  uint64
}

// Wasted returns the number of messages that led to no start or answer: refused
// starts with their refusals, resent messages and late results.
func (s Stats) Wasted() uint64 {
	return 2*s.Refusals + s.Resends + s.LateResults
}

// Plus returns the sum of s and o.
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

// Stats returns the counts since the Home was created.
func (h *Home) Stats() Stats {
	return h.stats
}
