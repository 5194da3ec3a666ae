package node

import (
	"context"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/reach"
)

// reachView is what an entry knows of the directory, and which agents it should be connected to.
// It is used under its entry's lock.
type reachView struct {
	set     *reach.Set
	addrs   map[string]string   // of all known agents, by name
	entries map[string]struct{} // names of all known entries
	// surplus are the connected agents that are not wanted any more and still of use.
	surplus map[string]struct{}
}

// newReachView returns the view of an entry that knows nobody.
func newReachView(entry string) *reachView {
	return &reachView{
		set:     reach.NewSet(entry),
		addrs:   make(map[string]string),
		entries: make(map[string]struct{}),
		surplus: make(map[string]struct{}),
	}
}

// addAgent makes an agent known, of the directory or one that introduces itself. It is connected
// to with the next tick, where it is wanted.
func (e *Entry) addAgent(r Registration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reach.addrs[r.Name] = r.Addr
	e.reach.set.Add(r.Name)
	l := e.links[r.Name]
	if l == nil {
		return
	}
	e.logMoved(l, r)
	l.registration = r
	notify(l.retryNow)
}

// addEntries makes entries known, to which this one is not connected: how many there are decides
// how many agents each one covers.
func (e *Entry) addEntries(list []Registration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range list {
		e.reach.entries[r.Name] = struct{}{}
	}
	e.reach.set.SetEntries(len(e.reach.entries))
}

// applyProcess applies one change of the directory.
func (e *Entry) applyProcess(role peer.Role, r Registration, gone bool) {
	switch {
	case role == peer.RoleAgent && !gone:
		e.addAgent(r)
	case role == peer.RoleAgent:
		e.removeAgent(r.Name)
	case !gone:
		e.addEntries([]Registration{r})
	default:
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.reach.entries, r.Name)
		e.reach.set.SetEntries(len(e.reach.entries))
	}
}

// removeAgent forgets an agent whose name was removed from the directory, by an entry that could not
// reach it: not where this one does.
func (e *Entry) removeAgent(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l := e.links[name]; l != nil && l.conn != nil {
		return
	}
	delete(e.reach.addrs, name)
	e.reach.set.Remove(name)
}

// reachCounts are the agents that an entry knows of, and those of them that it has links to.
type reachCounts struct{ known, wanted int }

// reachCounts returns the counts.
func (e *Entry) reachCounts() reachCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return reachCounts{known: e.reach.set.Known(), wanted: len(e.links)}
}

// adjustReach connects to the agents that are wanted, and ends the connections that serve nothing
// any more. It is called with the lock held, at each tick.
func (e *Entry) adjustReach(ctx context.Context, now time.Duration) {
	v := e.reach
	if e.owner.TakeMissingLabel() {
		v.set.Widen(now)
	}
	if e.owner.Short(now) {
		v.set.Short(now, e.owner.Busy)
	}
	if v.set.Update(now) {
		e.owner.Partial = v.set.Partial()
		e.owner.RefreshRoles()
		e.connectWanted(ctx)
	}
	for name := range v.surplus {
		e.closeSurplus(name)
	}
}

// connectWanted begins the links to the agents that are wanted, and notes those of others.
func (e *Entry) connectWanted(ctx context.Context) {
	v := e.reach
	for name, addr := range v.addrs {
		if v.set.Wanted(name) && e.links[name] == nil {
			e.open(ctx, Registration{Name: name, Addr: addr})
		}
	}
	clear(v.surplus)
	for name := range e.links {
		if !v.set.Wanted(name) {
			v.surplus[name] = struct{}{}
		}
	}
}

// open begins the link to an agent.
func (e *Entry) open(ctx context.Context, r Registration) {
	ctx, stop := context.WithCancel(ctx)
	l := &link{registration: r, retryNow: make(chan struct{}, 1), stop: stop}
	e.links[r.Name] = l
	go e.keepConnected(ctx, l)
}

// closeSurplus ends the link to an agent that is not wanted, once it serves nothing any more.
func (e *Entry) closeSurplus(name string) {
	l := e.links[name]
	if l != nil && !e.owner.Releasable(name) {
		return
	}
	delete(e.reach.surplus, name)
	if l == nil {
		return
	}
	if l.conn != nil {
		l.conn = nil
		e.linked.Add(-1)
	}
	e.owner.Release(name)
	delete(e.links, name)
	l.stop()
}
