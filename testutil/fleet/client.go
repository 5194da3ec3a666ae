package fleet

import (
	"fmt"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/owner"
	"github.com/beaconpoint/beaconpoint/task"
)

// attempts is how many failed runs of a task fail its job.
const attempts = 3

// faultTime is how long after its beginning a fault may be felt.
const faultTime = 5000 * time.Millisecond

// callerLatency is how long what a caller sends takes to its entry.
const callerLatency = 3 * time.Millisecond

// client is the caller of one job. Where its connection breaks or no answer comes in
// time it submits the job again, through any entry.
type client struct {
	w       *World
	spec    task.Job
	calm    bool // submitted after the faults
	tries   int
	refused int // tries that were refused
	// strays are copies of its submission that were taken by another entry, refusedStrays
	// those that were refused there.
	strays, refusedStrays int
	returns               int  // tries after a refusal
	sends                 int  // submissions
	away                  bool // refused and not back yet, so that it waits for no answer
	answered              bool
	crashing              bool // its tasks crash each target that starts them
	// crashed counts the targets that crashed under a task, afterThree its starts after three.
	crashed, afterThree map[task.ID]int
	started             bool // a run of it has begun on a target
	done                map[task.ID]bool
	failed              map[task.ID]int // failed runs
	entry               *entryProcess
	incarnation         int
	waiter              *uint64       // of the last submission; zero before the entry has read it
	leftAt              time.Duration // when it left for good; zero: it did not
	again               bool          // a task of it began that had ended well
	// Of a workload's job: its class, how long a task and each of its tasks
	// really take on a target of speed 1, what it is worth, and when it was
	// first sent.
	class   int
	work    time.Duration
	lengths []time.Duration
	worth   float64
	sentAt  time.Duration
	earned  float64 // share of the worth
}

// arrivals has jobs come until the length is over.
func (w *World) arrivals() {
	end := w.now() + w.cfg.Length
	var next func()
	next = func() {
		if w.now() > end {
			return
		}
		w.submit(w.now() > end-w.cfg.Calm+faultTime)
		w.after(w.upTo(2*w.cfg.Interval), next)
	}
	w.after(300*time.Millisecond, next)
}

// submit has a caller submit a random job; calm says that it comes after the faults.
func (w *World) submit(calm bool) {
	w.Counts.Jobs++
	id := fmt.Sprintf("%016x", w.Counts.Jobs)
	count := 1 + w.rng.IntN(4)
	guess := w.cfg.Guess
	if w.rng.IntN(3) == 0 {
		guess = w.cfg.LongGuess
	}
	guess = guess/2 + w.upTo(guess)
	c := &client{w: w, calm: calm, done: make(map[task.ID]bool), failed: make(map[task.ID]int)}
	c.spec = task.Job{
		ID: id, Queue: "q", Service: service, Spec: w.specOf(id), Attempts: attempts,
		ObjectiveFactor: 1.6, ObjectiveSlack: 60 * time.Millisecond, CallerTimeout: w.cfg.Patience, Priority: w.rng.IntN(3),
		Steps: []task.Step{{Count: count, Needs: task.Needs{CPU: 1000 + w.rng.IntN(1000), MemoryMB: 64}, Estimate: guess}},
	}
	if w.rng.IntN(4) == 0 {
		c.spec.Steps = append(c.spec.Steps, task.Step{Count: 1, Needs: task.Needs{CPU: 500}, Estimate: guess, DependsOn: []int{0}})
	}
	w.alwaysFails[id] = w.rng.IntN(30) == 0 && !calm
	w.jobs[id] = c
	if calm {
		w.Counts.Calm++
	}
	c.send()
	if w.cfg.Leaving > 0 && w.rng.Float64() < w.cfg.Leaving {
		w.after(w.upTo(guess), c.leaveForGood)
	}
}

// leaveForGood has the caller leave and not come back.
func (c *client) leaveForGood() {
	if c.answered || c.entry == nil {
		return
	}
	c.answered = true
	c.leftAt = c.w.now()
	if c.calm {
		c.w.Counts.Calm--
	}
	c.w.after(callerLatency, c.leave) // what it has sent arrives first
}

// send submits the job at an entry that is up.
func (c *client) send() {
	w := c.w
	if c.tries >= 4+c.returns || c.answered {
		return
	}
	c.tries++
	c.sends++
	c.away = false
	e := w.entries[w.rng.IntN(len(w.entries))]
	if e.dead {
		c.resend()
		return
	}
	c.entry, c.incarnation = e, e.incarnation
	tries, waiter := c.tries, new(uint64)
	c.waiter = waiter
	w.after(callerLatency, func() {
		e.do(c.incarnation, func() {
			if c.tries != tries {
				return // the client has gone on meanwhile
			}
			*waiter = e.owner.Submit(e.clock(), c.spec, func(a owner.Answer) {
				if c.calm && a.Kind == owner.Refused && !w.roomFor(c.spec) {
					w.Counts.CalmFull++
				}
				w.after(callerLatency, func() { c.answer(tries, a) })
			})
			e.clients[c.spec.ID] = c
		})
	})
	if w.cfg.Strays > 0 {
		c.stray()
	}
	sends := c.sends
	w.after(c.spec.CallerTimeout, func() {
		if c.tries == tries && c.sends == sends && !c.answered && !c.away {
			c.leave()
			c.resend()
		}
	})
}

