package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestStoppingEntryServesUntilBalancerRemovesIt guards against refusing requests that the load
// balancer forwards before it removes the entry after two failed readiness checks.
func TestStoppingEntryServesUntilBalancerRemovesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const removalTime, forwardTime = 2 * time.Second, 300 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		e := newTestEntry(&fakeStore{})
		e.settings.Grace = 6 * time.Second
		var closed time.Duration
		began := time.Now()
		cancel()
		assert.NilError(t, e.stop(ctx, func() { closed = time.Since(began) }, func() {}))
		assert.Assert(t, closed >= removalTime+forwardTime, "closed after %v", closed)
		assert.Assert(t, closed <= e.settings.Grace/2) // half remains for running jobs
	})
}
