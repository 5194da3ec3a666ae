// Package evacuation represents the operators' requests to evacuate data halls. Until a
// request is withdrawn, nothing new starts on the targets of the hall, and its active runs
// continue to their end. The package holds the set of evacuated halls as an immutable value
// and has no dependencies.
//
// Invariant: a set contains exactly the halls that were evacuated at one revision of the
// operators' store. Of two sets the one with the later revision is therefore valid, whatever
// their source and the order of their arrival, and an old message cannot evacuate a hall
// again.
package evacuation

import "slices"

// Set is the set of evacuated halls at a revision. The zero value is the empty set before
// any revision.
type Set struct {
	// Revision is the store's revision at which the set was valid; zero if none is known.
	Revision uint64
	// Halls are the names of the halls, sorted.
	Halls []string
}

// NewSet returns the set of halls at a revision.
func NewSet(revision uint64, halls []string) Set {
	halls = slices.Clone(halls)
	slices.Sort(halls)
	return Set{Revision: revision, Halls: slices.Compact(halls)}
}

// Has reports whether a hall is evacuated.
func (s Set) Has(hall string) bool {
	_, found := slices.BinarySearch(s.Halls, hall)
	return found
}

// NewerThan reports whether s supersedes o.
func (s Set) NewerThan(o Set) bool {
	return s.Revision > o.Revision
}

// With returns the set after the evacuation of a hall was requested at a revision, or
// withdrawn if evacuated is false. A revision that is not newer changes nothing.
func (s Set) With(revision uint64, hall string, evacuated bool) Set {
	if revision <= s.Revision {
		return s
	}
	halls := slices.DeleteFunc(slices.Clone(s.Halls), func(h string) bool { return h == hall })
	if evacuated {
		halls = append(halls, hall)
	}
	return NewSet(revision, halls)
}
