package node

import (
	"context"
	"net"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
)

// find learns of the entries and registers the agent, and again when it has
// been without any entry for a while. The list comes first: an agent that knows
// the entries makes itself known to them.
func (a *Agent) find(ctx context.Context) error {
	own := Registration{Name: a.settings.Name, Addr: a.settings.Peers}
	for ctx.Err() == nil {
		untilDone(ctx, a.log, "list", func(try context.Context) error {
			entries, err := a.directory.List(try, peer.RoleEntry)
			a.addEntries(entries)
			return err
		})
		untilDone(ctx, a.log, "register", func(try context.Context) error { return a.directory.Register(try, peer.RoleAgent, own) })
		for alone := time.Duration(0); alone < aloneTime && sleep(ctx, alonePoll); alone += alonePoll {
			if a.connected() > 0 {
				alone = 0
			}
		}
	}
	return nil
}

func (a *Agent) addEntries(entries []Registration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range entries {
		a.entries[m.Name] = m.Addr
	}
	a.notifyMissing()
}

func (a *Agent) connected() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

// introduce makes the agent known to entries that have no connection here: an
// entry that has restarted while the store is down finds its agents so.
func (a *Agent) introduce(ctx context.Context) error {
	waits := make(map[string]time.Duration)
	due := make(map[string]time.Duration)
	for sleep(ctx, dialRetry) {
		if len(a.missing()) == 0 {
			clear(waits)
			clear(due)
			a.awaitMissing(ctx)
			continue
		}
		now := a.clock.now()
		for name, addr := range a.missing() {
			if now < due[name] {
				continue
			}
			waits[name] = min(max(2*waits[name], dialRetry), dialRetryMax)
			due[name] = now + waits[name]
			go a.introduceTo(ctx, addr)
		}
		for name := range waits {
			if a.has(name) {
				delete(waits, name)
				delete(due, name)
			}
		}
	}
	return nil
}

// awaitMissing waits until an entry may be missing.
func (a *Agent) awaitMissing(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-a.entryMissing:
	}
}

// notifyMissing ends the wait of awaitParted. It is called with the lock held.
func (a *Agent) notifyMissing() {
	select {
	case a.entryMissing <- struct{}{}:
	default:
	}
}

// missing returns the entries that are known and not connected.
func (a *Agent) missing() map[string]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make(map[string]string)
	for name, addr := range a.entries {
		list[name] = addr
	}
	for _, c := range a.conns {
		delete(list, c.name)
	}
	return list
}

func (a *Agent) has(name string) bool {
	_, missing := a.missing()[name]
	return !missing
}

// introduceTo tells one entry where this agent is.
func (a *Agent) introduceTo(ctx context.Context, addr string) {
	raw, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer raw.Close()
	hello := &peer.Hello{Role: peer.RoleAgent, Name: a.settings.Name, Addr: a.settings.Peers, Introduce: true}
	buf, err := peer.AppendFrame(nil, &peer.Frame{Hello: hello})
	if err != nil {
		return
	}
	_ = raw.SetDeadline(time.Now().Add(dialTimeout))
	_, _ = raw.Write(buf)
	_, _ = raw.Read(make([]byte, 1)) // until the entry closes
}
