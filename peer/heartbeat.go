package peer

import "time"

// Heartbeat intervals and silence timeouts. A connection is in use while its entry watches the
// target or has runs there, and always at LevelBase.
const (
	// HeartbeatInterval is the maximum time between frames on a connection in use, in both
	// directions. These frames extend leases.
	HeartbeatInterval = 110 * time.Millisecond
	// IdleHeartbeatInterval is the same for a connection that is not in use.
	IdleHeartbeatInterval = 2 * time.Second
	// SilenceTimeout is how long the peer of a connection in use may be silent before the
	// connection is closed. It is longer than the entry's lease.
	SilenceTimeout = 800 * time.Millisecond
	// IdleSilenceTimeout is the same for a connection that is not in use, which has no runs. It
	// tolerates one missing heartbeat. From the beginning of its use SilenceTimeout applies.
	IdleSilenceTimeout = 2*IdleHeartbeatInterval + SilenceTimeout
)

// ClearTime is how long after an entry's last frame a run that the entry started may still execute.
// It is the sum of supervisor.OwnerLease (500 ms), supervisor.TargetLease on a clock that is 2% slow
// (816 ms), the stop (50 ms) and late timers (84 ms). See docs/design/platform.md.
const ClearTime = 1450 * time.Millisecond

// Interval returns the maximum time between frames on a connection.
func Interval(used bool) time.Duration {
	if used {
		return HeartbeatInterval
	}
	return IdleHeartbeatInterval
}

// SilentTooLong reports whether the silence of the peer has lasted so long at now that the connection
// must be closed. receivedAt is when the last frame was received from the peer. usedSince is when
// the use of the connection began; it is ignored if used is false.
func SilentTooLong(now, receivedAt time.Duration, used bool, usedSince time.Duration) bool {
	if !used {
		return now-receivedAt > IdleSilenceTimeout
	}
	return now-max(receivedAt, usedSince) > SilenceTimeout
}
