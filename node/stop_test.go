package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestStoppingEntryServesUntilBalancerRemovesIt: the balancer asks each second, takes
// an entry out after two misses, and what it has passed on before that may arrive a
// while later.
func TestStoppingEntryServesUntilBalancerRemovesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const missed, underWay = 2 * time.Second, 300 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		e := newTestEntry(&fakeStore{})
		e.settings.Grace = 6 * time.Second
		var closed time.Duration
		began := time.Now()
		cancel()
		assert.NilError(t, e.stop(ctx, func() { closed = time.Since(began) }, func() {}))
		assert.Assert(t, closed >= missed+underWay, "closed after %v", closed)
		assert.Assert(t, closed <= e.settings.Grace/2) // half is left for what runs
	})
}
