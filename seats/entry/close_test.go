package entry

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
	"github.com/beaconpoint/beaconpoint/testutil/loopback"
)

// Guards against a connection accepted during the stop that is never closed, so
// that the process does not exit.
func TestConnectionAfterCloseIsRejected(t *testing.T) {
	e := newTestEntry(t, io.Discard)
	near, far := loopback.Pair(t)
	defer far.Close()
	go func() {
		_, _ = wire.Handshake(far, wire.Hello{Role: wire.RoleAgent, ID: roster.NewID("worker1", 1), Region: "test"}, new(wire.Stats))
	}()
	c, err := wire.Handshake(near, wire.Hello{Role: wire.RoleEntry, ID: e.self, Region: "test"}, &e.stats)
	assert.NilError(t, err)
	defer c.Close()
	e.closeAll()
	_, ok := e.linkUp(c, e.self)
	assert.Assert(t, !ok)
}
