package node

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/settings"
	"github.com/beaconpoint/beaconpoint/supervisor"
)

// TestHeartbeatWakesBothRenewLoops guards against a heartbeat that ends the pause of the
// parallel renewal but does not wake renewLoop to serve the target's new incarnation.
func TestHeartbeatWakesBothRenewLoops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var served atomic.Pointer[time.Time]
		var calls atomic.Int32
		renew := func(c supervisor.RenewCall) (supervisor.Reply, *supervisor.RunLists) {
			call := calls.Add(1)
			switch {
			case c.Incarnation.ID == "i-2":
				now := time.Now()
				served.CompareAndSwap(nil, &now)
				time.Sleep(time.Second)
			case call == 1: // the parallel renewal, which pauses
				return supervisor.Reply{Outcome: supervisor.NoAnswer, Err: errors.New("lost")}, nil
			}
			time.Sleep(time.Millisecond)
			return supervisor.Reply{Outcome: supervisor.WrongIncarnation}, nil
		}
		a := NewAgent(settings.DefaultNode(), Directory{}, TargetCalls{Renew: renew}, slog.New(slog.DiscardHandler))
		a.clock = virtualClock()
		a.Heartbeat(supervisor.Report{ID: "i-1", Seq: 1})
		<-a.heartbeatSeen
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go a.renewParallel(ctx)
		synctest.Wait()
		go func() { _ = a.renewLoop(ctx) }()
		time.Sleep(5 * time.Millisecond) // the target has answered as another incarnation
		began := time.Now()
		a.Heartbeat(supervisor.Report{ID: "i-2", Seq: 1})
		time.Sleep(10 * time.Millisecond)
		first := served.Load()
		assert.Check(t, first != nil && first.Sub(began) < 10*time.Millisecond,
			"the new incarnation was not served within 10 ms")
		cancel()
		time.Sleep(2 * time.Second) // let calls in flight end
	})
}
