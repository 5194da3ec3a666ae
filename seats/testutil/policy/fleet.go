package policy

import (
	"fmt"
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/dispatch"
	"github.com/beaconpoint/beaconpoint/seats/guard"
	"github.com/beaconpoint/beaconpoint/seats/home"
	"github.com/beaconpoint/beaconpoint/seats/job"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
	"github.com/beaconpoint/beaconpoint/testutil/vtime"
)

// Timing of a simulated fleet.
const (
	homeTick      = 20 * time.Millisecond
	warmUp        = 8 * time.Second
	longestExpiry = 10 * time.Minute
	lease         = 3 * time.Second
)

// Fleet simulates entries and agents in virtual time. It runs their production
// state machines.
type Fleet struct {
	Name                  string
	Homes, Targets, Slots int
	// AgentQueue is the maximum number of accepted tasks that wait at an agent.
	AgentQueue int
	// Delay is the one-way network delay.
	Delay  time.Duration
	Policy dispatch.Policy
	// Queue limits the waiting tasks of the service; zero means no limit.
	Queue int
	// Expiry is the time to live of each job; zero means none. A refused job is
	// submitted again until it expires, after FixedRetry or, if that is zero,
	// after the delay in the answer.
	Expiry     time.Duration
	FixedRetry time.Duration
	// Beside is a concurrent workload of another organisation. It is not part of
	// the result.
	Beside *Workload
	// Slow multiplies the run time of tasks on the first target if it is above
	// one.
	Slow float64
	// LoseAt is the time at which the last target fails; zero means never.
	LoseAt time.Duration
}

// run is the state of one simulation.
type run struct {
	fleet     Fleet
	q         *vtime.Queue
	base      time.Time
	homes     []*home.Home
	guards    []*guard.Guard
	ids       []roster.ID // of the homes, then of the guards
	index     map[roster.ID]int
	roster    roster.Roster
	jobs      map[string]*simJob
	byTicket  map[uint64]*simJob
	result    *Result
	largeSize int
	pending   int
	// tickets is the number of submissions.
	tickets uint64
	failed  map[int]bool
}

// Run simulates the workload on the fleet and returns the measurements.
func (f Fleet) Run(w Workload) *Result {
	r := &run{
		fleet:     f,
		q:         vtime.NewQueue(time.Second),
		base:      time.Unix(1_700_000_000, 0),
		index:     make(map[roster.ID]int),
		jobs:      make(map[string]*simJob),
		byTicket:  make(map[uint64]*simJob),
		result:    newResult(f.Name),
		largeSize: w.largeJobSize(),
		failed:    make(map[int]bool),
	}
	r.build()
	r.q.Run(warmUp, r.never)
	all := w.generate()
	r.pending = len(all)
	r.result.span = all[len(all)-1].at
	for _, j := range all {
		r.jobs[j.id] = j
		r.q.After(j.at, func() { r.submit(j) })
	}
	if f.Beside != nil {
		for _, j := range f.Beside.generate() {
			r.jobs[j.id] = j
			r.q.After(j.at, func() { r.submit(j) })
		}
	}
	if f.LoseAt > 0 {
		r.q.After(f.LoseAt, func() { r.failTarget(f.Homes + f.Targets - 1) })
	}
	r.q.Run(warmUp+all[len(all)-1].at+longestExpiry, func() bool { return r.pending == 0 })
	r.result.Unanswered = r.pending
	r.sumWasted()
	return r.result
}

func (r *run) never() bool { return false }

func (r *run) moment() clock.Moment {
	return clock.Moment{Mono: r.q.Now(), Wall: r.base.Add(r.q.Now())}
}

func (r *run) build() {
	for k := range r.fleet.Homes {
		id := roster.NewID(fmt.Sprintf("entry%d", k), 1)
		c := home.DefaultConfig(id, id.Name)
		c.Lease = lease
		r.homes = append(r.homes, home.NewHome(c, home.WithPolicy(r.fleet.Policy)))
		r.addProcess(id)
	}
	for k := range r.fleet.Targets {
		id := roster.NewID(fmt.Sprintf("worker%02d", k), 1)
		r.guards = append(r.guards, guard.NewGuard(guard.Config{
			Self: id, Lease: lease, Queue: r.fleet.AgentQueue, OutputBytes: 1 << 20,
		}))
		r.addProcess(id)
	}
	for k, h := range r.homes {
		r.apply(k, h.Configure(r.moment(), r.document()))
		for n, id := range r.ids {
			if n != k {
				r.apply(k, h.LinkUp(r.moment(), id, r.role(n)))
			}
		}
		r.tick(k)
	}
	for k, g := range r.guards {
		r.tickGuard(k, g)
	}
}

func (r *run) addProcess(id roster.ID) {
	r.index[id] = len(r.ids)
	r.ids = append(r.ids, id)
}

func (r *run) role(n int) wire.Role {
	if n < r.fleet.Homes {
		return wire.RoleEntry
	}
	return wire.RoleAgent
}

