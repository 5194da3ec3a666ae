package entry

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/beaconpoint/beaconpoint/seats/clock"
	"github.com/beaconpoint/beaconpoint/seats/config"
	"github.com/beaconpoint/beaconpoint/seats/home"
	"github.com/beaconpoint/beaconpoint/seats/roster"
	"github.com/beaconpoint/beaconpoint/seats/store"
)

// Keys and intervals of the store.
const (
	configKey = "beaconpoint-config"
	rosterKey = "beaconpoint-roster-"
	// watchWait is how long one watch waits.
	watchWait = 30 * time.Second
	// storeBackoff is how long a failed call is followed by none, about.
	storeBackoff = 500 * time.Millisecond
	// hostsInterval is how often the host list is read.
	hostsInterval = time.Second
)

// post hands work to the goroutine that calls the store. When too much waits the work is not
// done, and the home asks again.
func (e *Entry) post(work func(context.Context)) {
	select {
	case e.work <- work:
	default:
		e.log.Error("store work dropped")
	}
}

func (e *Entry) storeWork(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case work := <-e.work:
			work(ctx)
		}
	}
}

func (e *Entry) rosterKey() string {
	return rosterKey + e.cfg.Region
}

// swapWork swaps the roster: it reads the key's revision, sees that the base
// still stands, and writes.
func (e *Entry) swapWork(h *home.Home, s home.Swap) func(context.Context) {
	return func(ctx context.Context) {
		outcome := e.swapRoster(ctx, s)
		e.log.Info("roster change", "change", s.Change, "base", s.Base, "outcome", outcome.String())
		e.forLife(h, func(now clock.Moment) home.Effects { return h.SwapEnded(now, s.Change, outcome) })
	}
}

func (e *Entry) swapRoster(ctx context.Context, s home.Swap) home.Outcome {
	r, key, err := e.getRoster(ctx)
	if err != nil {
		return home.Unknown
	}
	if r.Revision != s.Base {
		return home.Conflicted
	}
	raw, err := json.Marshal(s.Next)
	if err != nil {
		return home.Conflicted
	}
	_, err = e.store.Swap(ctx, e.rosterKey(), key, raw)
	switch {
	case err == nil:
		return home.Swapped
	case errors.Is(err, store.ErrConflict):
		return home.Conflicted
	}
	return home.Unknown
}

func (e *Entry) readWork(h *home.Home) func(context.Context) {
	return func(ctx context.Context) {
		r, _, err := e.getRoster(ctx)
		e.forLife(h, func(now clock.Moment) home.Effects { return h.RosterRead(now, r, err) })
	}
}

func (e *Entry) getRoster(ctx context.Context) (roster.Roster, uint64, error) {
	v, err := e.store.Get(ctx, e.rosterKey())
	if err != nil {
		return roster.Roster{}, 0, err
	}
	r, err := decodeRoster(v)
	return r, v.Revision, err
}

func decodeRoster(v store.Value) (roster.Roster, error) {
	var r roster.Roster
	if v.Revision == 0 {
		return r, nil
	}
	err := json.Unmarshal(v.Data, &r)
	return r, err
}

// watchRoster keeps a watch on the roster, so that a change is heard of even
// when whoever made it has died.
func (e *Entry) watchRoster(ctx context.Context) error {
	return e.watch(ctx, e.rosterKey(), func(v store.Value) error {
		r, err := decodeRoster(v)
		if err != nil {
			return err
		}
		e.do(func(now clock.Moment) home.Effects { return e.home.RosterRead(now, r, nil) })
		return nil
	})
}

// watchConfig keeps a watch on the operators' configuration.
func (e *Entry) watchConfig(ctx context.Context) error {
	return e.watch(ctx, configKey, func(v store.Value) error {
		var d config.Document
		if v.Revision > 0 {
			var err error
			if d, err = config.Decode(v.Data); err != nil {
				return err
			}
		}
		e.do(func(now clock.Moment) home.Effects { return e.home.Configure(now, d) })
		return nil
	})
}

func (e *Entry) watch(ctx context.Context, key string, take func(store.Value) error) error {
	var seen uint64
	for ctx.Err() == nil {
		v, err := e.store.Watch(ctx, key, seen, watchWait)
		if err == nil {
			seen = v.Revision
			err = take(v)
		}
		if err != nil && ctx.Err() == nil {
			e.log.Warn("watch failed", "key", key, "error", err)
			pause(ctx, storeBackoff/2+rand.N(storeBackoff))
		}
	}
	return nil
}

// watchHosts reads the host list, and gives nothing new to the agents of hosts
// that are leaving.
func (e *Entry) watchHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, hostsInterval/2+rand.N(hostsInterval))
		hosts, err := e.store.Hosts(ctx)
		if err != nil {
			continue
		}
		leaving := make(map[string]bool)
		for _, h := range hosts {
			leaving[h.Name] = h.State == store.HostLeaving
		}
		e.do(func(now clock.Moment) home.Effects { return e.home.HostsLeaving(now, leaving) })
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
