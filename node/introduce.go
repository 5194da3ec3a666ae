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

// An agent without any entry for aloneTime registers anew; alonePoll is how often it
// looks. Not measured.
const (
	aloneTime = 3 * time.Second
	alonePoll = 500 * time.Millisecond
)

// maxIntroductions is how many of the entries that the directory names an agent makes itself known
// to: with more entries the others learn of it from the directory. Smaller fleets have no more.
const maxIntroductions = 16

// introducedTime is how long after an introduction an entry that has not called back gets the next
// one: it may have restarted since, or not want this agent. Not measured.
const introducedTime = 10 * time.Second

// knownEntry is an entry that this agent should be known to.
type knownEntry struct {
	addr string
	// lostAt is since when it has not been connected: after forgetTime it is forgotten.
	lostAt time.Duration
	tries  int           // introductions in a row that failed
	due    time.Duration // when the next one is
}

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

// addEntries adds entries that the directory names, maxIntroductions of them at random where there
// are more.
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

// addEntry makes an entry known, which may be connected. It is called with the lock held.
func (a *Agent) addEntry(now time.Duration, r Registration) {
	if known := a.entries[r.Name]; known != nil && known.addr == r.Addr {
		known.lostAt = now
		return
	}
	a.entries[r.Name] = &knownEntry{addr: r.Addr, lostAt: now}
}

// connected returns how many entries are connected.
func (a *Agent) connected() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

// introduce makes the agent known to entries that have no connection here, until
// they call back or are forgotten: so an entry that has restarted finds its agents while the
// store is down.
func (a *Agent) introduce(ctx context.Context) error {
	for sleep(ctx, dialRetry) {
		missing, due := a.missing()
		for name, addr := range due {
			go a.introduceTo(ctx, name, addr)
		}
		if missing > 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-a.entryMissing:
		}
	}
	return nil
}

// missing returns how many entries are known and not connected, and the addresses of those that an
// introduction is due to. Entries that were missing for too long are forgotten.
func (a *Agent) missing() (count int, due map[string]string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	for _, c := range a.conns {
		if known := a.entries[c.name]; known != nil {
			known.lostAt, known.tries, known.due = now, 0, now
		}
	}
	due = make(map[string]string)
	for name, known := range a.entries {
		switch {
		case known.lostAt == now:
			continue
		case now-known.lostAt >= forgetTime:
			delete(a.entries, name)
			continue
		case now >= known.due:
			due[name] = known.addr
			known.due = now + backoff.Interval(dialRetry, dialRetryMax, known.tries)
			known.tries++
		}
		count++
	}
	return count, due
}

// introduced records that an entry has got an introduction.
func (a *Agent) introduced(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known := a.entries[name]; known != nil {
		known.tries = 0
		known.due = a.clock.now() + introducedTime
	}
}

// introduceTo tells one entry where this agent is. The entry calls back and closes.
func (a *Agent) introduceTo(ctx context.Context, name, addr string) {
	if err := a.sendIntroduction(ctx, addr); err != nil && ctx.Err() == nil {
		a.log.Info(event.IntroductionFailed, "entry", name, "addr", addr, "error", err.Error())
		return
	}
	a.introduced(name)
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
