package fleet

import (
	"fmt"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/owner"
	"github.com/beaconpoint/beaconpoint/task"
)

// attempts is the number of failed runs of a task after which its job fails.
const attempts = 3

// faultEffectTime is how long a fault may affect jobs, counted from the start of the fault.
const faultEffectTime = 5000 * time.Millisecond

// callerLatency is the one-way delay between a caller and its entry.
const callerLatency = 3 * time.Millisecond

// caller is the caller of one job. The job is submitted again, to a random entry, if the
// connection breaks or no answer arrives in time.
type caller struct {
	w            *World
	spec         task.Job
	afterFaults  bool // submitted after the faults
	tries        int  // number of the current try, one more while a resend is pending
	refusedTries int
	// duplicates counts copies of the submission sent to other entries, refusedDuplicates the
	// refused ones.
	duplicates, refusedDuplicates int
	retries                       int // after a refusal
	submissions                   int
	waitingToRetry                bool // between a refusal and the retry
	answered                      bool // also set when the caller abandons the job
	crashesTargets                bool // its tasks crash each target that starts them
	// targetCrashes counts the target crashes caused by each task, startsAfterLimit the starts
	// of a task after crashLimit crashes.
	targetCrashes, startsAfterLimit map[task.ID]int
	started                         bool // a run has started on a target
	done                            map[task.ID]bool
	failedRuns                      map[task.ID]int // by task
	entry                           *entryProcess
	incarnation                     int
	waiter                          *uint64       // of the last submission; zero until the entry has processed it
	abandonedAt                     time.Duration // zero if not abandoned
	startedAgain                    bool          // a task started again after it had completed
	// Fields of workload jobs: the class, the duration of a typical task and of each task on a
	// target of speed 1, the worth, and when the job was first sent.
	class           int
	typicalDuration time.Duration
	taskDurations   []time.Duration
	worth           float64
	sentAt          time.Duration
	earnedShare     float64
}

// scheduleJobs schedules the arrivals of random jobs for the configured length.
func (w *World) scheduleJobs() {
	end := w.now() + w.cfg.Length
	var next func()
	next = func() {
		if w.now() > end {
			return
		}
		w.submitRandomJob(w.now() > end-w.cfg.FaultFreeTail+faultEffectTime)
		w.after(w.randomUpTo(2*w.cfg.Interval), next)
	}
	w.after(300*time.Millisecond, next)
}

// submitRandomJob submits a random job. afterFaults says whether it arrives after the faults.
func (w *World) submitRandomJob(afterFaults bool) {
	w.Counts.Jobs++
	id := fmt.Sprintf("%016x", w.Counts.Jobs)
	count := 1 + w.rng.IntN(4)
	guess := w.cfg.Guess
	if w.rng.IntN(3) == 0 {
		guess = w.cfg.LongGuess
	}
	guess = guess/2 + w.randomUpTo(guess)
	c := &caller{w: w, afterFaults: afterFaults, done: make(map[task.ID]bool), failedRuns: make(map[task.ID]int)}
	c.spec = task.Job{
		ID: id, Queue: "q", Service: service, Spec: w.specOf(id), Attempts: attempts,
		ObjectiveFactor: 1.6, ObjectiveSlack: 60 * time.Millisecond,
		CallerTimeout: w.cfg.CallerTimeout, Priority: w.rng.IntN(3),
		Steps: []task.Step{{Count: count, Needs: task.Resources{CPU: 1000 + w.rng.IntN(1000), MemoryMB: 64},
			Estimate: guess}},
	}
	if w.rng.IntN(4) == 0 {
		c.spec.Steps = append(c.spec.Steps,
			task.Step{Count: 1, Needs: task.Resources{CPU: 500}, Estimate: guess, DependsOn: []int{0}})
	}
	w.alwaysFails[id] = w.rng.IntN(30) == 0 && !afterFaults
	w.jobs[id] = c
	if afterFaults {
		w.Counts.SubmittedAfterFaults++
	}
	c.send()
	if w.cfg.AbandonShare > 0 && w.rng.Float64() < w.cfg.AbandonShare {
		w.after(w.randomUpTo(guess), c.abandon)
	}
}

// abandon makes the caller disconnect without submitting the job again. Jobs whose caller has
// an answer are not abandoned.
func (c *caller) abandon() {
	if c.answered || c.entry == nil {
		return
	}
	c.answered = true
	c.abandonedAt = c.w.now()
	if c.afterFaults {
		c.w.Counts.SubmittedAfterFaults--
	}
	c.w.after(callerLatency, c.disconnect) // after the submission has arrived
}

// send submits the job to a random entry.
func (c *caller) send() {
	w := c.w
	if c.tries >= 4+c.retries || c.answered {
		return
	}
	c.tries++
	c.submissions++
	c.waitingToRetry = false
	e := w.entries[w.rng.IntN(len(w.entries))]
	if e.dead {
		c.resend()
		return
	}
	c.entry, c.incarnation = e, e.incarnation
	tries, waiter := c.tries, new(uint64)
	c.waiter = waiter
	w.after(callerLatency, func() {
		e.execute(c.incarnation, func() {
			if c.tries != tries {
				return // superseded by a later try
			}
			*waiter = e.owner.Submit(e.clock(), c.spec, func(a owner.Answer) {
				if c.afterFaults && a.Kind == owner.Refused && !w.hasRoomFor(c.spec) {
					w.Counts.RefusedFullAfterFaults++
				}
				w.after(callerLatency, func() { c.handleAnswer(tries, a) })
			})
			e.callers[c.spec.ID] = c
		})
	})
	if w.cfg.DuplicateShare > 0 {
		c.sendDuplicate()
	}
	submission := c.submissions
	w.after(c.spec.CallerTimeout, func() {
		if c.tries == tries && c.submissions == submission && !c.answered && !c.waitingToRetry {
			c.disconnect()
			c.resend()
		}
	})
}