func (r *run) document() config.Document {
	s := config.Service{Name: service, Bounds: config.Bounds{Queue: 10_000_000, LongestExpiryMS: longestExpiry.Milliseconds()}}
	if r.fleet.Queue > 0 {
		s.Bounds.Queue = r.fleet.Queue
	}
	for k := range r.fleet.Targets {
		s.Targets = append(s.Targets, config.Target{
			Name: fmt.Sprintf("worker%02d", k), Agent: "fake", Slots: r.fleet.Slots, Connections: 64,
		})
	}
	return config.Document{Revision: 1, Services: []config.Service{s}, Organisations: []config.Organisation{{Name: organisation}, {Name: floodOrganisation}}}
}

func (r *run) tick(k int) {
	r.q.After(homeTick, func() {
		r.apply(k, r.homes[k].Tick(r.moment()))
		r.tick(k)
	})
}

func (r *run) tickGuard(k int, g *guard.Guard) {
	r.q.After(time.Second, func() {
		r.applyGuard(k, g.Tick(r.moment()))
		r.tickGuard(k, g)
	})
}

// submit submits a job. Submissions go to the entries in round-robin order.
func (r *run) submit(j *simJob) {
	if r.fleet.Expiry > 0 && j.sub.Job.ExpiresAt == nil {
		at := r.base.Add(r.q.Now() + r.fleet.Expiry)
		j.sub.Job.ExpiresAt = &at
	}
	r.tickets++
	ticket := r.tickets
	k := int(ticket) % r.fleet.Homes
	r.byTicket[ticket] = j
	r.apply(k, r.homes[k].Submit(r.moment(), ticket, j.sub))
}

// handleAnswer records the answer to a submission. A refused job is submitted again
// after the retry delay, unless it expires before.
func (r *run) handleAnswer(j *simJob, a home.Answered) {
	delete(r.byTicket, a.Ticket)
	if r.fleet.Beside != nil && j.sub.Job.Organisation == r.fleet.Beside.Organisation {
		return
	}
	switch a.Answer.State {
	case seats.Complete:
		r.pending--
		r.result.recordRatio(j, r.q.Now()-warmUp-j.at, r.largeSize)
		r.result.addUsefulTime(j, r.q.Now()-warmUp)
	case seats.Refused:
		r.result.Refusals++
		wait := time.Duration(a.Answer.RetryAfterMS) * time.Millisecond
		if r.fleet.FixedRetry > 0 {
			wait = r.fleet.FixedRetry
		}
		if wait == 0 || r.base.Add(r.q.Now()+wait).After(*j.sub.Job.ExpiresAt) {
			r.pending--
			r.result.Unserved++
			return
		}
		r.q.After(wait, func() { r.submit(j) })
	default:
		r.pending--
		r.result.Failed++
	}
}

// apply performs the effects of a home. A store call takes one network delay.
func (r *run) apply(k int, out home.Effects) {
	for _, s := range out.Sends {
		r.send(r.ids[k], s.To, s.Frame)
	}
	for _, a := range out.Answers {
		r.handleAnswer(r.byTicket[a.Ticket], a)
	}
	if out.Swap != nil {
		s := *out.Swap
		r.q.After(r.fleet.Delay, func() { r.swap(k, s) })
	}
	if out.Read {
		r.q.After(r.fleet.Delay, func() { r.apply(k, r.homes[k].RosterRead(r.moment(), r.roster, nil)) })
	}
}

func (r *run) swap(k int, s home.Swap) {
	outcome := home.Conflicted
	if r.roster.Revision == s.Base {
		r.roster = s.Next
		outcome = home.Swapped
	}
	r.apply(k, r.homes[k].SwapEnded(r.moment(), s.Change, outcome))
}

func (r *run) send(from, to roster.ID, f wire.Frame) {
	n := r.index[to]
	r.q.After(r.fleet.Delay, func() {
		if r.failed[n] || r.failed[r.index[from]] {
			return
		}
		if n < r.fleet.Homes {
			r.apply(n, r.homes[n].Receive(r.moment(), from, f))
			return
		}
		g := n - r.fleet.Homes
		r.applyGuard(g, r.guards[g].Receive(r.moment(), from, f))
	})
}

func (r *run) applyGuard(k int, out guard.Effects) {
	for _, s := range out.Sends {
		r.send(r.ids[r.fleet.Homes+k], s.To, s.Frame)
	}
	for _, s := range out.Runs {
		r.runTask(k, s.Start)
	}
}

func (r *run) runTask(k int, s wire.Start) {
	r.result.Starts++
	took := r.jobs[job.IDOf(s.Key.Job)].tasks[s.Key.Index]
	if k == 0 && r.fleet.Slow > 1 {
		took = time.Duration(float64(took) * r.fleet.Slow)
	}
	r.q.After(took, func() {
		if !r.failed[r.fleet.Homes+k] {
			r.applyGuard(k, r.guards[k].Ended(r.moment(), s.Key, wire.Done, code.OK, nil))
		}
	})
}

// failTarget makes an agent and its target fail: all homes failTarget the connection, and
// frames from and to the agent are dropped.
func (r *run) failTarget(n int) {
	r.failed[n] = true
	for k, h := range r.homes {
		r.apply(k, h.LinkDown(r.moment(), r.ids[n]))
	}
}

// sumWasted adds up the wasted messages of all homes.
func (r *run) sumWasted() {
	for _, h := range r.homes {
		r.result.Wasted += int(h.Stats().Wasted())
	}
}
