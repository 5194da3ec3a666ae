package supervisor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// TestOnlyWatchingEntriesReceiveAllStates guards against sending other entries more than the
// changes of the core state, and against a new watch that does not return the state at once.
func TestOnlyWatchingEntriesReceiveAllStates(t *testing.T) {
	b, _ := newSpecHarness(t)
	count := 0
	var last *peer.State // last state sent on connection 1
	b.Send = func(id ConnID, f *peer.Frame) {
		if id == 1 && f.State != nil {
			count++
			last = f.State
		}
	}
	b.Receive(b.now, 1, &peer.Frame{Seq: 1, Echo: b.now})
	b.Connected(b.now, 2, peer.Hello{Name: "other", Level: peer.LevelNewest})
	b.Receive(b.now, 2, &peer.Frame{Seq: 1, Echo: b.now, Starts: []task.Order{order(0, 1000)}})
	b.advance(300 * ms)
	assert.Equal(t, count, 0)

	b.Receive(b.now, 1, &peer.Frame{Seq: 2, Echo: b.now, Watch: peer.WatchStart})
	assert.Equal(t, count, 1, "the state was not sent at once")
	assert.Equal(t, last.Free.CPU, 3000)

	b.Receive(b.now, 1, &peer.Frame{Seq: 3, Echo: b.now, Watch: peer.WatchStop})
	r := b.report("i-1", 9)
	r.Draining = true
	b.Heartbeat(b.now, r)
	b.advance(2 * TickInterval)
	assert.Equal(t, count, 2)
	assert.Assert(t, !last.Accepting, "draining was not sent to an entry without a watch")
}

// TestFewHeartbeatsOnIdleConnections guards against frequent heartbeats on a connection that
// is not in use; entries below LevelWatch always count as using it.
func TestFewHeartbeatsOnIdleConnections(t *testing.T) {
	for level, most := range map[peer.ProtocolLevel]int{peer.LevelNewest: 7, peer.LevelBase: 100} {
		b := newHarness(t)
		b.Connected(b.now, 1, peer.Hello{Name: "edge", Level: level})
		b.frames = nil // the limits are for the ten seconds that follow
		for k := range int(10 * time.Second / TickInterval) {
			b.now += TickInterval
			b.Receive(b.now, 1, &peer.Frame{Echo: b.now})
			if k%50 == 0 { // every 1.5 s
				b.Heartbeat(b.now, b.report("i-1", 2))
			}
			b.answerRenewal(nil, nil)
			b.Tick(b.now)
			b.SendHeartbeats(b.now)
		}
		assert.Assert(t, len(b.frames) <= most, "level %d: %d frames", level, len(b.frames))
	}
}
