package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
)

const (
	// maxJobs is the maximum number of jobs per entry. Jobs beyond it are refused before
	// anything is allocated for them, which bounds the memory of the process.
	maxJobs = 3000
	// maxLinkDelay is the maximum time that the orders of a new job may wait for the host's
	// link. Longer queues delay orders, stops and heartbeats until runs are lost.
	maxLinkDelay = 40 * time.Millisecond
)

// admit reports whether an entry that owns the given number of jobs accepts another one whose
// orders would wait linkDelay for the host's link. It returns code.OK or the cause of the
// refusal.
func admit(owned int, linkDelay time.Duration) code.Code {
	switch {
	case owned >= maxJobs:
		return code.QueueFull
	case linkDelay > maxLinkDelay:
		return code.JobLinkFull
	}
	return code.OK
}
