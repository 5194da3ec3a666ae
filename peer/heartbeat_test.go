package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSilenceTimeoutDependsOnUse guards against closing a connection that is not in use after
// SilenceTimeout, or measuring SilenceTimeout from a frame received before the beginning of the use.
func TestSilenceTimeoutDependsOnUse(t *testing.T) {
	const receivedAt = 10 * time.Second
	assert.Assert(t, SilentTooLong(receivedAt+SilenceTimeout+1, receivedAt, true, 0))
	assert.Assert(t, !SilentTooLong(receivedAt+SilenceTimeout+1, receivedAt, false, 0))
	assert.Assert(t, SilentTooLong(receivedAt+IdleSilenceTimeout+1, receivedAt, false, 0))
	usedSince := receivedAt + 2*time.Second
	assert.Assert(t, !SilentTooLong(usedSince+SilenceTimeout, receivedAt, true, usedSince))
	assert.Assert(t, SilentTooLong(usedSince+SilenceTimeout+1, receivedAt, true, usedSince))
}
