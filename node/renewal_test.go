package node

import (
	"context"
	"errors"
	"log/slog"
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
		var served time.Time
		calls := 0
		renew := func(c supervisor.RenewCall) (supervisor.Reply, *supervisor.RunLists) {
			calls++
			switch {
			case c.Incarnation.ID == "i-2":
				if served.IsZero() {
					served = time.Now()
				}
				time.Sleep(time.Second)
			case calls == 1: // the parallel renewal, which pauses
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
		assert.Check(t, !served.IsZero() && served.Sub(began) < 10*time.Millisecond,
			"the new incarnation was not served within 10 ms")
		cancel()
		time.Sleep(2 * time.Second) // let calls in flight end
	})
}
