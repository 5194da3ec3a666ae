//go:build knownred

package supervisor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// TestOrderUsesReservationOfItsEntry guards against room that stays reserved for an entry whose
// order has taken it, so that other entries are not given room that becomes free.
func TestOrderUsesReservationOfItsEntry(t *testing.T) {
	b := newHarness(t)
	b.sendOrders(order(0, 1000))
	need := task.Resources{CPU: 3000}
	b.Receive(b.now, 1, &peer.Frame{Echo: b.now, RoomRequest: &peer.RoomRequest{Needs: need, Total: need}})
	b.sendOrders(order(1, 3000)) // sent before the reservation arrived
	total := b.room.used
	for _, v := range b.room.reservations {
		total = total.Plus(v.resources)
	}
	assert.Assert(t, total.Fits(b.target.report.Capacity), "%+v in use and reserved", total)
}