// sendDuplicate sends, with probability Config.DuplicateShare, a copy of the submission to another
// entry: either within 10 ms, as by a caller whose connection broke, or up to 4 s later. The
// copy is cancelled within 40 ms.
func (c *caller) sendDuplicate() {
	const (
		maxImmediateDelay = 10 * time.Millisecond
		maxLateDelay      = 4 * time.Second
		maxCancelDelay    = 40 * time.Millisecond
	)
	w := c.w
	if w.rng.Float64() >= w.cfg.DuplicateShare {
		return
	}
	maxDelay := maxImmediateDelay
	if w.rng.IntN(2) == 0 {
		maxDelay = maxLateDelay
	}
	e := w.entries[w.rng.IntN(len(w.entries))]
	delay, cancelDelay := w.randomUpTo(maxDelay), w.randomUpTo(maxCancelDelay)
	w.after(callerLatency+delay, func() {
		if e.dead || e == c.entry {
			return
		}
		w.Counts.Duplicates++
		c.duplicates++
		incarnation := e.incarnation
		e.execute(incarnation, func() {
			waiter := e.owner.Submit(e.clock(), c.spec, func(a owner.Answer) {
				if a.Kind == owner.Refused {
					c.refusedDuplicates++
				}
			})
			w.after(cancelDelay,
				func() { e.execute(incarnation, func() { e.owner.RemoveCaller(e.clock(), c.spec.ID, waiter) }) })
		})
	})
}

// disconnect breaks the connection to the entry.
func (c *caller) disconnect() {
	e, incarnation, id, waiter := c.entry, c.incarnation, c.spec.ID, c.waiter
	delete(e.callers, id)
	// A frozen entry processes the submission first.
	e.execute(incarnation, func() { e.owner.RemoveCaller(e.clock(), id, *waiter) })
}

// resend submits the job again after resendDelay.
func (c *caller) resend() {
	c.w.Counts.Resent++
	tries := c.tries
	c.tries++ // so that answers to the previous try are ignored
	c.w.after(resendDelay, func() {
		if c.tries == tries+1 {
			c.tries = tries
			c.send()
		}
	})
}

// handleAnswer handles the answer to a try. Answers to earlier tries, and those after an answer,
// are ignored.
func (c *caller) handleAnswer(try int, a owner.Answer) {
	if c.tries != try || c.answered {
		return
	}
	c.answered = true
	w := c.w
	switch a.Kind {
	case owner.Completed:
		w.Counts.Completed++
		w.Retries.recordCompleted(c, w.now()-c.sentAt)
		c.recordEarnings()
		if c.afterFaults {
			w.Counts.CompletedAfterFaults++
		}
		for k, s := range c.spec.Steps {
			for n := range s.Count {
				if id := (task.ID{Job: c.spec.ID, Step: k, Index: n}); !c.done[id] {
					w.recordViolation(TrueCompletion, "job answered as completed, but task %s has not completed", id)
				}
			}
		}
	case owner.Failed:
		w.Counts.Failed++
		if a.Why == code.JobCrashes {
			if !c.crashesTargets {
				w.Crashes.InnocentFailed++
			}
			return
		}
		c.checkFailureCause()
	case owner.GivenUp:
		w.Counts.GivenUp++
		c.recordUnserved()
	case owner.Refused:
		w.Counts.Refused++
		c.refusedTries++
		c.recordUnserved()
		c.retryAfterRefusal(a.Retry)
	}
}

// RetryStats holds the results of callers that retry refused jobs.
type RetryStats struct {
	Refused, Gone int // refusals, and callers that gave up
	// Served is the number of completed jobs, Taken the sum of the times from their first
	// submissions to their completions.
	Served int
	Taken  time.Duration
}

// recordCompleted records the completion of a workload job.
func (r *RetryStats) recordCompleted(c *caller, took time.Duration) {
	if c.typicalDuration > 0 {
		r.Served++
		r.Taken += took
	}
}

// retryAfterRefusal submits a refused job again after the delay given in the refusal, unless
// the retry would be later than Config.RetryFor after the first submission.
func (c *caller) retryAfterRefusal(delay time.Duration) {
	w := c.w
	if w.cfg.RetryFor == 0 || c.typicalDuration == 0 {
		return
	}
	w.Retries.Refused++
	if w.now()+delay-c.sentAt > w.cfg.RetryFor {
		w.Retries.Gone++
		return
	}
	c.answered = false
	c.waitingToRetry = true
	c.retries++
	tries := c.tries
	w.after(delay, func() {
		if c.tries == tries {
			c.send()
		}
	})
}

// checkFailureCause checks that some task of a failed job has used up its attempts.
func (c *caller) checkFailureCause() {
	for _, n := range c.failedRuns {
		if n >= attempts {
			return
		}
	}
	c.w.recordViolation(FailedWithCause, "%s answered as failed although no task used up its attempts", c.spec.ID)
}

// checkStepOrder checks, when a task starts, that the steps it depends on are complete.
func (c *caller) checkStepOrder(id task.ID) {
	for _, step := range c.spec.Steps[id.Step].DependsOn {
		for n := range c.spec.Steps[step].Count {
			if earlier := (task.ID{Job: id.Job, Step: step, Index: n}); !c.done[earlier] {
				c.w.recordViolation(StepsInOrder, "%s started before %s had completed", id, earlier)
			}
		}
	}
}
