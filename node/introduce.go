package node

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/beaconpoint/beaconpoint/backoff"
	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/peer"
)

// An agent without any entry for aloneTime registers anew; alonePoll is how often it
// looks. Not measured.
const (
	aloneTime = 3 * time.Second
	alonePoll = 500 * time.Millisecond
)

// find learns of the entries and registers the agent, at its start and again when it
// has been without any entry for a while. The list comes first: an agent that knows
// the entries makes itself known to them.
func (a *Agent) find(ctx context.Context) error {
	own := Registration{Name: a.settings.Name, Addr: a.settings.Peers}
	for ctx.Err() == nil {
		untilDone(ctx, a.log, "list", func(try context.Context) error {
			entries, err := a.directory.List(try, peer.RoleEntry)
			a.addEntries(entries)
			return err
		})
		untilDone(ctx, a.log, "register", func(try context.Context) error {
			return a.directory.Register(try, peer.RoleAgent, own)
		})
		for alone := time.Duration(0); alone < aloneTime && sleep(ctx, alonePoll); alone += alonePoll {
			if a.connected() > 0 {
				alone = 0
			}
		}
	}
	return nil
}

// addEntries adds entries that the directory names.
func (a *Agent) addEntries(entries []Registration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range entries {
		a.entries[r.Name] = r.Addr
	}
	notify(a.entryMissing)
}

// connected returns how many entries are connected.
func (a *Agent) connected() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

// introduce makes the agent known to entries that have no connection here, until
// they call back: so an entry that has restarted finds its agents while the store is
// down.
func (a *Agent) introduce(ctx context.Context) error {
	tries := make(map[string]int)
	due := make(map[string]time.Duration)
	for sleep(ctx, dialRetry) {
		missing := a.missing()
		if len(missing) == 0 {
			clear(tries)
			clear(due)
			select {
			case <-ctx.Done():
			case <-a.entryMissing:
			}
			continue
		}
		now := a.clock.now()
		for name, addr := range missing {
			if now < due[name] {
				continue
			}
			due[name] = now + backoff.Interval(dialRetry, dialRetryMax, tries[name])
			tries[name]++
			go a.introduceTo(ctx, name, addr)
		}
		missing = a.missing()
		for name := range tries {
			if _, ok := missing[name]; !ok {
				delete(tries, name)
				delete(due, name)
			}
		}
	}
	return nil
}

// missing returns the addresses of the entries that are known and not connected, by
// name.
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

// introduceTo tells one entry where this agent is. The entry calls back and closes.
func (a *Agent) introduceTo(ctx context.Context, name, addr string) {
	if err := a.sendIntroduction(ctx, addr); err != nil && ctx.Err() == nil {
		a.log.Info(event.IntroductionFailed, "entry", name, "addr", addr, "error", err.Error())
	}
}

// sendIntroduction sends the introduction to an address.
func (a *Agent) sendIntroduction(ctx context.Context, addr string) error {
	raw, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer raw.Close()
	hello := &peer.Hello{Role: peer.RoleAgent, Name: a.settings.Name, Addr: a.settings.Peers, Introduce: true}
	buf, err := peer.AppendFrame(nil, &peer.Frame{Hello: hello})
	if err != nil {
		return err
	}
	if err := raw.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return err
	}
	if _, err := raw.Write(buf); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	_, _ = raw.Read(make([]byte, 1)) // ends when the entry closes, which is an error by design
	return nil
}
