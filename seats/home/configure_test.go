package home_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/home"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

func TestStaleConfigurationDoesNotSettleOrReplaceNewer(t *testing.T) {
	now := clock.Moment{Mono: time.Second, Wall: time.Unix(1_700_000_000, 0)}
	self, other := roster.NewID("entry-a", 1), roster.NewID("entry-b", 1)
	h := home.NewHome(home.DefaultConfig(self, "here"))
	h.RosterRead(now, roster.Roster{Revision: 2, Seats: []roster.Seat{{ID: self}, {ID: other}}, Changes: []string{"c"}}, nil)
	h.LinkUp(now, other, wire.RoleEntry)
	seq := uint64(0)
	receive := func(m wire.Message) {
		seq++
		h.Receive(now, other, wire.Frame{Header: wire.Header{Seq: seq, Revision: 2, Config: 6, Echo: int64(now.Mono)}, Body: m})
	}
	receive(wire.HandOver{Revision: 2, Settled: true})
	assert.Assert(t, !h.Settled(), "no configuration was read")
	h.Configure(now, config.Document{Revision: 5}) // a stale read
	assert.Assert(t, !h.Settled(), "another seat has a higher revision")
	receive(wire.Config{Document: config.Document{Revision: 6}.Encode()})
	assert.Assert(t, h.Settled())
	h.Configure(now, config.Document{Revision: 5})
	assert.Equal(t, h.Configuration().Revision, uint64(6))
}
