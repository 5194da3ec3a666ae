package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
)

const (
	// maxJobs caps the jobs one entry may hold. Beyond it, new jobs are refused before
	// anything is allocated for them, so that a flood can't exhaust the process's
	// memory. Not measured.
	maxJobs = 3000
	// maxLinkDelay is how long the orders of a new job may have to wait for the host's
	// link. Behind more, orders, stops and heartbeats come so late that runs are lost.
	// Scenes with links as wide as needed, half and a quarter of it, earned: 20 ms 0.932
	// 0.667 0.340, 30 ms 0.973 0.754 0.315, 40 ms 0.987 0.739 0.272; without 0.994 0.166
	// 0.031.
	maxLinkDelay = 40 * time.Millisecond
)

// admit decides whether an entry with the given number of jobs takes one more, whose orders
// wait that long for the host's link. It returns code.OK or the reason for the refusal.
func admit(owned int, linkDelay time.Duration) code.Code {
	switch {
	case owned >= maxJobs:
		return code.QueueFull
	case linkDelay > maxLinkDelay:
		return code.JobLinkFull
	}
	return code.OK
}
