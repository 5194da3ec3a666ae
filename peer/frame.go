// Package peer implements the protocol between entries and agents: frames of msgpack over TCP,
// with the timestamps on which leases are based.
//
// Structs are encoded as maps from field names to non-empty fields. A receiver skips unknown
// names, so fields can be added while processes of the previous version are running; see
// docs/design/frames.md. testdata/frames.golden pins the encoding. Peers of LevelBase send frames
// as arrays, which array.go decodes.
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

// ErrFrameSize is returned for frames larger than maxFrameBytes. It is the same as framing.ErrSize.
var ErrFrameSize = framing.ErrSize

// Frame is one message. All fields are optional; a frame without content serves as a heartbeat.
type Frame struct {
	// Stamp is the sender's clock when the frame is sent, zero if the frame is not stamped.
	Stamp time.Duration
	// Echo is a lower bound of the receiver's clock when the frame is sent. An entry derives it
	// from the latest stamp with type PeerClock; an agent returns the latest stamp unchanged. The
	// agent measures the lease that it grants to the entry from Echo.
	Echo time.Duration
	// Seq is the sequence number of the frame in its direction of the connection, starting at
	// 1.
	Seq uint64
	// Config is the version of the sender's configuration, zero if it has none.
	Config uint64

	// Hello is set in the first frame of each direction of a connection, except on connections
	// for a spec request.
	Hello *Hello
	// Document is the configuration document, sent to a peer that requested it.
	Document []byte
	// DocumentZip is the document compressed with gzip, on connections of LevelRelay or newer.
	DocumentZip []byte
	// AskDocument requests the receiver's configuration document.
	AskDocument bool
	// Evacuations is the set of evacuated data halls. It is set if the sender has a later
	// revision than any sent or received on the connection. Peers of LevelBase ignore it.
	Evacuations *evacuation.Set

	// Starts and Stops are sent by entries: the runs to start and to stop.
	Starts []task.Order
	Stops  []task.Ref
	// UsedReservation is sent by entries: the ID of the reservation that the frame uses or
	// releases, zero if none.
	UsedReservation uint64
	// RoomRequest is sent by entries: the capacity that the entry still needs.
	RoomRequest *RoomRequest
	// Watch is sent by entries on connections of LevelWatch or newer. It begins or ends the
	// entry's watch of the target. On these connections, only entries that watch the target
	// receive each change of its free capacity.
	Watch Watch
	// Claims and Settled are sent by entries on connections of LevelClaim or newer: claims and
	// results of jobs of which the receiver is a home. Entries claim a job at its homes before
	// they start its tasks; see package claim.
	Claims  []claim.Claim
	Settled []claim.Settlement

	// AskSpec and GiveSpec are sent between agents: the job whose spec is requested, and the
	// answer.
	AskSpec  string
	GiveSpec *GivenSpec

	// State, Ended and Reservation are sent by agents: the state of the target, the ends of
	// runs, and capacity reserved for the receiver.
	State       *State
	Ended       []RunEnd
	Reservation *Reservation
	// Crashed holds runs that were reported as lapsed and later found to have been executing
	// when the target crashed. It is sent by agents; peers of LevelBase ignore it.
	Crashed []task.Ref
	// Claimed and Interests are sent by agents about jobs of which the sender is a home: replies
	// to claims, and the interest of other entries in jobs that the receiver has claimed.
	Claimed   []claim.Reply
	Interests []claim.Interest
}

// Role is the role of a process.
type Role string

const (
	// RoleEntry is the role of processes that accept jobs.
	RoleEntry Role = "entry"
	// RoleAgent is the role of processes that run tasks on a target.
	RoleAgent Role = "agent"
)

// Hello identifies a process to its peer.
type Hello struct {
	Role Role
	Name string // unique in the system
	// Addr is the address on which the process accepts connections from peers.
	Addr string
	// Introduce marks an introduction: the receiver adds the sender and may connect to its
	// address; this connection is closed.
	Introduce bool
	// Level is the newest protocol level that the sender supports, LevelBase if the sender sends
	// none.
	Level ProtocolLevel
	// Boot distinguishes restarts of the same entry.
	Boot uint64
	// Fleet is the number of agents known to an entry. An agent sends the highest number
	// received, so that an entry that finds few agents while the store is down does not
	// underestimate the fleet. Peers of LevelBase ignore it.
	Fleet int
}

// ProtocolLevel is a level of the protocol between entries and agents. A connection uses the lower level of
// its two sides.
type ProtocolLevel int

const (
	// LevelBase sends a heartbeat every HeartbeatInterval in both directions, all state
	// updates, and the spec in each order.
	LevelBase ProtocolLevel = iota
	// LevelWatch adds watches: entries watch the agents that they use, and other connections
	// carry a heartbeat every IdleHeartbeatInterval. A spec is not sent again while it is cached.
	LevelWatch
	// LevelRelay lets agents fetch specs from each other: an order may name an agent that has the
	// spec instead of carrying it. Documents are compressed.
	LevelRelay
	// LevelClaim adds claims: entries claim jobs at agents before they start them.
	LevelClaim
	// LevelNewest is the newest level that this process supports.
	LevelNewest = LevelClaim
)

// Watch is a change to an entry's watch of a target.
type Watch uint8

const (
	// WatchUnchanged is the value in frames that neither begin nor end a watch.
	WatchUnchanged Watch = iota
	// WatchStart begins a watch.
	WatchStart
	// WatchStop ends a watch.
	WatchStop
)

// GivenSpec is an agent's answer to another agent's request for a spec.
type GivenSpec struct {
	// Known reports whether the sender has the spec.
	Known bool
	Spec  string
}

// RoomRequest asks an agent to reserve capacity for tasks that wait at the sender.
type RoomRequest struct {
	// Slack is how long the most urgent task can wait. An agent serves the request with the
	// least slack first.
	Slack time.Duration
	// Needs is the resource demand of that task.
	Needs task.Resources
	// Total is the demand of all waiting tasks, limited to the target's capacity.
	Total task.Resources
}

// Reservation is capacity that an agent reserves for the receiver for a short time.
type Reservation struct {
	ID   uint64 // increases from 1
	Room task.Resources
}

// Profile is the part of a target's state that rarely changes.
type Profile struct {
	// Target is the ID of the target's incarnation, empty if unknown.
	Target  string
	Service string
	Hall    string
	Labels  []string
	// Capacity is the target's total capacity.
	Capacity task.Resources
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
	Free task.Resources
	// Speed is the target's estimated relative speed; 1 is the nominal speed.
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

// RunEnd reports the end of a run.
type RunEnd struct {
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
	return framing.Append(buf, maxFrameBytes, framing.EncodeMaps, f)
}

// ReadFrame reads one frame. It checks the size before allocating memory.
func ReadFrame(r io.Reader) (*Frame, error) {
	body, err := framing.Read(r, maxFrameBytes)
	if err != nil {
		return nil, err
	}
	return DecodeFrame(body)
}

// DecodeFrame decodes a frame without its length prefix, in the map or the array encoding.
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
