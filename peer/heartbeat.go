package peer

import "time"

// Heartbeat intervals and silence timeouts. A connection is in use while its entry watches the
// target or has runs there, and always at LevelBase.
const (
	// HeartbeatInterval is the maximum time between frames on a connection in use, in both
	// directions. Leases are extended by these frames.
	HeartbeatInterval = 110 * time.Millisecond
	// IdleHeartbeatInterval is the same for a connection that is not in use.
	IdleHeartbeatInterval = 2 * time.Second
	// Silence is how long the peer of a connection in use may be silent before the connection
	// is closed. It is longer than the entry's lease.
	Silence = 800 * time.Millisecond
	// IdleSilence is the same for a connection that is not in use. It tolerates the loss of two
	// heartbeats: nothing runs on such a connection, and an entry that starts to use it waits
	// only Silence.
	IdleSilence = 2*IdleHeartbeatInterval + Silence
)

// ClearTime is how long after an entry's last frame a run that it started may still execute:
// the entry's lease at the agent (500 ms), the target's lease on a clock that is 2% slow (816
// ms), the stop (50 ms) and late timers (84 ms). See docs/design/platform.md.
const ClearTime = 1450 * time.Millisecond

// Interval returns the maximum time between frames on a connection.
func Interval(used bool) time.Duration {
	if used {
		return HeartbeatInterval
	}
	return IdleHeartbeatInterval
}

// SilentTooLong reports whether a connection must be closed at now. heardAt is when the last
// frame was received from the peer. usedSince is when the use of the connection began, if it is
// in use.
func SilentTooLong(now, heardAt time.Duration, used bool, usedSince time.Duration) bool {
	if !used {
		return now-heardAt > IdleSilence
	}
	return now-max(heardAt, usedSince) > Silence
}
