package guard

import (
	"maps"
	"slices"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/wire"
)

func (g *Guard) handle(now clock.Moment, from roster.ID, f wire.Frame) {
	switch m := f.Body.(type) {
	case wire.Heartbeat:
		g.link(from).demand = m.Waiting + m.Running
		g.sendHeartbeat(now, from)
	case wire.Roster:
		g.adopt(m.Roster)
		g.sendHeartbeat(now, from)
	case wire.Target:
		g.configure(f.Config, m)
		g.sendHeartbeat(now, from)
	case wire.Start:
		g.start(now, from, f.Seq, m)
	case wire.Await:
		g.await(now, from, f.Seq, m.Key)
	case wire.Collect:
		g.collect(now, from, m)
	}
}

// adopt replaces the roster in force if r has a higher revision.
func (g *Guard) adopt(r roster.Roster) {
	if r.Revision <= g.view.Revision {
		return
	}
	g.view = roster.NewView(r)
	g.seenRevision = max(g.seenRevision, r.Revision)
	g.confirmations.Keep(r.Seats)
	for id := range g.links {
		if !r.HasSeat(id) {
			g.links[id].demand = 0
		}
	}
}

// configure applies the target's part of the configuration if revision is
// higher than the present one.
func (g *Guard) configure(revision uint64, t wire.Target) {
	if revision <= g.config {
		return
	}
	g.config = revision
	g.target = t
}

// start accepts a task, answers from its record, or refuses it with NotRun.
func (g *Guard) start(now clock.Moment, from roster.ID, seq uint64, m wire.Start) {
	if r := g.records[m.Key]; r != nil && !g.rules.SkipRecords {
		g.answerFromRecord(now, from, seq, r, m.Digest)
		return
	}
	if c := g.refusal(now, from, m); c != code.OK {
		g.answer(now, from, seq, wire.Result{Key: m.Key, Status: wire.NotRun, Code: c})
		return
	}
	g.records[m.Key] = &record{
		Record:  wire.Record{Key: m.Key, Digest: m.Digest, Expiry: m.Expiry, Starter: from},
		start:   m,
		waiters: map[roster.ID]uint64{from: seq},
	}
	g.queue = append(g.queue, m.Key)
	g.startQueued(now)
}

// refusal returns the code with which a start is refused, or code.OK.
func (g *Guard) refusal(now clock.Moment, from roster.ID, m wire.Start) code.Code {
	switch {
	case !g.view.HasSeat(from) && !g.rules.SkipSeat:
		return code.NotASeat
	case g.seenRevision > g.view.Revision && !g.rules.SkipRevision:
		return code.StaleRevision
	case !g.confirmations.Holds(now.Mono, g.view.Seats, g.cfg.Self) && !g.rules.SkipStanding:
		return code.AgentNotConfirmed
	case !g.view.HasAgent(g.cfg.Self):
		return code.AgentNotConfirmed
	case g.leaving:
		return code.AgentStopping
	case !g.target.Known || g.target.Service != m.Service:
		return code.WrongService
	case g.target.Drained:
		return code.AgentDraining
	case now.Wall.UnixMilli() >= m.Expiry:
		return code.StartExpired
	case g.running+len(g.queue) >= g.capacity():
		return code.SlotsFull
	}
	return code.OK
}

// answerFromRecord answers a request from a record, immediately or when the task
// ends. A zero digest matches every record.
func (g *Guard) answerFromRecord(now clock.Moment, from roster.ID, seq uint64, r *record, digest uint64) {
	switch {
	case digest != 0 && digest != r.Digest:
		g.answer(now, from, seq, wire.Result{Key: r.Key, Status: wire.Failed, Code: code.Conflict})
	case r.ended:
		g.answer(now, from, seq, r.result)
	default:
		r.waiters[from] = seq
	}
}

func (g *Guard) await(now clock.Moment, from roster.ID, seq uint64, key wire.TaskKey) {
	if r := g.records[key]; r != nil {
		g.answerFromRecord(now, from, seq, r, 0)
		return
	}
	g.answer(now, from, seq, wire.Result{Key: key, Status: wire.NotRun, Code: code.NoRecord})
}

// collect sends a seat the records of the jobs that it owns and that others
// started. It answers only if the requested revision is in force, since removed
// seats can start nothing here at that revision.
func (g *Guard) collect(now clock.Moment, from roster.ID, m wire.Collect) {
	if m.Revision != g.view.Revision {
		return
	}
	var found []wire.Record
	for _, r := range g.records {
		if r.Starter != from && g.view.Home(r.Key.Job) == from {
			found = append(found, r.Record)
		}
	}
	g.send(now, from, wire.Records{Revision: m.Revision, Records: found})
}

// startQueued runs queued tasks while slots are free.
func (g *Guard) startQueued(now clock.Moment) {
	for len(g.queue) > 0 && g.running < g.target.Slots {
		key := g.queue[0]
		g.queue = g.queue[1:]
		r := g.records[key]
		g.running++
		if now.Wall.UnixMilli() >= r.Expiry {
			g.expire(now, key)
			continue
		}
		g.effects.Runs = append(g.effects.Runs, Run{Start: r.start})
		r.start.Payload = nil
	}
}

// expire ends an accepted task whose expiry passed before a slot was free.
func (g *Guard) expire(now clock.Moment, key wire.TaskKey) {
	r := g.records[key]
	g.running--
	r.ended = true
	g.answerAll(now, r, wire.Result{Key: key, Status: wire.NotRun, Code: code.StartExpired})
	delete(g.records, key)
}

func (g *Guard) answer(now clock.Moment, to roster.ID, seq uint64, r wire.Result) {
	r.Seq = seq
	r.Window = g.window(to)
	g.send(now, to, r)
}

// answerAll sends the result to every seat that waits for r.
func (g *Guard) answerAll(now clock.Moment, r *record, result wire.Result) {
	for _, seat := range sortedIDs(r.waiters) {
		g.answer(now, seat, r.waiters[seat], result)
	}
	r.waiters = nil
}

// sortedIDs returns the keys in ascending order, so that effects are
// deterministic.
func sortedIDs[V any](m map[roster.ID]V) []roster.ID {
	return slices.SortedFunc(maps.Keys(m), roster.ID.Compare)
}

func (g *Guard) sendHeartbeat(now clock.Moment, to roster.ID) {
	g.send(now, to, wire.AgentHeartbeat{
		Service:  g.target.Service,
		Window:   g.window(to),
		Slots:    g.target.Slots,
		Standing: g.Standing(now),
		Leaving:  g.leaving || g.target.Drained,
	})
}

// storeOutput counts an output and drops the oldest ones beyond
// Config.OutputBytes.
func (g *Guard) storeOutput(key wire.TaskKey, size int) {
	g.withOutput = append(g.withOutput, key)
	g.outputBytes += size
	for g.outputBytes > g.cfg.OutputBytes && len(g.withOutput) > 0 {
		if r := g.records[g.withOutput[0]]; r != nil {
			g.dropOutput(r)
		}
		g.withOutput = g.withOutput[1:]
	}
}

// dropOutput drops a record's output. The record still shows that the task ran.
func (g *Guard) dropOutput(r *record) {
	g.outputBytes -= len(r.result.Output)
	if r.result.Status == wire.Done {
		r.result = wire.Result{Key: r.Key, Status: wire.Failed, Code: code.AnswerDropped}
	}
}
