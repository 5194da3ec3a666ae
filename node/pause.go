package node

import (
	"context"
	"sync"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
)

// A process that was stopped for a while, by its host or for want of processor time, has
// not read what its peers sent meanwhile.
const (
	// pauseTime is how late a tick must be for the process to count as stopped. Not
	// measured; it is half of what a peer may be silent.
	pauseTime = peer.Silence / 2
	// catchUpTime is how long afterwards no peer is taken to be silent: what has come is
	// read within milliseconds. Not measured.
	catchUpTime = 100 * time.Millisecond
)

// pause tells from the ticks of a process whether it was stopped.
type pause struct {
	lastAt    time.Duration // when the last tick was
	resumedAt time.Duration // when the last one that was late came
}

// tick records a tick. It reports whether the silence of peers may be judged by now.
func (p *pause) tick(now time.Duration) bool {
	if now-p.lastAt > pauseTime {
		p.resumedAt = now
	}
	p.lastAt = now
	return now-p.resumedAt >= catchUpTime
}

// ticks calls do at each interval with the lock held, until the context ends. judge says
// that the silence of peers may be judged.
func ticks(
	ctx context.Context, interval time.Duration, clock steadyClock, p *pause, lock sync.Locker, do func(now time.Duration, judge bool),
) {
	for sleep(ctx, interval) {
		lock.Lock()
		now := clock.now()
		do(now, p.tick(now))
		lock.Unlock()
	}
}
