package node

import (
	"context"
	"time"

	"github.com/beaconpoint/beaconpoint/supervisor"
)

// renewLoop renews the target's lease continuously. While no target is known, it waits for a
// heartbeat.
func (a *Agent) renewLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if a.renewOnce(ctx, a.heartbeatSeen) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-a.heartbeatSeen:
		}
	}
	return nil
}

// parallelRenewLoop makes renewals in parallel with renewLoop while replies are being lost and there
// are runs.
func (a *Agent) parallelRenewLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.repliesLost:
		}
		select {
		case <-a.heartbeatSeenParallel: // discard an earlier signal, which must not cut the next pause short
		default:
		}
		for a.needsParallelRenewal() && a.renewParallel(ctx) {
		}
	}
}

// renewParallel makes one renewal in parallel with renewLoop. It reports false if no target is known
// or ctx is done.
func (a *Agent) renewParallel(ctx context.Context) bool {
	return a.renewOnce(ctx, a.heartbeatSeenParallel)
}

// needsParallelRenewal reports whether replies of the target are being lost while there are runs.
func (a *Agent) needsParallelRenewal() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.supervisor.NeedsSecondRenewal(a.clock.now())
}

// renewOnce makes one renewal. After a failure it pauses until the backoff has elapsed or a
// heartbeat arrives. It reports false if no target is known or ctx is done.
func (a *Agent) renewOnce(ctx context.Context, heartbeat <-chan struct{}) bool {
	a.mu.Lock()
	c, ok := a.supervisor.NextRenewal(a.clock.now())
	a.mu.Unlock()
	if !ok || ctx.Err() != nil {
		return false
	}
	began := time.Now()
	reply, lists := a.target.Renew(c)
	a.renewSeconds.UpdateDuration(began)
	a.renewSecondsDeprecated.UpdateDuration(began)
	a.mu.Lock()
	now := a.clock.now()
	a.supervisor.RenewalAnswered(now, c, reply, lists)
	pause := a.supervisor.RenewalBackoff() - time.Since(began)
	a.scheduleFlush(now)
	a.mu.Unlock()
	if pause <= 0 {
		return true
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-heartbeat:
	case <-timer.C:
	}
	return true
}

// start sends a start call to the target. If there is no reply within StartRetry, checkTimeouts lets
// the supervisor start another call.
func (a *Agent) start(c supervisor.StartCall) {
	began := time.Now()
	timeoutCheck := time.AfterFunc(supervisor.StartRetry+time.Millisecond, a.checkTimeouts)
	reply := a.target.Start(c)
	timeoutCheck.Stop()
	a.startSeconds.UpdateDuration(began)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	a.supervisor.StartAnswered(now, c, reply)
	a.scheduleFlush(now)
}

// checkTimeouts lets the supervisor handle expired timeouts.
func (a *Agent) checkTimeouts() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	a.supervisor.Tick(now)
	a.scheduleFlush(now)
}

// stopRun sends a stop call to the target.
func (a *Agent) stopRun(c supervisor.StopCall) {
	reply := a.target.Stop(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	a.supervisor.StopAnswered(now, c, reply)
	a.scheduleFlush(now)
}
