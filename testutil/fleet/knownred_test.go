//go:build knownred

package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestDuplicatesAtEntriesWithDifferentHomesRunOnce guards against two runs of a task at one time if
// two entries with duplicates of a job have each lost another one of its homes.
func TestDuplicatesAtEntriesWithDifferentHomesRunOnce(t *testing.T) {
	w := New(duplicatesAtLostHomes(11311))
	w.Run()
	assert.Equal(t, w.Violation, "")
}
