package supervisor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// newRelayBench returns a bench whose entry understands all that this version does, and
// the jobs whose specs were asked for.
func newRelayBench(t *testing.T) (*bench, *[]string) {
	t.Helper()
	b := newBench(t)
	b.Connected(b.now, 1, peer.Hello{Name: "edge", Level: peer.LevelNewest})
	var fetched []string
	b.FetchSpec = func(job, addr string) { fetched = append(fetched, job+" at "+addr) }
	return b, &fetched
}

// orderAt returns an order that names an agent which has the spec.
func orderAt(index int) task.Order {
	o := order(index, 1000)
	o.SpecAt = "10.1.0.30:7720"
	return o
}

// TestASpecIsSentOnce: later orders of the job leave it out, also after a rejection.
func TestASpecIsSentOnce(t *testing.T) {
	b, _ := newRelayBench(t)
	first, tooLarge, later := order(0, 1000), order(1, 9000), order(2, 1000)
	tooLarge.Spec, first.SpecKept, later.SpecKept = "text", true, true
	b.orders(tooLarge, first, later)
	assert.Equal(t, b.ends()[0].Reason, code.RunNoRoom)
	assert.Equal(t, len(b.starts), 2)
	assert.Equal(t, b.starts[0].Order.Spec, "text")
	assert.Equal(t, b.starts[1].Order.Spec, "text")
}

// TestAnOrderWhoseSpecIsNotRememberedIsRejected: nothing starts with another spec.
func TestAnOrderWhoseSpecIsNotRememberedIsRejected(t *testing.T) {
	b, _ := newRelayBench(t)
	o := order(0, 1000)
	o.SpecKept = true
	b.orders(o)
	assert.Equal(t, len(b.starts), 0)
	assert.Equal(t, b.ends()[0].Reason, code.RunSpecUnknown)
}

// TestASpecComesFromAnotherAgent: the order holds its room meanwhile.
func TestASpecComesFromAnotherAgent(t *testing.T) {
	b, fetched := newRelayBench(t)
	b.orders(orderAt(0), order(1, 4000))
	assert.DeepEqual(t, *fetched, []string{"0123456789abcdef at 10.1.0.30:7720"})
	assert.Equal(t, len(b.starts), 0)
	assert.Equal(t, b.ends()[0].Reason, code.RunNoRoom, "the second one does not fit beside the first")
	b.beat(50 * ms)
	b.SpecFetched(b.now, "0123456789abcdef", "text", true)
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, b.starts[0].Order.Spec, "text")
	b.SpecFetched(b.now, "0123456789abcdef", "text", true)
	assert.Equal(t, len(b.starts), 1, "a second answer starts nothing")
}

// TestASpecThatIsHereIsNotFetched: another entry, or an earlier order, has brought it.
func TestASpecThatIsHereIsNotFetched(t *testing.T) {
	b, fetched := newRelayBench(t)
	with := order(0, 1000)
	with.Spec = "text"
	b.orders(with, orderAt(1))
	assert.Equal(t, len(*fetched), 0)
	assert.Equal(t, len(b.starts), 2)
	assert.Equal(t, b.starts[1].Order.Spec, "text")
}

// TestASpecThatDoesNotCome: the order is rejected as one that has not run, at once where
// the other agent says so, and after a while where it says nothing.
func TestASpecThatDoesNotCome(t *testing.T) {
	for _, answer := range []func(*bench){
		func(b *bench) { b.SpecFetched(b.now, "0123456789abcdef", "", false) },
		func(b *bench) { b.beat(specTimeout + TickInterval) },
	} {
		b, _ := newRelayBench(t)
		b.orders(orderAt(0))
		answer(b)
		assert.Equal(t, len(b.starts), 0)
		assert.Equal(t, b.ends()[0].End, task.EndRejected)
		assert.Equal(t, b.ends()[0].Reason, code.RunSpecUnknown)
		assert.Equal(t, b.room.used, task.Needs{})
		b.SpecFetched(b.now, "0123456789abcdef", "text", true)
		assert.Equal(t, len(b.starts), 0, "a late answer starts nothing")
	}
}

// TestAnOrderThatWaitsForItsSpecEndsWithItsEntry: no start goes to the target, and none is
// sent under a lease that has run out meanwhile.
func TestAnOrderThatWaitsForItsSpecEndsWithItsEntry(t *testing.T) {
	for name, end := range map[string]func(*bench){
		"the entry stops it": func(b *bench) {
			b.Receive(b.now, 1, &peer.Frame{Echo: b.now, Stops: []task.Ref{{Task: order(0, 0).Task, Run: 1}}})
		},
		"the connection ends":   func(b *bench) { b.Disconnected(b.now, 1) },
		"the lease has run out": func(b *bench) { b.now += OwnerLease + time.Millisecond },
	} {
		b, _ := newRelayBench(t)
		b.orders(orderAt(0))
		end(b)
		b.SpecFetched(b.now, "0123456789abcdef", "text", true)
		assert.Equal(t, len(b.starts), 0, name)
		assert.Equal(t, len(b.stops), 0, name)
		assert.Equal(t, len(b.runs), 0, name)
	}
}

// TestOnlyEntriesThatWatchAreToldOfRoom: the others hear of what matters to them, and of
// all when they begin to watch.
func TestOnlyEntriesThatWatchAreToldOfRoom(t *testing.T) {
	b, _ := newRelayBench(t)
	count := 0
	var last *peer.State // that connection 1 was told
	b.Send = func(id ConnID, f *peer.Frame) {
		if id == 1 && f.State != nil {
			count++
			last = f.State
		}
	}
	b.Receive(b.now, 1, &peer.Frame{Seq: 1, Echo: b.now})
	b.Connected(b.now, 2, peer.Hello{Name: "other", Level: peer.LevelNewest})
	b.Receive(b.now, 2, &peer.Frame{Seq: 1, Echo: b.now, Starts: []task.Order{order(0, 1000)}})
	b.beat(300 * ms)
	assert.Equal(t, count, 0)

	b.Receive(b.now, 1, &peer.Frame{Seq: 2, Echo: b.now, Watch: peer.WatchBegins})
	assert.Equal(t, count, 1, "at once")
	assert.Equal(t, last.Free.CPU, 3000)

	b.Receive(b.now, 1, &peer.Frame{Seq: 3, Echo: b.now, Watch: peer.WatchEnds})
	r := b.report("i-1", 9)
	r.Draining = true
	b.Heartbeat(b.now, r)
	b.beat(2 * TickInterval)
	assert.Equal(t, count, 2)
	assert.Assert(t, !last.Accepting, "who does not watch hears that the target drains")
}

// TestHeartbeatsAreRareWhereNothingIsUsed counts the frames of ten seconds.
func TestHeartbeatsAreRareWhereNothingIsUsed(t *testing.T) {
	for level, most := range map[peer.Level]int{peer.LevelNewest: 7, peer.LevelBase: 100} {
		b := newBench(t)
		b.Connected(b.now, 1, peer.Hello{Name: "edge", Level: level})
		b.frames = nil
		for k := range int(10 * time.Second / TickInterval) {
			b.now += TickInterval
			b.Receive(b.now, 1, &peer.Frame{Echo: b.now})
			if k%50 == 0 { // each 1.5 s
				b.Heartbeat(b.now, b.report("i-1", 2))
			}
			b.list(nil, nil)
			b.Tick(b.now)
			b.Heartbeats(b.now)
		}
		assert.Assert(t, len(b.frames) <= most, "level %d: %d frames", level, len(b.frames))
	}
}
