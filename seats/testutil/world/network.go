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

// connect tells both processes of a connection, unless they are cut off.
func (w *World) connect(a, b *process) {
	k := pairOf(a.name, b.name)
	if w.cuts[k] {
		return
	}
	w.epochs[k]++
	epoch := w.epochs[k]
	aID, bID := a.id, b.id
	w.after(w.soon(), func() {
		if w.epochs[k] == epoch {
			w.linkUp(a, aID, bID, b.role)
		}
	})
	w.after(w.soon(), func() {
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

// disconnect tells both processes that their connection is gone.
func (w *World) disconnect(a, b *process) {
	k := pairOf(a.name, b.name)
	w.epochs[k]++
	aID, bID := a.id, b.id
	epoch := w.epochs[k]
	down := func(p *process, id, peer roster.ID) {
		w.after(w.soon(), func() {
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

func (w *World) soon() time.Duration {
	return time.Duration(w.rng.IntN(20)) * time.Millisecond
}

// send puts a frame on the network.
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
	if !w.calm && w.rng.Float64() < loss {
		return
	}
	w.deliver(id, from, to, f)
	if !w.calm && w.rng.Float64() < w.cfg.Double {
		w.deliver(id, from, to, f)
	}
}

func (w *World) deliver(id uint64, from, to roster.ID, f wire.Frame) {
	p := w.byID[to]
	delay := 500*time.Microsecond + time.Duration(w.rng.Int64N(int64(commonWait)))
	if !w.calm && w.rng.Float64() < w.cfg.Late {
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
	w.carryOut(p, out)
}

// apply carries out a home's effects that no relayed answer has caused.
func (w *World) apply(p *process, out home.Effects) {
	w.checkNotRun(p, out)
	w.carryOut(p, out)
}

// checkNotRun checks every "not run" that a home gives as its own word.
func (w *World) checkNotRun(p *process, out home.Effects) {
	for _, a := range out.Answers {
		w.notRun(p, a.Answer)
	}
	for _, s := range out.Sends {
		if r, ok := s.Frame.Body.(wire.Reply); ok {
			w.notRun(p, r.Answer)
		}
	}
}

func (w *World) notRun(p *process, a seats.Answer) {
	if a.Ran != seats.RanNo || a.State == seats.Running {
		return
	}
	j := w.jobs[a.ID]
	if j.total > 0 {
		w.fail("%s said %s was not run (%s), but %d of its tasks were started", p.id, a.ID, a.Name, j.total)
	}
	j.noFrame = w.frames
}

func (w *World) carryOut(p *process, out home.Effects) {
	for _, s := range out.Sends {
		w.send(p.id, s.To, s.Frame)
	}
	for _, a := range out.Answers {
		w.answerOf(a.Ticket, a.Answer)
	}
	if out.Swap != nil {
		w.swap(p, *out.Swap)
	}
	if out.Read {
		w.read(p)
	}
	if out.Removed {
		w.lostSeat(p)
	}
}

// lostSeat begins a new life of an entry whose process goes on.
func (w *World) lostSeat(p *process) {
	for _, o := range w.procs {
		if o != p && o.alive {
			w.disconnect(p, o)
		}
	}
	id := p.id
	if p.leaving {
		w.kill(p)
		if w.calm {
			w.begin(p)
		}
		return
	}
	w.after(w.soon(), func() {
		if p.id == id && p.alive && !p.paused {
			w.begin(p)
		} else if p.id == id && p.alive {
			p.inbox = append(p.inbox, func() { w.begin(p) })
		}
	})
}

func (w *World) applyGuard(p *process, frame uint64, out guard.Effects) {
	for _, s := range out.Sends {
		w.send(p.id, s.To, s.Frame)
	}
	for _, r := range out.Runs {
		w.started(p, frame, r.Start)
	}
}

// started counts a start, and ends it after a while.
func (w *World) started(p *process, frame uint64, s wire.Start) {
	id := job.IDOf(s.Key.Job)
	j := w.jobs[id]
	j.starts[s.Key.Index]++
	j.total++
	w.counts.Starts++
	if n := j.starts[s.Key.Index]; n > 1 {
		w.fail("task %s was started %d times, now at %s", s.Key, n, p.id)
	}
	if frame != 0 && frame <= j.noFrame {
		w.fail("task %s was started at %s after the job was called not run", s.Key, p.id)
	}
	status, c, out := wire.Done, code.OK, []byte(outputOf(id, s.Key.Index))
	if w.rng.IntN(20) == 0 {
		status, c, out = wire.Failed, code.TaskFailed, nil
	}
	took := time.Duration(50+w.rng.IntN(1500)) * time.Millisecond
	life := p.id
	w.after(took, func() {
		w.handle(p, life, func() { w.applyGuard(p, 0, p.guard.Ended(w.moment(p), s.Key, status, c, out)) })
	})
}
