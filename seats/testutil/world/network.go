package world

import (
	"time"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/guard"
	"github.com/beaconpoint/beaconpoint/seats/home"
	"github.com/beaconpoint/beaconpoint/seats/job"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

// connect reports a new connection to both processes, unless the link between
// them is cut.
func (w *World) connect(a, b *process) {
	k := pairOf(a.name, b.name)
	if w.cuts[k] {
		return
	}
	w.epochs[k]++
	epoch := w.epochs[k]
	aID, bID := a.id, b.id
	w.after(w.linkDelay(), func() {
		if w.epochs[k] == epoch {
			w.linkUp(a, aID, bID, b.role)
		}
	})
	w.after(w.linkDelay(), func() {
		if w.epochs[k] == epoch {
			w.linkUp(b, bID, aID, a.role)
		}
	})
}

func (w *World) linkUp(p *process, id, peer roster.ID, role wire.Role) {
	if p.home == nil {
		return
	}
	w.handle(p, id, func() { w.apply(p, p.home.LinkUp(w.moment(p), peer, role)) })
}

// disconnect reports the loss of the connection to both processes.
func (w *World) disconnect(a, b *process) {
	k := pairOf(a.name, b.name)
	w.epochs[k]++
	aID, bID := a.id, b.id
	epoch := w.epochs[k]
	down := func(p *process, id, peer roster.ID) {
		w.after(w.linkDelay(), func() {
			if w.epochs[k] == epoch {
				w.linkDown(p, id, peer)
			}
		})
	}
	down(a, aID, bID)
	down(b, bID, aID)
}

func (w *World) linkDown(p *process, id, peer roster.ID) {
	if p.home == nil {
		return
	}
	w.handle(p, id, func() { w.apply(p, p.home.LinkDown(w.moment(p), peer)) })
}

func (w *World) linkDelay() time.Duration {
	return time.Duration(w.rng.IntN(20)) * time.Millisecond
}

// send delivers a frame, unless it is lost, and may duplicate or delay it.
func (w *World) send(from, to roster.ID, f wire.Frame) {
	p := w.byID[to]
	if p == nil {
		return
	}
	w.frames++
	id := w.frames
	if w.Trace != nil {
		w.Trace("%v %s -> %s %+v", w.now(), from, to, f)
	}
	loss := w.cfg.Loss
	if f.Body.Kind() == wire.KindRoster {
		loss = max(loss, w.cfg.RosterLoss)
	}
	if !w.healthy && w.rng.Float64() < loss {
		return
	}
	w.deliver(id, from, to, f)
	if !w.healthy && w.rng.Float64() < w.cfg.Double {
		w.deliver(id, from, to, f)
	}
}

func (w *World) deliver(id uint64, from, to roster.ID, f wire.Frame) {
	p := w.byID[to]
	delay := 500*time.Microsecond + time.Duration(w.rng.Int64N(int64(delayJitter)))
	if !w.healthy && w.rng.Float64() < w.cfg.Late {
		delay += time.Duration(w.rng.Int64N(int64(w.cfg.LateBy)))
	}
	w.after(delay, func() {
		if w.cuts[pairOf(from.Name, to.Name)] {
			return
		}
		w.handle(p, to, func() { w.receive(p, id, from, f) })
	})
}

func (w *World) receive(p *process, id uint64, from roster.ID, f wire.Frame) {
	if p.guard != nil {
		w.applyGuard(p, id, p.guard.Receive(w.moment(p), from, f))
		return
	}
	out := p.home.Receive(w.moment(p), from, f)
	if _, relayed := f.Body.(wire.Reply); !relayed {
		w.checkNotRun(p, out)
	}
	w.perform(p, out)
}

// apply checks and performs the effects of a home. Effects of a relayed reply
// are performed without the check.
func (w *World) apply(p *process, out home.Effects) {
	w.checkNotRun(p, out)
	w.perform(p, out)
}

// checkNotRun checks all answers "not run" that a home has decided itself.
func (w *World) checkNotRun(p *process, out home.Effects) {
	for _, a := range out.Answers {
		w.checkNotRunAnswer(p, a.Answer)
	}
	for _, s := range out.Sends {
		if r, ok := s.Frame.Body.(wire.Reply); ok {
			w.checkNotRunAnswer(p, r.Answer)
		}
	}
}

func (w *World) checkNotRunAnswer(p *process, a seats.Answer) {
	if a.Ran != seats.RanNo || a.State == seats.Running {
		return
	}
	j := w.jobs[a.ID]
	if j.totalStarts > 0 {
		w.fail("%s answered that job %s was not run (%s), but %d of its tasks were started", p.id, a.ID, a.Name, j.totalStarts)
	}
	j.notRunFrame = w.frames
}

func (w *World) perform(p *process, out home.Effects) {
	for _, s := range out.Sends {
		w.send(p.id, s.To, s.Frame)
	}
	for _, a := range out.Answers {
		w.handleAnswer(a.Ticket, a.Answer)
	}
	if out.Swap != nil {
		w.swap(p, *out.Swap)
	}
	if out.Read {
		w.read(p)
	}
	if out.Removed {
		w.handleRemoval(p)
	}
}

// handleRemoval drops the connections of an entry that was removed from the
// roster and, unless the entry is leaving, starts a new incarnation.
func (w *World) handleRemoval(p *process) {
	for _, o := range w.procs {
		if o != p && o.alive {
			w.disconnect(p, o)
		}
	}
	id := p.id
	if p.leaving {
		w.kill(p)
		if w.healthy {
			w.start(p)
		}
		return
	}
	w.after(w.linkDelay(), func() {
		if p.id == id && p.alive && !p.paused {
			w.start(p)
		} else if p.id == id && p.alive {
			p.deferred = append(p.deferred, func() { w.start(p) })
		}
	})
}

func (w *World) applyGuard(p *process, frame uint64, out guard.Effects) {
	for _, s := range out.Sends {
		w.send(p.id, s.To, s.Frame)
	}
	for _, r := range out.Runs {
		w.startTask(p, frame, r.Start)
	}
}

// startTask checks and counts the start of a task and schedules its end.
func (w *World) startTask(p *process, frame uint64, s wire.Start) {
	id := job.IDOf(s.Key.Job)
	j := w.jobs[id]
	j.starts[s.Key.Index]++
	j.totalStarts++
	w.counts.Starts++
	if n := j.starts[s.Key.Index]; n > 1 {
		w.fail("task %s was started %d times, last at %s", s.Key, n, p.id)
	}
	if frame != 0 && frame <= j.notRunFrame {
		w.fail("task %s was started at %s by a frame sent before its job was answered as not run", s.Key, p.id)
	}
	status, c, out := wire.Done, code.OK, []byte(outputOf(id, s.Key.Index))
	if w.rng.IntN(20) == 0 {
		status, c, out = wire.Failed, code.TaskFailed, nil
	}
	took := time.Duration(50+w.rng.IntN(1500)) * time.Millisecond
	incarnation := p.id
	w.after(took, func() {
		w.handle(p, incarnation, func() { w.applyGuard(p, 0, p.guard.Ended(w.moment(p), s.Key, status, c, out)) })
	})
}