// stray lets a copy of the submission reach another entry, now and then: within 10 ms, as where
// the caller found its connection broken and tried elsewhere at once, or seconds later. Nobody
// waits for its answer, which that entry notices within 40 ms.
func (c *client) stray() {
	const (
		besideTime = 10 * time.Millisecond
		lateTime   = 4 * time.Second
		noticed    = 40 * time.Millisecond
	)
	w := c.w
	if w.rng.Float64() >= w.cfg.Strays {
		return
	}
	within := besideTime
	if w.rng.IntN(2) == 0 {
		within = lateTime
	}
	e := w.entries[w.rng.IntN(len(w.entries))]
	after, stays := w.upTo(within), w.upTo(noticed)
	w.after(callerLatency+after, func() {
		if e.dead || e == c.entry {
			return
		}
		w.Counts.Strays++
		c.strays++
		incarnation := e.incarnation
		e.do(incarnation, func() {
			waiter := e.owner.Submit(e.clock(), c.spec, func(a owner.Answer) {
				if a.Kind == owner.Refused {
					c.refusedStrays++
				}
			})
			w.after(stays, func() { e.do(incarnation, func() { e.owner.Cancel(e.clock(), c.spec.ID, waiter) }) })
		})
	})
}

// leave breaks the connection.
func (c *client) leave() {
	e, incarnation, id, waiter := c.entry, c.incarnation, c.spec.ID, c.waiter
	delete(e.clients, id)
	// An entry that is frozen reads the submission first.
	e.do(incarnation, func() { e.owner.Cancel(e.clock(), id, *waiter) })
}

// resend sends the job again in a while.
func (c *client) resend() {
	c.w.Counts.Resent++
	tries := c.tries
	c.tries++ // no answer of the try before counts any more
	c.w.after(resendAfter, func() {
		if c.tries == tries+1 {
			c.tries = tries
			c.send()
		}
	})
}

// answer handles the answer to a try, if that try still counts.
func (c *client) answer(tries int, a owner.Answer) {
	if c.tries != tries || c.answered {
		return
	}
	c.answered = true
	w := c.w
	switch a.Kind {
	case owner.Completed:
		w.Counts.Completed++
		w.Returned.completed(c, w.now()-c.sentAt)
		c.earn()
		if c.calm {
			w.Counts.CalmCompleted++
		}
		for k, s := range c.spec.Steps {
			for n := range s.Count {
				if id := (task.ID{Job: c.spec.ID, Step: k, Index: n}); !c.done[id] {
					w.breaks(TrueCompletion, "completed, but %s has not ended so", id)
				}
			}
		}
	case owner.Failed:
		w.Counts.Failed++
		if a.Why == code.JobCrashes {
			if !c.crashing {
				w.Crashes.InnocentFailed++
			}
			return
		}
		c.checkFailed()
	case owner.GivenUp:
		w.Counts.GivenUp++
		c.unserved()
	case owner.Refused:
		w.Counts.Refused++
		c.refused++
		c.unserved()
		c.comeBack(a.Retry)
	}
}

// Returns is what became of the callers of a workload that come back when refused.
type Returns struct {
	Refused, Gone int // answers, and callers that lost patience
	// Served is how many jobs were completed, Taken how long their callers waited for
	// it in all, since they sent them first.
	Served int
	Taken  time.Duration
}

// completed records a completed job.
func (r *Returns) completed(c *client, took time.Duration) {
	if c.work > 0 {
		r.Served++
		r.Taken += took
	}
}

// comeBack has a refused caller submit its job again after the time that it was given,
// unless it has lost patience by then.
func (c *client) comeBack(after time.Duration) {
	w := c.w
	if w.cfg.ComeBack == 0 || c.work == 0 {
		return
	}
	w.Returned.Refused++
	if w.now()+after-c.sentAt > w.cfg.ComeBack {
		w.Returned.Gone++
		return
	}
	c.answered = false
	c.away = true
	c.returns++
	tries := c.tries
	w.after(after, func() {
		if c.tries == tries {
			c.send()
		}
	})
}

// checkFailed checks that a task of a failed job has failed as often as it may.
func (c *client) checkFailed() {
	for _, n := range c.failed {
		if n >= attempts {
			return
		}
	}
	c.w.breaks(FailedWithCause, "%s is shown as failed without cause", c.spec.ID)
}

// checkOrder checks that the steps a task depends on were done when it began.
func (c *client) checkOrder(id task.ID) {
	for _, step := range c.spec.Steps[id.Step].DependsOn {
		for n := range c.spec.Steps[step].Count {
			if earlier := (task.ID{Job: id.Job, Step: step, Index: n}); !c.done[earlier] {
				c.w.breaks(StepsInOrder, "%s began before %s had ended", id, earlier)
			}
		}
	}
}
