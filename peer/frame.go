// Package peer implements the protocol between entries and agents: frames of msgpack over TCP,
// with the timestamps on which leases are based.
//
// Structs are encoded as maps from field names to non-empty fields. A receiver skips unknown
// names, so fields can be added while processes of the previous version are running; see
// docs/design/frames.md. testdata/frames.golden pins the encoding. Frames of the previous
// version are arrays and are decoded in array.go.
package peer

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/beaconpoint/beaconpoint/claim"
	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/evacuation"
	"github.com/beaconpoint/beaconpoint/framing"
	"github.com/beaconpoint/beaconpoint/task"
)

// maxFrameBytes is the maximum size of a frame without its length prefix.
const maxFrameBytes = 4 << 20

// ErrFrameSize is returned for frames larger than maxFrameBytes.
var ErrFrameSize = framing.ErrSize

// Frame is one message. All fields are optional; a frame without content serves as a heartbeat.
type Frame struct {
	// Stamp is the sender's clock when the frame is sent.
	Stamp time.Duration
	// Echo is a lower bound of the receiver's clock when the frame is sent, derived from the
	// latest stamp received from it (see type Echo). An agent echoes the stamp itself. The
	// lease that the receiver grants to the sender is measured from Echo.
	Echo time.Duration
	// Seq is the sequence number of the frame in its direction of the connection, starting at
	// 1.
	Seq uint64
	// Config is the version of the newest configuration known to the sender.
	Config uint64

	// Hello is set in the first frame of each direction of a connection.
	Hello *Hello
	// Document is the configuration document, sent to a peer that requested it.
	Document []byte
	// DocumentZip is the document compressed with gzip, on connections of LevelRelay or newer.
	DocumentZip []byte
	// AskDocument requests the receiver's configuration document.
	AskDocument bool
	// Evacuations is the set of evacuated data halls. It is set if the sender has a later
	// revision than any sent or received on the connection. The previous version ignores it.
	Evacuations *evacuation.Set

	// Fields sent by entries.
	//
	// Starts and Stops are the runs to start and to stop. UsedReservation is the ID of the
	// reservation that this frame uses or releases, zero if none. RoomRequest is the capacity
	// that the entry still needs.
	Starts          []task.Order
	Stops           []task.Ref
	UsedReservation uint64
	RoomRequest     *RoomRequest
	// Watch starts or ends the entry's watch of the target, on connections of LevelWatch or
	// newer. Only watching entries are sent each change of the target's free capacity.
	Watch Watch
	// Claims and Settled are messages to the agent as home of jobs, on connections of
	// LevelClaim.
	Claims  []claim.Claim
	Settled []claim.Settlement

	// AskSpec and GiveSpec are sent between agents: the job whose spec is requested, and the
	// answer.
	AskSpec  string
	GiveSpec *GivenSpec

	// State, Ended and Reservation are sent by agents: the state of the target, the ends of
	// runs, and capacity reserved for the receiver.
	State       *State
	Ended       []Ended
	Reservation *Reservation
	// Crashed holds runs that were reported as lapsed and later found to have been executing
	// when the target crashed. The previous version ignores it.
	Crashed []task.Ref
	// Claimed and Interests are messages from the agent as home of jobs.
	Claimed   []claim.Reply
	Interests []claim.Interest
}

// Role is the role of a process.
type Role string

const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Hello identifies a process to its peer.
type Hello struct {
	Role Role
	Name string // unique in the system
	// Addr is the address on which the process accepts connections from peers.
	Addr string
	// Introduce marks an introduction: the receiver opens a connection to the sender's address,
	// and this connection is closed.
	Introduce bool
	// Level is the newest protocol level that the sender supports. It is LevelBase for versions
	// that do not send it.
	Level Level
	// Boot distinguishes restarts of the same entry.
	Boot uint64
	// Fleet is the number of agents known to an entry. An agent sends the highest number
	// received, so that an entry that finds few agents while the store is down does not
	// underestimate the fleet. The previous version ignores it.
	Fleet int
}

// Level is a revision of the protocol between entries and agents. A connection uses the lower
// level of its two sides.
type Level int

