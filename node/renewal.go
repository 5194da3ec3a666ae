package node

import (
	"context"
	"time"

	"github.com/beaconpoint/beaconpoint/supervisor"
)

// renewLoop keeps a renewal of the target's lease under way. While no target is
// known it waits for a heartbeat.
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

// renewBesideLoop keeps a second renewal under way while replies get lost.
func (a *Agent) renewBesideLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.repliesLost:
		}
		select {
		case <-a.heartbeatSeenBeside: // from before: it must not end a pause
		default:
		}
		for a.losingReplies() && a.renewBeside(ctx) {
		}
	}
}

// renewBeside makes one renewal beside the first.
func (a *Agent) renewBeside(ctx context.Context) bool {
	return a.renewOnce(ctx, a.heartbeatSeenBeside)
}

// losingReplies reports whether the target's replies get lost.
func (a *Agent) losingReplies() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.supervisor.LosingReplies(a.clock.now())
}

// renewOnce makes one renewal, and the pause after one that failed, which a heartbeat
// ends. It reports whether a target is known.
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
	a.renewSecondsBefore.UpdateDuration(began)
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

// start calls the target to start a run. The supervisor looks for its answer when it
// is due to be sent again.
func (a *Agent) start(c supervisor.StartCall) {
	began := time.Now()
	retry := time.AfterFunc(supervisor.StartRetry+time.Millisecond, a.checkTimeouts)
	reply := a.target.Start(c)
	retry.Stop()
	a.startSeconds.UpdateDuration(began)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	a.supervisor.StartAnswered(now, c, reply)
	a.scheduleFlush(now)
}

// checkTimeouts has the supervisor act on what has run out of time.
func (a *Agent) checkTimeouts() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	a.supervisor.Tick(now)
	a.scheduleFlush(now)
}

// stopRun calls the target to stop a run.
func (a *Agent) stopRun(c supervisor.StopCall) {
	reply := a.target.Stop(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	a.supervisor.StopAnswered(now, c, reply)
	a.scheduleFlush(now)
}
