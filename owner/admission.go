package owner

import "github.com/beaconpoint/beaconpoint/code"

// maxJobs caps the jobs one entry may hold. Beyond it, new jobs are refused before
// anything is allocated for them, so that a flood can't exhaust the process's
// memory. Not measured.
const maxJobs = 3000

// admit decides whether an entry with the given number of jobs takes one more. It
// returns code.OK or the reason for the refusal.
func admit(owned int) code.Code {
	if owned >= maxJobs {
		return code.QueueFull
	}
	return code.OK
}
