package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSilenceTimeoutDependsOnUse: a connection that is not in use may be silent for longer, and
// the time is measured again from the beginning of its use.
func TestSilenceTimeoutDependsOnUse(t *testing.T) {
	const heard = 10 * time.Second
	assert.Assert(t, SilentTooLong(heard+Silence+1, heard, true, 0))
	assert.Assert(t, !SilentTooLong(heard+Silence+1, heard, false, 0))
	assert.Assert(t, SilentTooLong(heard+IdleSilence+1, heard, false, 0))
	used := heard + 2*time.Second
	assert.Assert(t, !SilentTooLong(used+Silence, heard, true, used))
	assert.Assert(t, SilentTooLong(used+Silence+1, heard, true, used))
}
