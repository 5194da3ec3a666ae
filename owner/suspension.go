package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
)

// A process may be suspended for seconds, alone or with its host. Meanwhile agents stop its
// runs and close its connections, and its homes grant its jobs to other entries. When the
// process resumes, its state still shows the runs, connections and claims from before.

const (
	// minSuspensionTime is the minimum time between two ticks after which the process counts as
	// suspended: by then the agents in use have closed its connections.
	minSuspensionTime = peer.SilenceTimeout
	// resumeIsolationTime is how long the process counts as isolated after it resumes, while
	// it reconnects to all agents. Homes chosen before that could differ from those of other
	// entries.
	resumeIsolationTime = 300 * time.Millisecond
)

// checkSuspension detects a suspension, before any other decision of the tick. It removes the
// homes of all jobs, so that they are claimed again, and ShouldClose then reports all
// connections made before. Orders sent after the process resumed and before this tick carry no
// renewed lease (node.Entry.send), so agents reject them. Without it 25 of 3,200 histories with copies
// of submissions and frozen entries ran a task twice at once.
func (o *Owner) checkSuspension(now time.Duration) {
	if o.lastTickAt == 0 || now-o.lastTickAt < minSuspensionTime || o.SkipSuspendRecovery {
		return
	}
	o.logSuspended(now)
	o.resumedAt = now
	o.isolatedUntil = now + resumeIsolationTime
	o.isolated = true
	for _, j := range o.sortedJobs() {
		j.homes, j.firstHomes, j.homeLost = nil, nil, false
		j.claimedAt = 0
	}
}

// predatesSuspension reports whether the connection to a was made before the process last
// resumed.
func (o *Owner) predatesSuspension(a *agent) bool {
	return a.connectedAt < o.resumedAt
}

// RecoveringFromSuspension reports whether the process resumed less than resumeIsolationTime ago.
// Connections from before the suspension are then closed even if nothing was read from them since.
func (o *Owner) RecoveringFromSuspension(now time.Duration) bool {
	return o.resumedAt > 0 && now-o.resumedAt < resumeIsolationTime
}