const (
	// LevelBase sends a heartbeat every HeartbeatInterval in both directions, all state
	// updates, and the spec in each order.
	LevelBase Level = iota
	// LevelWatch adds watches: entries watch the agents that they use, and other connections
	// carry a heartbeat every IdleHeartbeatInterval. The spec of a job is sent to an agent once.
	LevelWatch
	// LevelRelay lets agents fetch specs from each other: an order may name an agent that has the
	// spec instead of carrying it. Documents are compressed.
	LevelRelay
	// LevelClaim adds claims: entries claim jobs at agents before they start them.
	LevelClaim
	// LevelNewest is the newest level supported by this version.
	LevelNewest = LevelClaim
)

// Watch is a change to an entry's watch of a target.
type Watch uint8

const (
	WatchUnchanged Watch = iota
	WatchBegins
	WatchEnds
)

// GivenSpec is an agent's answer to another agent's request for a spec.
type GivenSpec struct {
	// Known reports whether the agent has the spec.
	Known bool
	Spec  string
}

// RoomRequest asks an agent to reserve capacity for tasks that wait at the sender.
type RoomRequest struct {
	// Slack is how long the most urgent task can wait. An agent serves the request with the
	// least slack first.
	Slack time.Duration
	// Needs is the resource demand of that task.
	Needs task.Needs
	// Total is the demand of all waiting tasks, limited to the target's capacity.
	Total task.Needs
}

// Reservation is capacity that an agent reserves for the receiver for a short time.
type Reservation struct {
	ID   uint64 // increases from 1
	Room task.Needs
}

// Profile is the part of a target's state that rarely changes.
type Profile struct {
	// Target is the ID of the target's incarnation, empty if unknown.
	Target  string
	Service string
	Hall    string
	Labels  []string
	// Capacity is the target's total capacity.
	Capacity task.Needs
}

// Equal reports whether p and o are equal.
func (p Profile) Equal(o Profile) bool {
	return p.Target == o.Target && p.Service == o.Service && p.Hall == o.Hall &&
		p.Capacity == o.Capacity && slices.Equal(p.Labels, o.Labels)
}

// State is the state of an agent's target as presented to the receiver.
type State struct {
	// Profile is nil if it has not changed since the last state on the connection.
	Profile *Profile
	// Free is the capacity that the receiver may use.
	Free task.Needs
	// Speed is the target's estimated relative speed; 1 is normal.
	Speed float64
	// Health reports whether the target is ejected.
	Health Health
	// Accepting reports whether the target accepts work.
	Accepting bool
	// Cleared reports that no runs from earlier connections of the receiver are left on the
	// target.
	Cleared bool
	// SeenSeq is the sequence number of the receiver's last frame that this state reflects.
	SeenSeq uint64
}

// Health is the result of outlier detection on a target.
type Health uint8

const (
	// Healthy is the normal state.
	Healthy Health = iota
	// Ejected targets receive single probes only.
	Ejected
)

// Ended reports the end of a run.
type Ended struct {
	Ref task.Ref
	End task.End
	// Reason is how the end was determined, or why the run did not start.
	Reason code.Code
	// Took is the execution time of the run, on the agent's clock.
	Took time.Duration
	// TargetFault reports whether a failure is attributed to the target rather than to the
	// task.
	TargetFault bool
}

// AppendFrame appends f with its length prefix to buf.
func AppendFrame(buf []byte, f *Frame) ([]byte, error) {
	return framing.Append(buf, maxFrameBytes, framing.Maps, f)
}

// ReadFrame reads one frame. It checks the size before allocating memory.
func ReadFrame(r io.Reader) (*Frame, error) {
	body, err := framing.Read(r, maxFrameBytes)
	if err != nil {
		return nil, err
	}
	return DecodeFrame(body)
}

// DecodeFrame decodes a frame without its length prefix, in the encoding of this or the
// previous version.
func DecodeFrame(body []byte) (*Frame, error) {
	if isArray(body) {
		return decodeArray(body)
	}
	f := new(Frame)
	if err := msgpack.Unmarshal(body, f); err != nil {
		return nil, fmt.Errorf("peer: decode frame: %w", err)
	}
	return f, nil
}
