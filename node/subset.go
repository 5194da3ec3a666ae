package node

import (
	"context"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/subset"
)

// subsetView is an entry's view of the directory and of the agents that it should be connected
// to. It is guarded by the entry's lock.
type subsetView struct {
	set     *subset.Set
	addrs   map[string]string   // of all known agents, by name
	entries map[string]struct{} // names of all known entries
	// surplus holds the agents with a link that are no longer wanted. Each link is closed once it
	// is no longer in use.
	surplus map[string]struct{}
}

// newSubsetView returns an empty view.
func newSubsetView(entry string) *subsetView {
	return &subsetView{
		set:     subset.NewSet(entry),
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
	e.subset.addrs[r.Name] = r.Addr
	e.subset.set.Add(r.Name)
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
		e.subset.entries[r.Name] = struct{}{}
	}
	e.subset.set.SetEntries(len(e.subset.entries))
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
		delete(e.subset.entries, r.Name)
		e.subset.set.SetEntries(len(e.subset.entries))
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
	delete(e.subset.addrs, name)
	e.subset.set.Remove(name)
}

// agentCounts holds the number of known agents and of links to agents, including surplus ones.
type agentCounts struct{ known, links int }

func (e *Entry) countAgents() agentCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return agentCounts{known: e.subset.set.Known(), links: len(e.links)}
}

// adjustSubset connects to the wanted agents and closes surplus links that are no longer in use. It
// is called at each tick. The caller must hold e.mu.
func (e *Entry) adjustSubset(ctx context.Context, now time.Duration) {
	v := e.subset
	if e.owner.TakeMissingLabel() {
		v.set.WantAll(now)
	}
	if e.owner.Backlogged(now) {
		v.set.RecordShortage(now, e.owner.HasTasks)
	}
	if v.set.Update(now) {
		e.owner.PartiallyConnected = v.set.Partial()
		e.owner.RefreshRoles()
		e.connectWanted(ctx)
	}
	for name := range v.surplus {
		e.closeSurplus(name)
	}
}

// connectWanted opens links to the wanted agents and marks all other links as surplus.
func (e *Entry) connectWanted(ctx context.Context) {
	v := e.subset
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
	delete(e.subset.surplus, name)
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
