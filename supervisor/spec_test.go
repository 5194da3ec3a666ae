package supervisor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// newSpecHarness returns a harness whose entry has the latest protocol level, and the list of
// requested specs.
func newSpecHarness(t *testing.T) (*harness, *[]string) {
	t.Helper()
	b := newHarness(t)
	b.Connected(b.now, 1, peer.Hello{Name: "edge", Level: peer.LevelNewest})
	var fetched []string
	b.FetchSpec = func(job, addr string) { fetched = append(fetched, job+" at "+addr) }
	return b, &fetched
}

// orderAt returns an order that names another agent as the source of the spec.
func orderAt(index int) task.Order {
	o := order(index, 1000)
	o.SpecAt = "10.1.0.30:7720"
	return o
}

// TestSpecReusedForLaterOrders guards against rejecting orders that omit a spec sent with an
// earlier order, even if that one was rejected.
func TestSpecReusedForLaterOrders(t *testing.T) {
	b, _ := newSpecHarness(t)
	first, tooLarge, later := order(0, 1000), order(1, 9000), order(2, 1000)
	tooLarge.Spec, first.SpecKept, later.SpecKept = "text", true, true
	b.sendOrders(tooLarge, first, later)
	assert.Equal(t, b.sentEnds()[0].Reason, code.RunNoRoom)
	assert.Equal(t, len(b.starts), 2)
	assert.Equal(t, b.starts[0].Order.Spec, "text")
	assert.Equal(t, b.starts[1].Order.Spec, "text")
}

// TestOrderWithUnknownSpecIsRejected guards against a start with a missing spec.
func TestOrderWithUnknownSpecIsRejected(t *testing.T) {
	b, _ := newSpecHarness(t)
	o := order(0, 1000)
	o.SpecKept = true
	b.sendOrders(o)
	assert.Equal(t, len(b.starts), 0)
	assert.Equal(t, b.sentEnds()[0].Reason, code.RunSpecUnknown)
}

// TestSpecFetchedFromOtherAgent guards against giving away the resources of an order during
// the fetch, and against a second start after a repeated answer.
func TestSpecFetchedFromOtherAgent(t *testing.T) {
	b, fetched := newSpecHarness(t)
	b.sendOrders(orderAt(0), order(1, 4000))
	assert.DeepEqual(t, *fetched, []string{"0123456789abcdef at 10.1.0.30:7720"})
	assert.Equal(t, len(b.starts), 0)
	assert.Equal(t, b.sentEnds()[0].Reason, code.RunNoRoom, "the second order was not rejected for lack of resources")
	b.advance(50 * ms)
	b.SpecFetched(b.now, "0123456789abcdef", "text", true)
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, b.starts[0].Order.Spec, "text")
	b.SpecFetched(b.now, "0123456789abcdef", "text", true)
	assert.Equal(t, len(b.starts), 1, "a repeated answer started the run again")
}

// TestKnownSpecIsNotFetched guards against needless fetches of a spec received with another
// order.
func TestKnownSpecIsNotFetched(t *testing.T) {
	b, fetched := newSpecHarness(t)
	with := order(0, 1000)
	with.Spec = "text"
	b.sendOrders(with, orderAt(1))
	assert.Equal(t, len(*fetched), 0)
	assert.Equal(t, len(b.starts), 2)
	assert.Equal(t, b.starts[1].Order.Spec, "text")
}

// TestMissingSpecRejectsOrder guards against an order that keeps its resources, or starts
// late, after a negative answer or the timeout of the fetch.
func TestMissingSpecRejectsOrder(t *testing.T) {
	for _, answer := range []func(*harness){
		func(b *harness) { b.SpecFetched(b.now, "0123456789abcdef", "", false) },
		func(b *harness) { b.advance(specTimeout + TickInterval) },
	} {
		b, _ := newSpecHarness(t)
		b.sendOrders(orderAt(0))
		answer(b)
		assert.Equal(t, len(b.starts), 0)
		assert.Equal(t, b.sentEnds()[0].End, task.EndRejected)
		assert.Equal(t, b.sentEnds()[0].Reason, code.RunSpecUnknown)
		assert.Equal(t, b.room.used, task.Resources{})
		b.SpecFetched(b.now, "0123456789abcdef", "text", true)
		assert.Equal(t, len(b.starts), 0, "a late answer started the run")
	}
}

// TestOrderAwaitingSpecEndsWithEntry guards against a start or stop of a run whose entry
// has stopped it, disconnected, or lost its lease during the fetch.
func TestOrderAwaitingSpecEndsWithEntry(t *testing.T) {
	for name, end := range map[string]func(*harness){
		"the entry stops the run": func(b *harness) {
			b.Receive(b.now, 1, &peer.Frame{Echo: b.now, Stops: []task.Ref{{Task: order(0, 0).Task, Run: 1}}})
		},
		"the entry disconnects": func(b *harness) { b.Disconnected(b.now, 1) },
		"the lease has expired": func(b *harness) { b.now += OwnerLease + time.Millisecond },
	} {
		b, _ := newSpecHarness(t)
		b.sendOrders(orderAt(0))
		end(b)
		b.SpecFetched(b.now, "0123456789abcdef", "text", true)
		assert.Equal(t, len(b.starts), 0, name)
		assert.Equal(t, len(b.stops), 0, name)
		assert.Equal(t, len(b.runs), 0, name)
	}
}
