package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/beaconpoint/beaconpoint/evacuation"
	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/routing"
)

// Times of the configuration.
const (
	// minWatchWait is how long the store may hold back the answer to a watch at the least: a
	// cut that nobody notices hides changes no longer than that. Not measured.
	minWatchWait = time.Second
	// watchesPerSecond is how many watches a second all entries begin together, so that the
	// store's calls do not grow with the fleet, and maxWatchWait the longest wait that comes of
	// it: all watches may miss a change at once, where the store forgets its history, and an
	// entry must have it 5 s later. The waits are drawn, from half of the longest on: so the
	// first watch that ends tells of what the others have missed, and agents hand it on within
	// an idle heartbeat. Without that all ended together, and 184 entries with waits of 10 s
	// had a change in force 5.9 s after it. At 1 s each they made 12,300 of the 18,157 calls of a quiet day
	// of 67 s.
	watchesPerSecond = 32
	maxWatchWait     = 4 * time.Second
	// absentRetry is how long after the store had no configuration it is asked
	// again. Not measured.
	absentRetry = 200 * time.Millisecond
	// firstConfigTime is for how long after its start an entry has requests wait
	// for the first configuration, which is on its way then. Not measured.
	firstConfigTime = 400 * time.Millisecond
)

// fromStore says in log lines that the store told of something, and not an agent.
const fromStore = "store"

// watchConfig applies the configuration from its source as it is and as it changes,
// until the context ends.
func (e *Entry) watchConfig(ctx context.Context) {
	read := &storeCall{name: "config", log: e.log}
	watch := &storeCall{name: "watch", log: e.log}
	observer := ConfigObserver{Document: e.applyDocument, Evacuations: e.applyEvacuations, Evacuation: e.applyEvacuation, Process: e.applyProcess}
	var at uint64 // the store's revision; zero: read anew
	for ctx.Err() == nil {
		if at == 0 {
			if at = e.readConfig(ctx, read, observer); at > 0 {
				notify(e.relist) // what the directory has changed before is not told
			}
			continue
		}
		wait := e.watchWait(watch.failures)
		watch.try(ctx, wait, func(ctx context.Context) error {
			next, err := e.source.Watch(ctx, at, wait, observer)
			if err == nil {
				at = next
			}
			return err
		})
	}
}

// watchWait returns how long the store may hold back the answer to the next watch: the longer
// the more entries watch, but not after a failure, when a change may be due.
func (e *Entry) watchWait(failures int) time.Duration {
	if failures > 0 {
		return minWatchWait
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	share := time.Duration(len(e.reach.entries)) * time.Second / watchesPerSecond
	longest := min(max(share, minWatchWait), maxWatchWait)
	return longest - rand.N(min(longest/2, longest-minWatchWait)+1)
}

// readConfig reads the configuration and returns the revision to watch from, zero
// where none was read.
func (e *Entry) readConfig(ctx context.Context, call *storeCall, observer ConfigObserver) uint64 {
	var at uint64
	done := call.try(ctx, 0, func(ctx context.Context) error {
		var err error
		at, err = e.source.Read(ctx, observer)
		return err
	})
	if done && at == 0 {
		sleep(ctx, absentRetry) // the operator has written none yet
	}
	return at
}

// applyDocument puts a configuration document from the store or from an agent in
// force, if it is newer than the one that is.
func (e *Entry) applyDocument(text []byte) {
	e.apply(document{plain: text})
}

// apply is applyDocument for a document in any of its forms.
func (e *Entry) apply(doc document) {
	text, err := doc.text()
	if err != nil {
		e.log.Error(event.DocumentUnreadable, "error", err.Error())
		return
	}
	table, err := e.source.Parse(text)
	if err != nil {
		e.log.Error(event.ConfigRefused, "why", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.table.Load()
	if old != nil && old.Version >= table.Version {
		return
	}
	e.document = doc
	e.documentRequest = documentRequest{}
	e.table.Store(table)
	if old == nil {
		close(e.configured)
	}
	e.log.Info(event.ConfigTaken, "version", table.Version, "queues", len(table.Queues))
}

// applyEvacuations applies the evacuated halls as the store has them.
func (e *Entry) applyEvacuations(set evacuation.Set) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.owner.Evacuate(e.clock.now(), set, fromStore)
}

// applyEvacuation applies one change of the evacuated halls, from the watch of the store.
func (e *Entry) applyEvacuation(revision uint64, hall string, evacuated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.owner.Evacuate(e.clock.now(), e.owner.Evacuations().With(revision, hall, evacuated), fromStore)
}

// evacuations returns how many halls, and known targets in them, are evacuated.
func (e *Entry) evacuations() (halls, targets int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.owner.Evacuations().Halls), e.owner.EvacuatedTargets()
}

// AwaitTable returns the configuration in force. Where there is none it waits for one,
// but only while the entry has just started; after that it returns nil at once.
func (e *Entry) AwaitTable(ctx context.Context) *routing.Table {
	left := firstConfigTime - (e.clock.now() - e.startedAt)
	if table := e.table.Load(); table != nil || left <= 0 {
		return table
	}
	e.waited.Do(func() { e.log.Info(event.ConfigAwaited, "left_ms", left.Milliseconds()) })
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-e.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
	return e.table.Load()
}

// version returns the version of the configuration in force, zero where there is
// none.
func (e *Entry) version() uint64 {
	if t := e.table.Load(); t != nil {
		return t.Version
	}
	return 0
}
