package world

import (
	"fmt"
	"slices"
	"time"

	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/job"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// Act is a kind of step in a history.
type Act int

// Kinds of steps.
const (
	Submit Act = iota
	Resubmit
	ResubmitLast
	Wait
	Kill
	KillTwo
	Restart
	Pause
	Resume
	Cut
	Mend
	Isolate
	Split
	CutEntries
	IsolateEntry
	PauseEntry
	Outage
	StoreBack
	StoreSlow
	LoseAnswers
	Leave
	Reshard
	Shorten
	Acts // number of kinds
)

// GoString returns the name of the act, which counterexamples print.
func (a Act) GoString() string { return a.String() }

// String returns the name of the act.
func (a Act) String() string {
	return [...]string{"submit", "resubmit", "resubmit-last", "wait", "kill", "kill-two", "restart", "pause", "resume", "cut",
		"mend", "isolate", "split", "cut-entries", "isolate-entry", "pause-entry", "outage", "store-back", "store-slow", "lose-answers", "leave", "reshard", "shorten"}[a]
}

// Do performs an act. k selects the processes, job and parameters.
func (w *World) Do(a Act, k int) {
	p := w.procs[k%len(w.procs)]
	o := w.procs[(k/len(w.procs))%len(w.procs)]
	switch a {
	case Submit:
		w.submitNew(fmt.Sprintf("job%d", len(w.jobs)), k)
	case Resubmit:
		w.resubmit(k)
	case ResubmitLast:
		if n := len(w.jobs); n > 0 {
			w.submitAt(fmt.Sprintf("job%d", n-1), k)
		}
	case Wait:
		w.Run(time.Duration(k%4000) * time.Millisecond)
	case Kill:
		w.kill(p)
	case KillTwo:
		w.kill(p)
		w.kill(o)
	case Restart:
		if !p.alive {
			w.start(p)
		}
	case Pause:
		p.paused = p.alive
	case Resume:
		w.resume(p)
	case Cut:
		w.cut(p, o)
	case Mend:
		w.restoreLinks()
	case Isolate:
		for _, other := range w.procs {
			w.cut(p, other)
		}
	case Split:
		w.split(k)
	case CutEntries:
		entries := w.entries()
		if n := len(entries); n > 1 {
			w.cut(entries[k%n], entries[(k+1+k/n%(n-1))%n])
		}
	case IsolateEntry, PauseEntry:
		w.disruptEntry(a, k)
	default:
		w.doOther(a, p)
	}
}

func (w *World) disruptEntry(a Act, k int) {
	entries := w.entries()
	if len(entries) == 0 {
		return
	}
	p := entries[k%len(entries)]
	if a == PauseEntry {
		p.paused = true
		return
	}
	p.noStore = k/len(entries)%2 == 0
	for _, other := range w.procs {
		w.cut(p, other)
	}
}

// split partitions the network: it cuts the links between processes whose bit is
// set in k and the others. A further bit cuts the former from the store.
func (w *World) split(k int) {
	inside := func(n int) bool { return k>>n&1 == 1 }
	for n, p := range w.procs {
		if inside(n) && k>>len(w.procs)&1 == 1 {
			p.noStore = true
		}
		for m, o := range w.procs {
			if inside(n) && !inside(m) {
				w.cut(p, o)
			}
		}
	}
}

func (w *World) doOther(a Act, p *process) {
	switch a {
	case Outage:
		w.store.outage = true
	case StoreBack:
		w.store = store{roster: w.store.roster}
	case StoreSlow:
		w.store.slow = 2 * time.Second
	case LoseAnswers:
		w.store.loseAnswers = true
	case Leave:
		w.leave(p)
	case Reshard:
		w.shards = 1 + w.rng.IntN(4)
		w.reconfigure()
	case Shorten:
		w.longestExpiry = []time.Duration{longestExpiry, shortLifetime}[w.rng.IntN(2)]
		w.reconfigure()
	}
}

func (w *World) leave(p *process) {
	if !p.alive || p.paused {
		return
	}
	p.leaving = true
	if p.guard != nil {
		w.applyGuard(p, 0, p.guard.Leave(w.moment(p)))
		return
	}
	w.apply(p, p.home.Leave(w.moment(p)))
}

// Calm ends all failures: it restores store and links, resumes and restarts
// processes, and makes the network lossless.
func (w *World) Calm() {
	w.healthy = true
	w.store = store{roster: w.store.roster}
	w.restoreLinks()
	for _, p := range w.procs {
		w.resume(p)
		switch {
		case !p.alive:
			w.start(p)
		case p.leaving && p.guard != nil:
			w.after(leaveTime, func() {
				w.kill(p)
				w.start(p)
			})
		}
	}
}

// leaveTime is longer than an agent takes to finish its accepted tasks.
const leaveTime = 5 * time.Second

// CheckEnded checks that every submission was answered and that every entry
// holds its lease and has settled. Call it some time after Calm.
func (w *World) CheckEnded() {
	for t, a := range w.tickets {
		if !a.done {
			w.fail("job %s (ticket %d at %s) was not answered", a.job, t, a.entry)
		}
	}
	for _, p := range w.procs {
		if p.home != nil && !p.leaving && (!p.home.Standing(w.moment(p)) || !p.home.Settled()) {
			w.fail("%s did not recover: standing %v, settled %v, roster %+v",
				p.id, p.home.Standing(w.moment(p)), p.home.Settled(), p.home.Roster())
		}
	}
}

func (w *World) submitNew(id string, k int) {
	lifetime := jobLifetime
	if k%3 == 0 {
		lifetime = shortLifetime
	}
	expiry := w.base.Add(w.now() + lifetime)
	j := seats.Job{ID: id, Organisation: organisation, ExpiresAt: &expiry}
	for i := range 1 + k%4 {
		j.Tasks = append(j.Tasks, seats.Task{ID: fmt.Sprint(i)})
	}
	sub, err := job.New(service, j)
	if err != nil {
		panic(err) // generated jobs are valid
	}
	w.jobs[id] = &jobState{sub: sub, starts: make(map[int]int)}
	w.submitAt(id, k)
}

// resubmit submits an earlier job again through an entry that k selects.
func (w *World) resubmit(k int) {
	if len(w.jobs) == 0 {
		return
	}
	id := fmt.Sprintf("job%d", k%len(w.jobs))
	w.submitAt(id, k/len(w.jobs))
}

func (w *World) submitAt(id string, k int) {
	entries := w.entries()
	if len(entries) == 0 {
		return
	}
	p := entries[k%len(entries)]
	w.ticket++
	t := w.ticket
	sub := w.jobs[id].sub
	w.tickets[t] = &submission{job: id, entry: p.name, sub: sub}
	incarnation := p.id
	w.handle(p, incarnation, func() { w.apply(p, p.home.Submit(w.moment(p), t, sub)) })
}

// entries returns the live entries.
func (w *World) entries() []*process {
	return slices.DeleteFunc(slices.Clone(w.procs), func(p *process) bool {
		return p.role != wire.RoleEntry || !p.alive
	})
}

func (w *World) kill(p *process) {
	if !p.alive {
		return
	}
	p.alive, p.paused, p.deferred = false, false, nil
	for _, o := range w.procs {
		if o != p && o.alive {
			w.disconnect(p, o)
		}
	}
	for _, a := range w.tickets {
		if a.entry == p.name && p.role == wire.RoleEntry {
			a.done = true // the caller's connection is lost
		}
	}
}

func (w *World) resume(p *process) {
	if !p.paused {
		return
	}
	p.paused = false
	waiting := p.deferred
	p.deferred = nil
	id := p.id
	for _, do := range waiting {
		if p.id == id && p.alive {
			do()
		}
	}
}

func (w *World) cut(a, b *process) {
	k := pairOf(a.name, b.name)
	if a == b || w.cuts[k] || (a.home == nil && b.home == nil) {
		return
	}
	w.cuts[k] = true
	if w.rng.IntN(2) == 0 {
		w.disconnect(a, b)
	}
}

func (w *World) restoreLinks() {
	for _, a := range w.procs {
		a.noStore = false
		for _, b := range w.procs {
			k := pairOf(a.name, b.name)
			if a.name < b.name && w.cuts[k] {
				delete(w.cuts, k)
				if a.alive && b.alive {
					w.connect(a, b)
				}
			}
		}
	}
}

// reconfigure applies the next configuration revision at one entry, which
// distributes it.
func (w *World) reconfigure() {
	entries := w.entries()
	if len(entries) == 0 {
		return
	}
	w.revision++
	p := entries[w.rng.IntN(len(entries))]
	d := w.document()
	w.handle(p, p.id, func() { w.apply(p, p.home.Configure(w.moment(p), d)) })
}
