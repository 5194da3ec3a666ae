// Package node runs the two roles of the system as processes: the goroutines,
// clocks and connections around the state machines of packages owner and
// worker. What lies outside the system is reached by function fields.
package node

import (
	"context"
	"time"

	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/routing"
	"github.com/beaconpoint/beaconpoint/supervisor"
)

// Registration is a process that has registered itself.
type Registration struct {
	Name string
	Addr string
}

// Directory is where processes find each other. Members stay registered when
// they are gone.
type Directory struct {
	// Register makes a process known.
	Register func(ctx context.Context, role peer.Role, m Registration) error
	// Forget removes a process, unless it has registered another address
	// meanwhile.
	Forget func(ctx context.Context, role peer.Role, m Registration) error
	// List returns the processes of a role; it may be some seconds old.
	List func(ctx context.Context, role peer.Role) ([]Registration, error)
}

// ConfigSource is where the operators' configuration comes from.
type ConfigSource struct {
	// Read hands the present document to take and returns the revision to
	// watch from, zero where there is no document yet.
	Read func(ctx context.Context, take func(document []byte)) (uint64, error)
	// Watch waits for changes after a revision, for the given time at most,
	// hands them to take, and returns the revision to go on from; zero means
	// that the history is gone and Read is due.
	Watch func(ctx context.Context, at uint64, wait time.Duration, take func(document []byte)) (uint64, error)
	// Parse reads a document.
	Parse func(document []byte) (*routing.Table, error)
}

// TargetCalls carries orders to the worker beside an agent. Each call returns
// within about a second.
type TargetCalls struct {
	Start func(supervisor.StartCall) supervisor.Reply
	Stop  func(supervisor.StopCall) supervisor.Reply
	Renew func(supervisor.RenewCall) (supervisor.Reply, *supervisor.RunLists)
}

// Times of a process.
const (
	// heartbeatInterval is how often a connection carries a frame at least.
	heartbeatInterval = 110 * time.Millisecond
	// entryTick and agentTick are how often the state machines look at time.
	entryTick = 20 * time.Millisecond
	agentTick = 30 * time.Millisecond
	// peerSilence is how long a peer may be silent before its connection is
	// given up.
	peerSilence = 800 * time.Millisecond
	// dialTimeout bounds the making of a connection.
	dialTimeout = 500 * time.Millisecond
	// dialRetry and dialRetryMax are how long after a failed try a peer is
	// called again, at first and at most.
	dialRetry    = 40 * time.Millisecond
	dialRetryMax = 2 * time.Second
	// listInterval is how often the directory is read for what was missed.
	listInterval = 10 * time.Second
	// forgetTime is how long an agent can't be reached before it is taken to
	// be gone for good; one that lives registers anew.
	forgetTime = 2 * time.Minute
	// aloneTime is how long an agent is without an entry before it registers
	// anew; lonePoll is how often it looks.
	aloneTime = 3 * time.Second
	alonePoll = 500 * time.Millisecond
)

// steadyClock is a process's own clock. It begins at one second, so that zero never
// counts as a time.
type steadyClock struct{ began time.Time }

func newSteadyClock() steadyClock {
	return steadyClock{began: time.Now().Add(-time.Second)}
}

func (s steadyClock) now() time.Duration {
	return time.Since(s.began)
}

// sleep waits, and reports whether the context still runs.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
