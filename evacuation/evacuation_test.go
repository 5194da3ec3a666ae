package evacuation

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestOutdatedChangeHasNoEffect guards against changes that take effect although their revision
// is not newer, or that modify the previous set.
func TestOutdatedChangeHasNoEffect(t *testing.T) {
	s := Set{}.With(5, "mtm", true).With(7, "bay", true)
	assert.DeepEqual(t, s, Set{Revision: 7, Halls: []string{"bay", "mtm"}})
	assert.Assert(t, s.Has("mtm") && s.Has("bay") && !s.Has("tepuke"))
	assert.DeepEqual(t, s.With(7, "tepuke", true), s) // revision is not newer
	back := s.With(9, "mtm", false)
	assert.DeepEqual(t, back, Set{Revision: 9, Halls: []string{"bay"}})
	assert.Assert(t, s.Has("mtm")) // s is immutable
	assert.Assert(t, back.NewerThan(s) && !s.NewerThan(back) && !s.NewerThan(s))
	assert.DeepEqual(t, back.With(6, "mtm", true), back) // an outdated request
}

// TestSetsConvergeInAnyMessageOrder guards against stale messages that restore an old set:
// each set must match the store at its revision.
func TestSetsConvergeInAnyMessageOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		halls := []string{"a", "b", "c"}
		stored := []Set{{Revision: 1}}
		type change struct {
			hall      string
			evacuated bool
		}
		changes := []change{{}}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			c := change{rapid.SampledFrom(halls).Draw(t, "hall"), rapid.Bool().Draw(t, "evacuated")}
			last := stored[len(stored)-1]
			stored = append(stored, last.With(last.Revision+1, c.hall, c.evacuated))
			changes = append(changes, c)
		}
		processes := make([]Set, 3)
		watchedChange := []int{0, 0, 0} // by process, the last change received by its watch
		apply := func(k int, s Set) {
			if s.NewerThan(processes[k]) {
				processes[k] = s
			}
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			k := rapid.IntRange(0, 2).Draw(t, "process")
			switch rapid.IntRange(0, 2).Draw(t, "how") {
			case 0: // the next change of the watch
				if watchedChange[k]+1 < len(changes) && watchedChange[k] > 0 {
					watchedChange[k]++
					c := changes[watchedChange[k]]
					apply(k, processes[k].With(stored[watchedChange[k]].Revision, c.hall, c.evacuated))
				}
			case 1: // a read of all halls at an earlier revision
				at := rapid.IntRange(watchedChange[k], len(stored)-1).Draw(t, "at")
				apply(k, stored[at])
				watchedChange[k] = at
			case 2: // a message of another process, possibly outdated
				apply(k, processes[rapid.IntRange(0, 2).Draw(t, "from")])
			}
			assert.DeepEqual(t, processes[k].Halls, storedAt(stored, processes[k].Revision).Halls)
		}
	})
}

// storedAt returns the set that was valid at a revision.
func storedAt(stored []Set, revision uint64) Set {
	for _, s := range stored {
		if s.Revision == revision {
			return s
		}
	}
	return Set{}
}
