package owner

import (
	"slices"
	"strings"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/task"
)

// Frames to agents: what is decided while something is handled goes out as one frame to each
// agent when that is done.

// markDirty has a frame sent to a with the next flush.
func (o *Owner) markDirty(a *agent) {
	if !a.dirty {
		a.dirty = true
		o.dirty = append(o.dirty, a)
	}
}

// stop adds the order to stop a run to the next frame to a.
func (o *Owner) stop(a *agent, ref task.Ref) {
	a.out.Stops = append(a.out.Stops, ref)
	o.markDirty(a)
}

// flush sends each agent the frame that has collected for it.
func (o *Owner) flush(now time.Duration) {
	list := o.dirty
	o.dirty = nil
	slices.SortFunc(list, func(a, b *agent) int { return strings.Compare(a.name, b.name) })
	for _, a := range list {
		if !a.dirty {
			continue // it was lost in the meantime
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

// Heartbeats sends an empty frame to each agent that has got none for the interval of its
// connection, so that this entry's lease there goes on. Quiet agents of a suspected hall get
// none: the sooner the lease is over, the sooner their tasks start elsewhere.
func (o *Owner) Heartbeats(now time.Duration) {
	for _, a := range o.byName {
		if a.connected && now-a.sentAt >= peer.Interval(a.used()) && !(o.hallSuspected(a) && a.unresponsive(now)) {
			o.markDirty(a)
		}
	}
	o.flush(now)
}
