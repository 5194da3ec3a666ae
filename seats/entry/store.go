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

// Keys and timing of store calls.
const (
	configKey       = "beaconpoint-config"
	rosterKeyPrefix = "beaconpoint-roster-"
	// watchTimeout is the long-poll timeout of one watch call.
	watchTimeout = 30 * time.Second
	// storeBackoff is the mean pause after a failed watch call.
	storeBackoff = 500 * time.Millisecond
	// hostsInterval is the mean interval at which the host list is read.
	hostsInterval = time.Second
)

// queueStoreCall queues a call for runStoreCalls. It drops the call if the queue
// is full.
func (e *Entry) queueStoreCall(call func(context.Context)) {
	select {
	case e.storeCalls <- call:
	default:
		e.log.Error("store call dropped, queue is full")
	}
}

func (e *Entry) runStoreCalls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case call := <-e.storeCalls:
			call(ctx)
		}
	}
}

func (e *Entry) rosterKey() string {
	return rosterKeyPrefix + e.cfg.Region
}

// swapCall returns the store call that swaps the roster and reports the outcome
// to h.
func (e *Entry) swapCall(h *home.Home, s home.Swap) func(context.Context) {
	return func(ctx context.Context) {
		outcome := e.swapRoster(ctx, s)
		e.log.Info("roster swap ended", "change", s.Change, "base", s.Base, "outcome", outcome.String())
		e.handleEventFor(h, func(now clock.Moment) home.Effects { return h.SwapEnded(now, s.Change, outcome) })
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

func (e *Entry) readCall(h *home.Home) func(context.Context) {
	return func(ctx context.Context) {
		r, _, err := e.getRoster(ctx)
		e.handleEventFor(h, func(now clock.Moment) home.Effects { return h.RosterRead(now, r, err) })
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

// watchRoster watches the roster in the store, so that a change arrives even if
// the entry that made it has failed.
func (e *Entry) watchRoster(ctx context.Context) error {
	return e.watch(ctx, e.rosterKey(), func(v store.Value) error {
		r, err := decodeRoster(v)
		if err != nil {
			return err
		}
		e.handleEvent(func(now clock.Moment) home.Effects { return e.home.RosterRead(now, r, nil) })
		return nil
	})
}

// watchConfig watches the operators' configuration in the store.
func (e *Entry) watchConfig(ctx context.Context) error {
	return e.watch(ctx, configKey, func(v store.Value) error {
		var d config.Document
		if v.Revision > 0 {
			var err error
			if d, err = config.Decode(v.Data); err != nil {
				return err
			}
		}
		e.handleEvent(func(now clock.Moment) home.Effects { return e.home.Configure(now, d) })
		return nil
	})
}

func (e *Entry) watch(ctx context.Context, key string, handle func(store.Value) error) error {
	var revision uint64
	for ctx.Err() == nil {
		v, err := e.store.Watch(ctx, key, revision, watchTimeout)
		if err == nil {
			revision = v.Revision
			err = handle(v)
		}
		if err != nil && ctx.Err() == nil {
			e.log.Warn("store watch failed", "key", key, "error", err)
			sleep(ctx, storeBackoff/2+rand.N(storeBackoff))
		}
	}
	return nil
}

// watchHosts polls the host list. Agents on hosts that are leaving get no new
// tasks.
func (e *Entry) watchHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, hostsInterval/2+rand.N(hostsInterval))
		hosts, err := e.store.Hosts(ctx)
		if err != nil {
			continue
		}
		leaving := make(map[string]bool)
		for _, h := range hosts {
			leaving[h.Name] = h.State == store.HostLeaving
		}
		e.handleEvent(func(now clock.Moment) home.Effects { return e.home.HostsLeaving(now, leaving) })
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
