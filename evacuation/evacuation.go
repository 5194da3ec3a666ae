// Package evacuation is the operators' request that data halls be evacuated: until it is
// taken back, nothing new is started on the targets of such a hall, and what runs there
// ends by itself. It holds the set of evacuated halls as an immutable value. It relies on
// nothing.
//
// Invariant: a value says which halls were evacuated at one revision of the operators'
// store, all of them. So of two values the one of the later revision holds, whoever it
// came from and in whatever order they came: a hall that was taken back is not evacuated
// again by an old message.
package evacuation

import "slices"

// Set is the evacuated halls at a revision. The zero value knows of none.
type Set struct {
	// Revision is that of the store at which the set held, zero where nothing was heard
	// of it.
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

// NewerThan reports whether s holds in place of o.
func (s Set) NewerThan(o Set) bool {
	return s.Revision > o.Revision
}

// With returns the set after the request for a hall was made at a revision, or taken back
// where evacuated is false. A revision that is not newer changes nothing.
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
