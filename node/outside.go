// Package node runs the two roles of the system as processes: Entry wraps the state machine of
// package owner, Agent that of package supervisor.
//
// The package manages goroutines, clocks, connections and the configuration in force. It decides
// when to dial, introduce or forget a process, when to send a configuration document, and when a
// pause of the process excuses the silence of peers. Decisions about jobs and runs are made by the
// state machines. External systems are accessed through the function fields of Directory,
// ConfigSource and TargetCalls, which package platform provides.
//
//	outside.go           access to external systems
//	entry.go, agent.go   the processes: components, startup and shutdown
//	clock.go, pause.go   the clock of a process, and detection of its pauses
//	subset.go            the set of agents that an entry connects to
//	link.go, session.go  connections, on the entry's and on the agent's side
//	introduce.go         introduction of an agent to entries
//	renewal.go           renewal of the target's lease, and other calls to the target
//	spec.go              exchange of job specs between agents
//	configure.go         reading the configuration from the store
//	document.go, zip.go  exchange of the configuration between processes, and its compression
//	retry.go             retried calls to the store
//	metrics.go           metrics
//
// Each state machine is guarded by one lock. Its function fields are called with the lock held;
// they start goroutines or queue frames and never block.
package node

import (
	"context"
	"time"

	"github.com/beaconpoint/beaconpoint/evacuation"
	"github.com/beaconpoint/beaconpoint/peer"
	"github.com/beaconpoint/beaconpoint/routing"
	"github.com/beaconpoint/beaconpoint/supervisor"
)

// Registration is the name of a process and the address on which it accepts peers.
type Registration struct {
	Name string
	Addr string // "IP:port"
}

// Directory is the registry in which processes find each other. Registrations do not expire
// when a process ends. A call that returns an error may still have taken effect.
type Directory struct {
	// Register adds a process or updates its address.
	Register func(ctx context.Context, role peer.Role, r Registration) error
	// Unregister removes a process, unless it has registered another address in the meantime.
	Unregister func(ctx context.Context, role peer.Role, r Registration) error
	// List returns the processes of a role. The list may be some seconds old. With an error it
	// may be partial.
	List func(ctx context.Context, role peer.Role) ([]Registration, error)
}

// ConfigSource provides the operators' configuration and their evacuation requests.
type ConfigSource struct {
	// Read passes the current state to the observer and returns the revision to watch from,
	// zero if nothing has been written yet.
	Read func(ctx context.Context, o StoreObserver) (uint64, error)
	// Watch waits up to the given time for changes after a revision and passes them to the
	// observer. It returns the revision to continue from. Zero means that the history is no
	// longer available and Read must be called.
	Watch func(ctx context.Context, at uint64, wait time.Duration, o StoreObserver) (uint64, error)
	// Parse parses a configuration document.
	Parse func(document []byte) (*routing.Table, error)
}

// StoreObserver has the callbacks for the configuration, the evacuated halls and the directory in
// the store, and for changes to them. All fields must be set.
type StoreObserver struct {
	// Document receives the configuration document.
	Document func(text []byte)
	// Evacuations receives the complete set of evacuated halls at a revision.
	Evacuations func(evacuation.Set)
	// Evacuation receives a single change: at the revision, the evacuation of a hall was
	// requested or revoked. Changes arrive in the order of their revisions.
	Evacuation func(revision uint64, hall string, evacuated bool)
	// Process receives a single change of the directory: a process has registered, or, if gone
	// is true, its name was removed.
	Process func(role peer.Role, r Registration, gone bool)
}

// TargetCalls are the calls from an agent to its target. Each returns within about a second. A
// call without an answer returns a reply that holds the error.
type TargetCalls struct {
	Start func(supervisor.StartCall) supervisor.Reply
	Stop  func(supervisor.StopCall) supervisor.Reply
	// Renew returns the target's run lists if the renewal was accepted.
	Renew func(supervisor.RenewCall) (supervisor.Reply, *supervisor.RunLists)
}
