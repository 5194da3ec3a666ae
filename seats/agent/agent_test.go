package agent

import (
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/settings"
	"github.com/beaconpoint/beaconpoint/seats/wire"
	"github.com/beaconpoint/beaconpoint/testutil/loopback"
)

// Guards against a connection accepted during the stop that is never closed, so
// that the process does not exit.
func TestConnectionAfterCloseIsRejected(t *testing.T) {
	cfg := settings.Default()
	cfg.Role, cfg.Name, cfg.Region, cfg.Hall, cfg.Peers = wire.RoleAgent, "worker1", "test", "hall", "127.0.0.1:0"
	cfg.Agent.Target = "http://127.0.0.1:1"
	a, err := NewAgent(cfg, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	defer a.listener.Close()
	near, far := loopback.Pair(t)
	defer far.Close()
	go func() {
		_, _ = wire.Handshake(far, wire.Hello{Role: wire.RoleEntry, ID: roster.NewID("entry1", 1), Region: "test"}, new(wire.Stats))
	}()
	c, err := wire.Handshake(near, wire.Hello{Role: wire.RoleAgent, ID: a.self, Region: "test"}, &a.stats)
	assert.NilError(t, err)
	defer c.Close()
	a.closeAll()
	assert.Assert(t, !a.linkUp(c))
}
