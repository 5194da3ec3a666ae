package peer

import "slices"

// keptSpecs is how many specs a connection remembers. A target runs a few tasks at once,
// so that a job's orders to one agent seldom lie further apart; a spec has at most 4,000
// bytes, which makes 64 KB a connection.
const keptSpecs = 16

// Specs are the specs that were sent last on a connection, so that each goes to an agent
// once, however many tasks of the job run there. Sender and receiver add the same ones in
// the same order, and so know what the other one remembers.
type Specs struct {
	kept []jobSpec
	next int // where the next one goes, once all places are taken
}

// jobSpec is the spec of one job.
type jobSpec struct {
	job, spec string
}

// Add remembers the spec of a job, in place of the oldest one where there is no room.
func (s *Specs) Add(job, spec string) {
	if len(s.kept) < keptSpecs {
		s.kept = append(s.kept, jobSpec{job, spec})
		return
	}
	s.kept[s.next] = jobSpec{job, spec}
	s.next = (s.next + 1) % keptSpecs
}

// Find returns the spec of a job, if it is remembered.
func (s *Specs) Find(job string) (string, bool) {
	k := slices.IndexFunc(s.kept, func(js jobSpec) bool { return js.job == job })
	if k < 0 {
		return "", false
	}
	return s.kept[k].spec, true
}
