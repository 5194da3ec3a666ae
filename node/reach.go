package node

import (
	"context"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/reach"
)

// reachView is an entry's view of the directory and of the agents that it should be connected
// to. It is guarded by the entry's lock.
type reachView struct {
	set     *reach.Set
	addrs   map[string]string   // of all known agents, by name
	entries map[string]struct{} // names of all known entries
	// surplus holds the agents with a link that are no longer wanted. Each link is closed once it
	// is no longer in use.
	surplus map[string]struct{}
}

// newReachView returns an empty view.
func newReachView(entry string) *reachView {
	return &reachView{
		set:     reach.NewSet(entry),
		addrs:   make(map[string]string),
		entries: make(map[string]struct{}),
		surplus: make(map[string]struct{}),
	}
}

// addAgent adds an agent or updates its address. If the agent is wanted, the next tick connects
// to it.
func (e *Entry) addAgent(r Registration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reach.addrs[r.Name] = r.Addr
	e.reach.set.Add(r.Name)
	l := e.links[r.Name]
	if l == nil {
		return
	}
	e.logAddressChange(l, r)
	l.registration = r
	notify(l.retryNow)
}

// addEntries adds entries. Entries do not connect to each other, but their number determines to how
// many agents each one connects.
func (e *Entry) addEntries(list []Registration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range list {
		e.reach.entries[r.Name] = struct{}{}
	}
	e.reach.set.SetEntries(len(e.reach.entries))
}

// applyProcess applies a single change of the directory.
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

// removeAgent removes an agent whose name was deleted from the directory because another entry
// could not reach it. A connected agent is kept.
func (e *Entry) removeAgent(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l := e.links[name]; l != nil && l.conn != nil {
		return
	}
	delete(e.reach.addrs, name)
	e.reach.set.Remove(name)
}

// agentCounts holds the number of known agents and of links to agents, including surplus ones.
type agentCounts struct{ known, links int }

func (e *Entry) countAgents() agentCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return agentCounts{known: e.reach.set.Known(), links: len(e.links)}
}

// adjustReach connects to the wanted agents and closes surplus links that are no longer in use. It
// is called at each tick. The caller must hold e.mu.
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

// connectWanted opens links to the wanted agents and marks all other links as surplus.
func (e *Entry) connectWanted(ctx context.Context) {
	v := e.reach
	for name, addr := range v.addrs {
		if v.set.Wanted(name) && e.links[name] == nil {
			e.openLink(ctx, Registration{Name: name, Addr: addr})
		}
	}
	clear(v.surplus)
	for name := range e.links {
		if !v.set.Wanted(name) {
			v.surplus[name] = struct{}{}
		}
	}
}

// openLink starts connecting to an agent.
func (e *Entry) openLink(ctx context.Context, r Registration) {
	ctx, stop := context.WithCancel(ctx)
	l := &link{registration: r, retryNow: make(chan struct{}, 1), stop: stop}
	e.links[r.Name] = l
	go e.keepConnected(ctx, l)
}

// closeSurplus closes the link to an agent that is not wanted, if the link is no longer in use.
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
		e.connectedAgents.Add(-1)
	}
	e.owner.Release(name)
	delete(e.links, name)
	l.stop()
}
