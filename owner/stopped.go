package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
)

// A process may be stopped for seconds: frozen, or suspended with its host. Meanwhile the agents
// stop its runs and close its connections, and its homes grant its jobs to other entries. It
// has read nothing of it when it goes on.

const (
	// stoppedTime is how late a tick must be for the process to count as stopped: by then
	// agents that it uses have given it up.
	minStopTime = peer.Silence
	// rejoinTime is for how long afterwards the process counts as isolated: its connections
	// are made anew meanwhile. Made one by one as their silence shows, each entry would
	// choose homes among those that are back. Not measured.
	postStopIsolationTime = 300 * time.Millisecond
)

// checkStopped has the process begin anew, before anything else is decided, where it was
// stopped: its connections are given up, and every job is claimed again. Orders that go out
// between the stop and this tick carry no fresh lease (node.Entry.send), so that agents reject
// them. Of 3,200 histories with copies of submissions and frozen entries 25 ran a task twice at
// once without it, and 1 of these 25 with it.
func (o *Owner) checkStopped(now time.Duration) {
	if o.lastTickAt == 0 || now-o.lastTickAt < minStopTime || o.TrustStopped {
		return
	}
	o.logStopped(now)
	o.stoppedUntil = now
	o.isolatedUntil = now + postStopIsolationTime
	o.isolated = true
	for _, j := range o.sortedJobs() {
		j.homes = nil
		j.claimedAt = 0
	}
}

// outlived reports whether the connection to a is from before the process was stopped.
func (o *Owner) predatesStop(a *agent) bool {
	return a.connectedAt < o.stoppedUntil
}

// Rejoining reports whether the process was stopped a moment ago: connections from before are
// given up though nothing was read from them since.
func (o *Owner) Rejoining(now time.Duration) bool {
	return o.stoppedUntil > 0 && now-o.stoppedUntil < postStopIsolationTime
}
