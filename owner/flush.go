package owner

import (
	"slices"
	"strings"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// Changes made while an input is handled are collected and sent as one frame to each agent.

// markDirty schedules a frame to a for the next flush.
func (o *Owner) markDirty(a *agent) {
	if !a.dirty {
		a.dirty = true
		o.dirty = append(o.dirty, a)
	}
}

// stop adds an order to stop a run to the next frame to a.
func (o *Owner) stop(a *agent, ref task.Ref) {
	a.out.Stops = append(a.out.Stops, ref)
	o.markDirty(a)
}

// flush sends the collected frames.
func (o *Owner) flush(now time.Duration) {
	list := o.dirty
	o.dirty = nil
	slices.SortFunc(list, func(a, b *agent) int { return strings.Compare(a.name, b.name) })
	for _, a := range list {
		if !a.dirty {
			continue // disconnected since it was marked
		}
		o.addEvacuations(a)
		f := a.out
		a.out = peer.Frame{}
		a.dirty = false
		a.sentAt = now
		o.link.add(now, frameBytes)
		seq := o.Send(a.name, &f)
		for k := range a.pending {
			if a.pending[k].seq == 0 {
				a.pending[k].seq = seq
			}
		}
	}
}

// Heartbeats sends a frame to each agent that has received none for the heartbeat interval of its
// connection, which renews this entry's lease. The frame is empty unless content waits for
// the next frame, such as a settlement. Unresponsive agents of a suspected hall get no heartbeat:
// their leases should expire soon, so that their tasks can start elsewhere. Collected frames to
// other agents are sent as well.
func (o *Owner) Heartbeats(now time.Duration) {
	for _, a := range o.byName {
		if a.connected && now-a.sentAt >= peer.Interval(a.inUse()) && !(o.hallSuspected(a) && a.unresponsive(now)) {
			o.markDirty(a)
		}
	}
	o.flush(now)
}
