package evacuation

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestWith(t *testing.T) {
	s := Set{}.With(5, "mtm", true).With(7, "bay", true)
	assert.DeepEqual(t, s, Set{Revision: 7, Halls: []string{"bay", "mtm"}})
	assert.Assert(t, s.Has("mtm") && s.Has("bay") && !s.Has("tepuke"))
	assert.DeepEqual(t, s.With(7, "tepuke", true), s) // not newer
	back := s.With(9, "mtm", false)
	assert.DeepEqual(t, back, Set{Revision: 9, Halls: []string{"bay"}})
	assert.Assert(t, s.Has("mtm")) // it was not changed
	assert.Assert(t, back.NewerThan(s) && !s.NewerThan(back) && !s.NewerThan(s))
	assert.DeepEqual(t, back.With(6, "mtm", true), back) // an old request
}

// TestAnyOrderOfNewsEndsAlike plays the operators' changes, each of which some process
// hears itself, or from another one, or after its history was forgotten, in any order: all
// that have heard of the last revision hold the same.
func TestAnyOrderOfNewsEndsAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		halls := []string{"a", "b", "c"}
		truth := []Set{{Revision: 1}}
		type change struct {
			hall      string
			evacuated bool
		}
		changes := []change{{}}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			c := change{rapid.SampledFrom(halls).Draw(t, "hall"), rapid.Bool().Draw(t, "evacuated")}
			last := truth[len(truth)-1]
			truth = append(truth, last.With(last.Revision+1, c.hall, c.evacuated))
			changes = append(changes, c)
		}
		processes := make([]Set, 3)
		watched := []int{0, 0, 0} // by process, the change that its watch has reached
		hear := func(k int, s Set) {
			if s.NewerThan(processes[k]) {
				processes[k] = s
			}
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			k := rapid.IntRange(0, 2).Draw(t, "process")
			switch rapid.IntRange(0, 2).Draw(t, "how") {
			case 0: // the next change of the watch
				if watched[k]+1 < len(changes) && watched[k] > 0 {
					watched[k]++
					c := changes[watched[k]]
					hear(k, processes[k].With(truth[watched[k]].Revision, c.hall, c.evacuated))
				}
			case 1: // a reading of all, as it was a while ago
				at := rapid.IntRange(watched[k], len(truth)-1).Draw(t, "at")
				hear(k, truth[at])
				watched[k] = at
			case 2: // a message of another process, which may be old
				hear(k, processes[rapid.IntRange(0, 2).Draw(t, "from")])
			}
			assert.DeepEqual(t, processes[k].Halls, truthAt(truth, processes[k].Revision).Halls)
		}
	})
}

// truthAt returns the set that held at a revision.
func truthAt(truth []Set, revision uint64) Set {
	for _, s := range truth {
		if s.Revision == revision {
			return s
		}
	}
	return Set{}
}
