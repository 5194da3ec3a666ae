package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/beaconpoint/beaconpoint/evacuation"
	"github.com/beaconpoint/beaconpoint/event"
	"github.com/beaconpoint/beaconpoint/routing"
)

// Timing of configuration reads and watches.
const (
	// minWatchWait is the shortest wait of a watch of the store, and the wait after a failed one.
	minWatchWait = time.Second
	// watchesPerSecond is how many watches all entries together start per second at the longest
	// wait. It bounds the load on the store as long as the wait is less than maxWatchWait.
	watchesPerSecond = 32
	// maxWatchWait is the longest wait of a watch. If the store has dropped its history, a watch
	// can miss a change, which an entry must apply within 5 s.
	maxWatchWait = 4 * time.Second
	// absentConfigRetry is the interval at which the store is read while it has no
	// configuration.
	absentConfigRetry = 200 * time.Millisecond
	// firstConfigTimeout is how long after startup requests wait for the first configuration.
	firstConfigTimeout = 400 * time.Millisecond
)

// fromStore is the source in log lines about changes that were read from the store.
const fromStore = "store"

// watchConfig applies the configuration from its source, and changes to it, until ctx is done.
func (e *Entry) watchConfig(ctx context.Context) {
	read := &storeRetrier{name: "config", log: e.log}
	watch := &storeRetrier{name: "watch", log: e.log}
	observer := StoreObserver{Document: e.applyDocument, Evacuations: e.applyEvacuations,
		Evacuation: e.applyEvacuation, Process: e.applyProcess}
	var revision uint64 // of the store; zero if the configuration must be read again
	for ctx.Err() == nil {
		if revision == 0 {
			if revision = e.readConfig(ctx, read, observer); revision > 0 {
				notify(e.relist) // the watch does not report earlier changes to the directory
			}
			continue
		}
		wait := e.watchWait(watch.failures)
		watch.attempt(ctx, wait, func(ctx context.Context) error {
			next, err := e.source.Watch(ctx, revision, wait, observer)
			if err == nil {
				revision = next
			}
			return err
		})
	}
}

// watchWait returns how long the next watch of the store may stay open. The wait grows with the
// number of entries. After a failure it is minWatchWait, since a change may be pending. Otherwise
// it is randomized over up to half of its length, so that watches end at different times: if they
// miss a change, the entry whose watch ends first reads it, and agents pass it on to the others.
func (e *Entry) watchWait(failures int) time.Duration {
	if failures > 0 {
		return minWatchWait
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	wait := time.Duration(len(e.subset.entries)) * time.Second / watchesPerSecond
	longest := min(max(wait, minWatchWait), maxWatchWait)
	return longest - rand.N(min(longest/2, longest-minWatchWait)+1)
}

// readConfig reads the configuration and returns the revision to watch from, zero if none was
// read.
func (e *Entry) readConfig(ctx context.Context, retrier *storeRetrier, observer StoreObserver) uint64 {
	var revision uint64
	done := retrier.attempt(ctx, 0, func(ctx context.Context) error {
		var err error
		revision, err = e.source.Read(ctx, observer)
		return err
	})
	if done && revision == 0 {
		sleep(ctx, absentConfigRetry) // no configuration has been written yet
	}
	return revision
}

// applyDocument puts a configuration document in force if it is newer than the current one.
func (e *Entry) applyDocument(text []byte) {
	e.apply(document{plain: text})
}

// apply is like applyDocument but also accepts a compressed document.
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

// applyEvacuations replaces the set of evacuated halls with the one read from the store.
func (e *Entry) applyEvacuations(set evacuation.Set) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.owner.Evacuate(e.clock.now(), set, fromStore)
}

// applyEvacuation applies a single change of the evacuated halls, reported by the store's
// watch.
func (e *Entry) applyEvacuation(revision uint64, hall string, evacuated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.owner.Evacuate(e.clock.now(), e.owner.Evacuations().With(revision, hall, evacuated), fromStore)
}

// evacuations returns the number of evacuated halls and of known targets in them.
func (e *Entry) evacuations() (halls, targets int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.owner.Evacuations().Halls), e.owner.EvacuatedTargets()
}

// AwaitConfig returns the configuration in force. If there is none, it waits for one until
// firstConfigTimeout after startup or until ctx is done, and returns nil if none has arrived. After
// firstConfigTimeout it does not wait.
func (e *Entry) AwaitConfig(ctx context.Context) *routing.Table {
	left := firstConfigTimeout - (e.clock.now() - e.startedAt)
	if table := e.table.Load(); table != nil || left <= 0 {
		return table
	}
	e.logAwaitOnce.Do(func() { e.log.Info(event.ConfigAwaited, "left_ms", left.Milliseconds()) })
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-e.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
	return e.table.Load()
}

// version returns the version of the configuration in force, zero if there is none.
func (e *Entry) version() uint64 {
	if t := e.table.Load(); t != nil {
		return t.Version
	}
	return 0
}
