package peer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSpecCacheEvictsOldestFirst guards against sender and receiver caching different specs.
func TestSpecCacheEvictsOldestFirst(t *testing.T) {
	var s SpecCache
	const jobs = 3 * maxCachedSpecs
	for k := range jobs {
		s.Add(fmt.Sprint(k), fmt.Sprint("spec ", k))
	}
	for k := range jobs {
		spec, ok := s.Find(fmt.Sprint(k))
		assert.Equal(t, ok, k >= jobs-maxCachedSpecs, "job %d", k)
		if ok {
			assert.Equal(t, spec, fmt.Sprint("spec ", k))
		}
	}
}
