package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// Specs: a job's spec may be long and this host's link slow, while many agents run the
// job's tasks. It goes to an agent once. Where sending it again would take longer than an
// agent takes to get it from another one, it goes to one agent, and the others are told
// where it is.
const (
	// relayTime is how long an agent takes to get a spec from another one: a connection
	// and a round trip between data halls. Not measured.
	relayTime = 3 * time.Millisecond
	// orderBytes is about how many bytes an order takes without its spec, frameBytes any
	// other part of a frame with the headers of its packet (peer/testdata/frames.golden).
	orderBytes = 140
	frameBytes = 120
)

// uplink is an estimate of what this host's link has queued. It is used under the lock of
// its owner.
type uplink struct {
	rate   float64       // in bytes a second; zero: not known, and taken to be fast
	freeAt time.Duration // when all that was sent has left
	// returning says when callers that were refused have been asked to come back.
	retries retrySchedule
}

// add counts bytes that are sent.
func (u *uplink) add(now time.Duration, bytes int) {
	if u.rate > 0 {
		u.freeAt = max(now, u.freeAt) + u.transmitTime(bytes)
	}
}

// delay returns how long the link takes until the given number of further bytes has left.
func (u *uplink) delay(now time.Duration, bytes int) time.Duration {
	if u.rate <= 0 {
		return 0
	}
	return max(0, u.freeAt-now) + u.transmitTime(bytes)
}

// linkBusy reports whether this host's link has so much queued that what may be left out is.
func (o *Owner) linkBusy(now time.Duration) bool {
	return o.link.delay(now, 0) >= relayTime
}

// takes returns how long the link takes for the given number of bytes.
func (u *uplink) transmitTime(bytes int) time.Duration {
	if u.rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / u.rate * float64(time.Second))
}

// linkDelay returns how long the link takes until the jobs that wait, and a new one, have
// been ordered.
func (o *Owner) linkDelay(now time.Duration, spec task.Job) time.Duration {
	if o.link.rate <= 0 {
		return 0
	}
	bytes := 0
	for _, j := range o.queue(spec.Service).waiting {
		spec := len(j.spec.Spec)
		if j.started() {
			spec = 0 // it is there
		}
		bytes += jobBytes(j.waitingTasks(), spec)
	}
	return o.link.delay(now, bytes)
}

// jobBytes returns about how many bytes go out for a job with its claim and settlement, a
// spec, and tasks that are started, with a request for room each. Without the claim a scene of
// links of half the need earned 0.685 in place of 0.688, the worst class 0.613 in place of 0.634.
func jobBytes(tasks, spec int) int {
	return spec + 2*frameBytes + tasks*(orderBytes+2*frameBytes)
}

// comeBackAfter returns when the caller of a job should submit it again that was refused
// for want of bandwidth: callers come back one after the other, as comeback.go has it.
func (u *uplink) retryAfter(now time.Duration, spec task.Job) time.Duration {
	jobSize := float64(jobBytes(spec.Tasks(), len(spec.Spec)))
	return u.retries.next(now, jobSize, retryShare*u.rate, spec.Priority == 0)
}

// SetLink tells the rate of this host's link, in megabits a second; zero means not known.
func (o *Owner) SetLink(megabits float64) {
	const bytesPerMegabit = 1e6 / 8
	o.link.rate = megabits * bytesPerMegabit
}

// leaveOutSpec leaves the job's spec out of an order where the agent remembers it, or may
// get it from another agent sooner than through this host's link.
func (o *Owner) omitSpec(now time.Duration, j *job, order *task.Order, a *agent) {
	defer func() { o.link.add(now, orderBytes+len(order.Spec)) }()
	if a.level < peer.LevelWatch {
		return
	}
	if _, kept := a.specs.Find(order.Task.Job); kept {
		order.Spec = ""
		order.SpecKept = true
		return
	}
	if addr := o.specSource(now, j, a); addr != "" {
		order.Spec = ""
		order.SpecAt = addr
		o.stats.Relayed++
		return
	}
	a.specs.Add(order.Task.Job, "") // the agent keeps the text
	j.specAgent = a.name
}

// specAt returns the address of an agent from which a should get the job's spec, empty
// where it should be sent to a.
func (o *Owner) specSource(now time.Duration, j *job, a *agent) string {
	from := o.agents[j.specAgent]
	if from == nil || !from.connected || from.level < peer.LevelRelay || a.level < peer.LevelRelay {
		return ""
	}
	if _, kept := from.specs.Find(j.spec.ID); !kept || o.link.delay(now, len(j.spec.Spec)) < relayTime {
		return ""
	}
	return o.Addr(from.name)
}
