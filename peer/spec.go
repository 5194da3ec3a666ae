package peer

import "slices"

// maxCachedSpecs is the number of specs cached per connection. A target runs few tasks at once,
// so orders of the same job to an agent are rarely further apart. Specs of up to 4,000 bytes
// take 64 KB.
const maxCachedSpecs = 16

// Specs caches the specs sent most recently on a connection, so that the spec of a job is sent
// once for all its tasks. Sender and receiver add the same specs in the same order, so each
// knows what the other has cached.
type Specs struct {
	entries []jobSpec
	next    int // where the next spec is stored once the cache is full
}

type jobSpec struct {
	job, spec string
}

// Add caches the spec of a job. If the cache is full, it replaces the oldest one.
func (s *Specs) Add(job, spec string) {
	if len(s.entries) < maxCachedSpecs {
		s.entries = append(s.entries, jobSpec{job, spec})
		return
	}
	s.entries[s.next] = jobSpec{job, spec}
	s.next = (s.next + 1) % maxCachedSpecs
}

// Find returns the spec of a job if it is cached.
func (s *Specs) Find(job string) (string, bool) {
	k := slices.IndexFunc(s.entries, func(js jobSpec) bool { return js.job == job })
	if k < 0 {
		return "", false
	}
	return s.entries[k].spec, true
}
