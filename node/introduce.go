package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/beaconpoint/beaconpoint/backoff"
	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/peer"
)

const (
	// reregisterAfter is the time without a connection after which an agent registers again.
	reregisterAfter = 3 * time.Second
	// connectionPollInterval is how often an agent checks whether it has a connection.
	connectionPollInterval = 500 * time.Millisecond
)

// maxIntroductions is the number of listed entries to which an agent introduces itself. Further
// entries find the agent in the directory.
const maxIntroductions = 16

// reintroduceInterval is the time until an agent repeats an introduction to an entry that has not
// connected. The entry may have restarted since, or may not want a connection to the agent.
const reintroduceInterval = 10 * time.Second

// knownEntry is an entry to which the agent introduces itself while the entry is not connected.
type knownEntry struct {
	addr string
	// lastSeen is when the entry was last found connected or listed. The entry is forgotten
	// forgetAfter later.
	lastSeen         time.Duration
	attempts         int           // introductions begun since the last delivered one or connection
	nextIntroduction time.Duration // when the next introduction is due
}

// discoverEntries lists the entries in the directory and registers the agent, at startup and
// whenever it has been without a connection for reregisterAfter. It lists first, so that the
// agent can introduce itself to the entries.
func (a *Agent) discoverEntries(ctx context.Context) error {
	own := Registration{Name: a.settings.Name, Addr: a.settings.PeerAddr}
	for ctx.Err() == nil {
		retryUntilDone(ctx, a.log, "list", func(ctx context.Context) error {
			entries, err := a.directory.List(ctx, peer.RoleEntry)
			a.addEntries(entries)
			return err
		})
		retryUntilDone(ctx, a.log, "register", func(ctx context.Context) error {
			return a.directory.Register(ctx, peer.RoleAgent, own)
		})
		for disconnected := time.Duration(0); disconnected < reregisterAfter &&
			sleep(ctx, connectionPollInterval); disconnected += connectionPollInterval {
			if a.connected() > 0 {
				disconnected = 0
			}
		}
	}
	return nil
}

// addEntries adds entries listed in the directory, at most maxIntroductions of them, chosen at
// random.
func (a *Agent) addEntries(entries []Registration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	for n, k := range rand.Perm(len(entries)) {
		if n == maxIntroductions {
			break
		}
		a.addEntry(now, entries[k])
	}
	notify(a.entryMissing)
}

// addEntry adds an entry or updates its address. The caller must hold a.mu.
func (a *Agent) addEntry(now time.Duration, r Registration) {
	if known := a.entries[r.Name]; known != nil && known.addr == r.Addr {
		known.lastSeen = now
		return
	}
	a.entries[r.Name] = &knownEntry{addr: r.Addr, lastSeen: now}
}

// connected returns the number of connections from entries.
func (a *Agent) connected() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

// introduce introduces the agent to each known entry that is not connected, until the entry
// connects or is forgotten. This lets an entry that restarts while the store is down find its
// agents.
func (a *Agent) introduce(ctx context.Context) error {
	for sleep(ctx, dialRetryMin) {
		count, due := a.disconnectedEntries()
		for name, addr := range due {
			go a.introduceTo(ctx, name, addr)
		}
		if count > 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-a.entryMissing:
		}
	}
	return nil
}

// disconnectedEntries returns the number of known entries that are not connected, and the
// addresses of those to which an introduction is due. It forgets entries that have been
// disconnected for too long.
func (a *Agent) disconnectedEntries() (count int, due map[string]string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	for _, c := range a.conns {
		if known := a.entries[c.name]; known != nil {
			known.lastSeen, known.attempts, known.nextIntroduction = now, 0, now
		}
	}
	due = make(map[string]string)
	for name, known := range a.entries {
		switch {
		case known.lastSeen == now:
			continue // connected, or listed just now
		case now-known.lastSeen >= forgetAfter:
			delete(a.entries, name)
			continue
		case now >= known.nextIntroduction:
			due[name] = known.addr
			known.nextIntroduction = now + backoff.Interval(dialRetryMin, dialRetryMax, known.attempts)
			known.attempts++
		}
		count++
	}
	return count, due
}

// recordIntroduction records that an introduction was delivered to an entry.
func (a *Agent) recordIntroduction(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known := a.entries[name]; known != nil {
		known.attempts = 0
		known.nextIntroduction = a.clock.now() + reintroduceInterval
	}
}

// introduceTo introduces the agent to an entry, which adds the agent and may connect to it. A
// failure after ctx is done is not logged and counts as delivered.
func (a *Agent) introduceTo(ctx context.Context, name, addr string) {
	if err := a.sendIntroduction(ctx, addr); err != nil && ctx.Err() == nil {
		a.log.Info(event.IntroductionFailed, "entry", name, "addr", addr, "error", err.Error())
		return
	}
	a.recordIntroduction(name)
}

func (a *Agent) sendIntroduction(ctx context.Context, addr string) error {
	raw, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer raw.Close()
	hello := &peer.Hello{Role: peer.RoleAgent, Name: a.settings.Name, Addr: a.settings.PeerAddr, Introduce: true}
	buf, err := peer.AppendFrame(nil, &peer.Frame{Hello: hello})
	if err != nil {
		return err
	}
	if err := raw.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return err
	}
	if _, err := raw.Write(buf); err != nil {
		return fmt.Errorf("write introduction: %w", err)
	}
	_, _ = raw.Read(make([]byte, 1)) // returns an error when the entry closes the connection
	return nil
}
