package owner

import (
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// A spec can be long and the host's link slow, while many agents run tasks of the same job. The
// spec is sent to each agent once. If sending it again would take longer than a transfer
// between two agents, the order carries the address of an agent that has it.
const (
	// relayTime is the time in which an agent fetches a spec from another one: a connection and
	// a round trip between data halls. It is also the delay of the link's send queue from which
	// the link counts as busy (linkBusy).
	relayTime = 3 * time.Millisecond
	// orderBytes is the approximate size of an order without its spec, frameBytes that of any
	// other part of a frame including packet headers.
	orderBytes = 140
	frameBytes = 120
)

// uplink estimates the send queue of the host's link.
type uplink struct {
	rate   float64       // bytes per second; zero if unknown, and then taken as unlimited
	freeAt time.Duration // when everything sent so far has left
	// resubmissions spreads the resubmissions of callers refused for lack of bandwidth.
	resubmissions resubmissionSchedule
}

// add records that bytes were sent.
func (u *uplink) add(now time.Duration, bytes int) {
	if u.rate > 0 {
		u.freeAt = max(now, u.freeAt) + u.transmitTime(bytes)
	}
}

// delay returns the time until the link has sent the given number of further bytes.
func (u *uplink) delay(now time.Duration, bytes int) time.Duration {
	if u.rate <= 0 {
		return 0
	}
	return max(0, u.freeAt-now) + u.transmitTime(bytes)
}

// linkBusy reports whether the link's send queue takes at least relayTime, so that optional
// traffic should be omitted.
func (o *Owner) linkBusy(now time.Duration) bool {
	return o.link.delay(now, 0) >= relayTime
}

// transmitTime returns how long the link takes to send the given number of bytes.
func (u *uplink) transmitTime(bytes int) time.Duration {
	if u.rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / u.rate * float64(time.Second))
}

// linkDelay returns the time until the link has sent its queue and what the jobs that wait for
// the service of a new job still need (jobBytes). The new job itself does not count.
func (o *Owner) linkDelay(now time.Duration, desc task.Job) time.Duration {
	if o.link.rate <= 0 {
		return 0
	}
	bytes := 0
	for _, j := range o.queue(desc.Service).waiting {
		specBytes := len(j.desc.Spec)
		if j.started() {
			specBytes = 0 // already sent
		}
		bytes += jobBytes(j.startableTasks(), specBytes)
	}
	return o.link.delay(now, bytes)
}

// jobBytes returns the approximate number of bytes sent for a job: its claim and settlement,
// its spec, and an order and a room request for each task.
func jobBytes(tasks, specBytes int) int {
	return specBytes + 2*frameBytes + tasks*(orderBytes+2*frameBytes)
}

// retryAfter returns how long the caller of a job that was refused for lack of bandwidth should
// wait before submitting it again.
func (u *uplink) retryAfter(now time.Duration, desc task.Job) time.Duration {
	jobSize := float64(jobBytes(desc.Tasks(), len(desc.Spec)))
	return u.resubmissions.next(now, jobSize, resubmissionShare*u.rate, desc.Priority == 0)
}

// SetLink sets the rate of the host's link in megabits per second; zero means unknown.
func (o *Owner) SetLink(megabits float64) {
	const bytesPerMegabit = 1e6 / 8
	o.link.rate = megabits * bytesPerMegabit
}

// omitSpec removes the spec from an order if the agent has it, or can fetch it from another
// agent faster than over this host's link.
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
	a.specs.Add(order.Task.Job, "") // the agent stores the text
	j.specAgent = a.name
}

// specSource returns the address of an agent from which a should fetch the job's spec, or an
// empty string if the spec should be sent to a.
func (o *Owner) specSource(now time.Duration, j *job, a *agent) string {
	from := o.agents[j.specAgent]
	if from == nil || !from.connected || from.level < peer.LevelRelay || a.level < peer.LevelRelay {
		return ""
	}
	if _, kept := from.specs.Find(j.desc.ID); !kept || o.link.delay(now, len(j.desc.Spec)) < relayTime {
		return ""
	}
	return o.Addr(from.name)
}
