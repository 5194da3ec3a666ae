package node

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/routing"
	"github.com/beaconpoint/beaconpoint/settings"
)

// fakeStore is a store that is silent or rejects calls until availableAt, and then answers
// after delay.
type fakeStore struct {
	availableAt time.Time
	rejects     bool
	delay       time.Duration
	calls       int
}

var errStoreDown = errors.New("the store is down")

// call simulates one call. A call made while the store is silent gets no answer.
func (s *fakeStore) call(ctx context.Context) error {
	s.calls++
	down := time.Now().Before(s.availableAt)
	switch {
	case down && s.rejects:
		return errStoreDown
	case down:
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(s.delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// recoveryDelay starts a call while the store is down for the given time. It returns how long after
// the recovery the call succeeds.
func recoveryDelay(t *testing.T, s fakeStore, down time.Duration) time.Duration {
	t.Helper()
	s.availableAt = time.Now().Add(down)
	retryUntilDone(t.Context(), slog.New(slog.DiscardHandler), "list", s.call)
	return time.Since(s.availableAt)
}

// TestCallSucceedsSoonAfterStoreRecovers guards against long waits for attempts that were lost
// while the store was silent.
func TestCallSucceedsSoonAfterStoreRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assert.Assert(t, recoveryDelay(t, fakeStore{}, 20*time.Millisecond) <= 280*time.Millisecond)
		for down := 100 * time.Millisecond; down < 12*time.Second; down += 170 * time.Millisecond {
			late := recoveryDelay(t, fakeStore{}, down)
			assert.Assert(t, late <= 950*time.Millisecond, "down for %v, late by %v", down, late)
		}
	})
}

// TestCallsToRejectingStoreBackOff guards against overloading a store that rejects calls at once:
// the interval must grow to storeRetryMax, that is 20 calls in 10 s besides the first ones.
func TestCallsToRejectingStoreBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rejects: true, availableAt: time.Now().Add(10 * time.Second)}
		retryUntilDone(t.Context(), slog.New(slog.DiscardHandler), "list", s.call)
		assert.Assert(t, s.calls <= 26, "%d calls", s.calls)
		assert.Assert(t, time.Since(s.availableAt) <= storeRetryMax)
	})
}

// TestCallToSlowStoreSucceeds guards against timeouts that are too short for a slow store.
func TestCallToSlowStoreSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assert.Assert(t, recoveryDelay(t, fakeStore{delay: 800 * time.Millisecond}, 0) < 3*time.Second)
	})
}

// newTestEntry returns an entry that reads its configuration and directory from the store.
func newTestEntry(s *fakeStore) *Entry {
	source := ConfigSource{
		Read: func(ctx context.Context, o StoreObserver) (uint64, error) {
			if err := s.call(ctx); err != nil {
				return 0, err
			}
			o.Document([]byte("1"))
			return 1, nil
		},
		Watch: func(ctx context.Context, at uint64, wait time.Duration, _ StoreObserver) (uint64, error) {
			if !sleep(ctx, wait) {
				return at, ctx.Err()
			}
			return at, s.call(ctx)
		},
		Parse: func(document []byte) (*routing.Table, error) {
			return &routing.Table{Version: uint64(len(document))}, nil
		},
	}
	directory := Directory{
		Register: func(ctx context.Context, _ peer.Role, _ Registration) error { return s.call(ctx) },
		List:     func(ctx context.Context, _ peer.Role) ([]Registration, error) { return nil, s.call(ctx) },
	}
	e := NewEntry(settings.DefaultNode(), directory, source, slog.New(slog.DiscardHandler))
	e.clock = virtualClock()
	e.startedAt = e.clock.now()
	return e
}

// TestRequestsWaitForFirstConfig guards against refusing requests, which is final for the
// caller, while the first configuration is being read.
func TestRequestsWaitForFirstConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer end()
		s := &fakeStore{availableAt: time.Now().Add(30 * time.Millisecond)}
		e := newTestEntry(s)
		began := time.Now()
		go e.watchConfig(ctx)
		assert.Assert(t, e.AwaitConfig(ctx) != nil)
		assert.Assert(t, time.Since(began) < firstConfigTimeout)
		end()
		synctest.Wait()
	})
}

// TestRequestsStopWaitingForAbsentConfig guards against requests that wait for a configuration longer
// than until firstConfigTimeout after startup.
func TestRequestsStopWaitingForAbsentConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer end()
		e := newTestEntry(&fakeStore{availableAt: time.Now().Add(time.Hour)})
		go e.watchConfig(ctx)
		began := time.Now()
		assert.Assert(t, e.AwaitConfig(ctx) == nil)
		assert.Equal(t, time.Since(began), firstConfigTimeout)
		began = time.Now()
		assert.Assert(t, e.AwaitConfig(ctx) == nil)
		assert.Equal(t, time.Since(began), time.Duration(0))
		end()
		synctest.Wait()
	})
}
