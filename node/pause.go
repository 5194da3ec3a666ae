package node

import (
	"context"
	"sync"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
)

// A process that was suspended by its host or starved of CPU time has not read what its peers
// sent in the meantime.
const (
	// pauseThreshold is the time between two ticks above which the process counts as paused.
	pauseThreshold = peer.SilenceTimeout / 2
	// catchUpTime is how long after a pause the silence of peers is ignored, while the frames
	// that arrived during the pause are read.
	catchUpTime = 100 * time.Millisecond
)

// pauseDetector detects pauses of the process from the time between ticks. The first tick counts as
// the end of a pause.
type pauseDetector struct {
	lastAt    time.Duration // time of the last tick
	resumedAt time.Duration // time of the first tick after the latest pause
}

// tick records a tick and reports whether silent peers may be disconnected now.
func (p *pauseDetector) tick(now time.Duration) bool {
	if now-p.lastAt > pauseThreshold {
		p.resumedAt = now
	}
	p.lastAt = now
	return now-p.resumedAt >= catchUpTime
}

// runTicks calls do at each interval with the lock held, until ctx is done. The argument checkSilence
// of do reports whether silent peers may be disconnected.
func runTicks(
	ctx context.Context, interval time.Duration, clock bootClock, p *pauseDetector, lock sync.Locker,
	do func(now time.Duration, checkSilence bool),
) {
	for sleep(ctx, interval) {
		lock.Lock()
		now := clock.now()
		do(now, p.tick(now))
		lock.Unlock()
	}
}
