package peer

import "slices"

// maxCachedSpecs is the number of specs cached per connection. It must be the same on both sides.
const maxCachedSpecs = 16

// SpecCache caches the specs sent most recently on a connection, so that a spec is not sent again with
// further orders of its job while it is cached. Sender and receiver add the same jobs in the same
// order, so both caches hold the same jobs. The sender may leave out the text of the specs.
type SpecCache struct {
	entries []jobSpec
	next    int // where the next spec is stored once the cache is full
}

type jobSpec struct {
	job, spec string
}

// Add caches the spec of a job. If the cache is full, the spec replaces the oldest one.
func (s *SpecCache) Add(job, spec string) {
	if len(s.entries) < maxCachedSpecs {
		s.entries = append(s.entries, jobSpec{job, spec})
		return
	}
	s.entries[s.next] = jobSpec{job, spec}
	s.next = (s.next + 1) % maxCachedSpecs
}

// Find returns the spec of a job if it is cached.
func (s *SpecCache) Find(job string) (string, bool) {
	k := slices.IndexFunc(s.entries, func(js jobSpec) bool { return js.job == job })
	if k < 0 {
		return "", false
	}
	return s.entries[k].spec, true
}
