package peer

import "time"

// minClockRate is how slowly this process's clock may run against its peer's, and the
// other way round. The platform's pages allow 2% for targets; nothing is said of other
// hosts.
const minClockRate = 0.98

// Echo keeps the latest stamp of a peer, and tells what the peer's clock reads at the
// least at a later moment. The lease that the peer grants counts from that reading: a
// connection that is seldom used has a fresh one without a frame from the peer.
type Echo struct {
	stamp time.Duration // on the peer's clock
	at    time.Duration // when it came, on this process's clock
}

// Observe takes the stamp of a frame that has come at now.
func (e *Echo) Observe(now, stamp time.Duration) {
	if stamp > e.stamp {
		e.stamp, e.at = stamp, now
	}
}

// At returns a lower bound of the peer's clock at now; zero before the first stamp.
func (e *Echo) At(now time.Duration) time.Duration {
	if e.stamp == 0 {
		return 0
	}
	return e.stamp + time.Duration(minClockRate*float64(max(0, now-e.at)))
}
