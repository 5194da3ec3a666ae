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

// Times of a fleet.
const (
	homeTick = 20 * time.Millisecond
	warmUp   = 8 * time.Second
	patience = 10 * time.Minute
	lease    = 3 * time.Second
)

// Fleet is entries and agents, run in virtual time by the real state machines.
type Fleet struct {
	Name                  string
	Homes, Targets, Slots int
	// AgentQueue is how many accepted tasks may wait at an agent.
	AgentQueue int
	// Delay is one way between two processes.
	Delay  time.Duration
	Policy dispatch.Policy
	// Queue bounds the tasks that wait; zero for no bound.
	Queue int
	// Expiry is each job's time to live; zero for none. Who is refused comes
	// back until it is over: after FixedRetry or, without it, when told to.
	Expiry     time.Duration
	FixedRetry time.Duration
	// Beside is another organisation's workload, which is not counted.
	Beside *Workload
	// Slow is how many times longer tasks run on the first target; zero or
	// one for the common pace.
	Slow float64
	// LoseAt is when the last target dies; zero for never.
	LoseAt time.Duration
}

// run is one run of a fleet.
type run struct {
	fleet  Fleet
	q      *vtime.Queue
	base   time.Time
	homes  []*home.Home
	guards []*guard.Guard
	ids    []roster.ID // of the homes, then of the guards
	place  map[roster.ID]int
	roster roster.Roster
	jobs   map[string]*work
	asked  map[uint64]*work
	result *Result
	tenth  int
	left   int
	// tickets counts the submissions.
	tickets uint64
	lost    map[int]bool
}

// Run runs the workload through the fleet.
func (f Fleet) Run(w Workload) *Result {
	r := &run{
		fleet:  f,
		q:      vtime.NewQueue(time.Second),
		base:   time.Unix(1_700_000_000, 0),
		place:  make(map[roster.ID]int),
		jobs:   make(map[string]*work),
		asked:  make(map[uint64]*work),
		result: newResult(f.Name),
		tenth:  w.largestTenth(),
		lost:   make(map[int]bool),
	}
	r.build()
	r.q.Run(warmUp, r.never)
	all := w.generate()
	r.left = len(all)
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
		r.q.After(f.LoseAt, func() { r.lose(f.Homes + f.Targets - 1) })
	}
	r.q.Run(warmUp+all[len(all)-1].at+patience, func() bool { return r.left == 0 })
	r.result.Unanswered = r.left
	r.count()
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
		r.add(id)
	}
	for k := range r.fleet.Targets {
		id := roster.NewID(fmt.Sprintf("worker%02d", k), 1)
		r.guards = append(r.guards, guard.NewGuard(guard.Config{
			Self: id, Lease: lease, Queue: r.fleet.AgentQueue, OutputBytes: 1 << 20,
		}))
		r.add(id)
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

func (r *run) add(id roster.ID) {
	r.place[id] = len(r.ids)
	r.ids = append(r.ids, id)
}

func (r *run) role(n int) wire.Role {
	if n < r.fleet.Homes {
		return wire.RoleEntry
	}
	return wire.RoleAgent
}

func (r *run) document() config.Document {
	s := config.Service{Name: service, Bounds: config.Bounds{Queue: 10_000_000, LongestExpiryMS: patience.Milliseconds()}}
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

// submit hands a job in through the entries in turn.
func (r *run) submit(j *work) {
	if r.fleet.Expiry > 0 && j.sub.Job.ExpiresAt == nil {
		at := r.base.Add(r.q.Now() + r.fleet.Expiry)
		j.sub.Job.ExpiresAt = &at
	}
	r.tickets++
	ticket := r.tickets
	k := int(ticket) % r.fleet.Homes
	r.asked[ticket] = j
	r.apply(k, r.homes[k].Submit(r.moment(), ticket, j.sub))
}

// answered notes a final answer. Who is refused as not run comes back later,
// while there is time.
func (r *run) answered(j *work, a home.Answered) {
	delete(r.asked, a.Ticket)
	if r.fleet.Beside != nil && j.sub.Job.Organisation == r.fleet.Beside.Organisation {
		return
	}
	switch a.Answer.State {
	case seats.Complete:
		r.left--
		r.result.note(j, r.q.Now()-warmUp-j.at, r.tenth)
		r.result.finished(j, r.q.Now()-warmUp)
	case seats.Refused:
		r.result.Refusals++
		wait := time.Duration(a.Answer.RetryAfterMS) * time.Millisecond
		if r.fleet.FixedRetry > 0 {
			wait = r.fleet.FixedRetry
		}
		if wait == 0 || r.base.Add(r.q.Now()+wait).After(*j.sub.Job.ExpiresAt) {
			r.left--
			r.result.Unserved++
			return
		}
		r.q.After(wait, func() { r.submit(j) })
	default:
		r.left--
		r.result.Failed++
	}
}

// apply carries out a home's effects; the store answers at once.
func (r *run) apply(k int, out home.Effects) {
	for _, s := range out.Sends {
		r.send(r.ids[k], s.To, s.Frame)
	}
	for _, a := range out.Answers {
		r.answered(r.asked[a.Ticket], a)
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
	n := r.place[to]
	r.q.After(r.fleet.Delay, func() {
		if r.lost[n] || r.lost[r.place[from]] {
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
		r.perform(k, s.Start)
	}
}

func (r *run) perform(k int, s wire.Start) {
	r.result.Starts++
	took := r.jobs[job.IDOf(s.Key.Job)].tasks[s.Key.Index]
	if k == 0 && r.fleet.Slow > 1 {
		took = time.Duration(float64(took) * r.fleet.Slow)
	}
	r.q.After(took, func() {
		if !r.lost[r.fleet.Homes+k] {
			r.applyGuard(k, r.guards[k].Ended(r.moment(), s.Key, wire.Done, code.OK, nil))
		}
	})
}

// lose lets a target die: its connections break and nothing more comes of it.
func (r *run) lose(n int) {
	r.lost[n] = true
	for k, h := range r.homes {
		r.apply(k, h.LinkDown(r.moment(), r.ids[n]))
	}
}

// count sums up the messages that led to nothing.
func (r *run) count() {
	for _, h := range r.homes {
		r.result.Wasted += int(h.Stats().Wasted())
	}
}
