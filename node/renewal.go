package node

import (
	"context"
	"time"

	"github.com/beaconpoint/beaconpoint/supervisor"
)

// hold keeps the worker's lease and reads its lists.
func (a *Agent) hold(ctx context.Context) error {
	for ctx.Err() == nil {
		if !a.holdOnce(ctx) {
			select {
			case <-ctx.Done():
			case <-a.awake:
			}
		}
	}
	return nil
}

// holdBeside keeps a second hold under way while answers get lost.
func (a *Agent) holdBeside(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.shaken:
		}
		for a.shaky() && a.holdOnce(ctx) {
		}
	}
}

// shaky reports whether answers of the worker get lost.
func (a *Agent) shaky() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.supervisor.Shaky(a.clock.now())
}

// holdOnce makes one hold, and the pause after one that failed. It reports
// whether there is a worker.
func (a *Agent) holdOnce(ctx context.Context) bool {
	a.mu.Lock()
	c, ok := a.supervisor.NextHold(a.clock.now())
	a.mu.Unlock()
	if !ok || ctx.Err() != nil {
		return false
	}
	began := time.Now()
	reply, answer := a.calls.Hold(c)
	a.holdSeconds.UpdateDuration(began)
	a.mu.Lock()
	a.supervisor.HoldAnswered(a.clock.now(), c, reply, answer)
	pause := a.supervisor.HoldPause() - time.Since(began)
	a.later()
	a.mu.Unlock()
	a.pause(ctx, pause)
	return true
}

// pause waits, or until the worker has sent a heartbeat.
func (a *Agent) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-a.awake:
	case <-timer.C:
	}
}

func (a *Agent) start(c supervisor.StartCall) {
	began := time.Now()
	retry := time.AfterFunc(supervisor.StartRetry+time.Millisecond, a.look)
	reply := a.calls.Start(c)
	retry.Stop()
	a.startSeconds.UpdateDuration(began)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.supervisor.StartAnswered(a.clock.now(), c, reply)
	a.later()
}

// look has the state machine look at what has run out of time.
func (a *Agent) look() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.supervisor.Tick(a.clock.now())
	a.later()
}

func (a *Agent) stopRun(c supervisor.StopCall) {
	reply := a.calls.Stop(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.supervisor.StopAnswered(a.clock.now(), c, reply)
	a.later()
}
