package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
)

const (
	// maxJobs is the maximum number of jobs per entry. Jobs beyond it are refused before anything
	// is allocated for them, so that a flood can't use up the memory of the process.
	maxJobs = 3000
	// maxLinkDelay is the maximum time that the host's link may need for the jobs waiting for
	// the same service. Longer queues delay orders, stops and heartbeats until runs are lost.
	maxLinkDelay = 40 * time.Millisecond
)

// admit returns code.OK if an entry that owns the given number of jobs accepts another one while
// the link needs linkDelay for the jobs that wait, and otherwise the cause of the refusal.
func admit(owned int, linkDelay time.Duration) code.Code {
	switch {
	case owned >= maxJobs:
		return code.QueueFull
	case linkDelay > maxLinkDelay:
		return code.JobLinkFull
	}
	return code.OK
}
