package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/beaconpoint/beaconpoint/vtime"
)

// Sampling is a baseline: each job sends probes, Probes for each task, to
// workers at random; a worker with a free slot asks the job of the probe in
// front of its queue for a task, and gets one or none (late binding).
type Sampling struct {
	Name           string
	Workers, Slots int
	Probes         int
	Delay          time.Duration
}

// sampled is a job on its way through the baseline.
type sampled struct {
	*work
	next, left int
}

// sampler is one run of the baseline.
type sampler struct {
	cfg    Sampling
	q      *vtime.Queue
	rng    *rand.Rand
	queues [][]*sampled
	free   []int
	result *Result
	tenth  int
	open   int
}

// Run runs the workload through the baseline.
func (s Sampling) Run(w Workload) *Result {
	r := &sampler{
		cfg: s, q: vtime.NewQueue(0), rng: rand.New(rand.NewPCG(w.Seed, 3)),
		queues: make([][]*sampled, s.Workers), free: make([]int, s.Workers),
		result: newResult(s.Name), tenth: w.largestTenth(),
	}
	for k := range r.free {
		r.free[k] = s.Slots
	}
	all := w.generate()
	r.open = len(all)
	for _, j := range all {
		r.q.After(j.at, func() { r.probe(&sampled{work: j, left: len(j.tasks)}) })
	}
	r.q.Run(all[len(all)-1].at+patience, func() bool { return r.open == 0 })
	r.result.Unanswered = r.open
	return r.result
}

func (r *sampler) probe(j *sampled) {
	for range len(j.tasks) * r.cfg.Probes {
		k := r.rng.IntN(r.cfg.Workers)
		r.q.After(r.cfg.Delay, func() {
			r.queues[k] = append(r.queues[k], j)
			r.serve(k)
		})
	}
}

// serve reserves free slots for the probes in front and asks for their tasks.
// A probe and its question that get no task, and the empty answer, are waste.
func (r *sampler) serve(k int) {
	for r.free[k] > 0 && len(r.queues[k]) > 0 {
		j := r.queues[k][0]
		r.queues[k] = r.queues[k][1:]
		r.free[k]--
		r.q.After(2*r.cfg.Delay, func() { r.answer(k, j) })
	}
}

func (r *sampler) answer(k int, j *sampled) {
	if j.next == len(j.tasks) {
		r.result.Wasted += 3
		r.free[k]++
		r.serve(k)
		return
	}
	// Even where a task comes of it, probe and question go before the start.
	r.result.Wasted += 2
	took := j.tasks[j.next]
	j.next++
	r.result.Starts++
	r.q.After(took, func() {
		r.free[k]++
		r.serve(k)
	})
	r.q.After(took+r.cfg.Delay, func() { r.ended(j) })
}

func (r *sampler) ended(j *sampled) {
	j.left--
	if j.left > 0 {
		return
	}
	r.open--
	r.result.note(j.work, r.q.Now()-j.at, r.tenth)
}
