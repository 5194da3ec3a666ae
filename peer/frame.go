// Package peer carries what entries and agents tell each other: frames of msgpack
// over TCP, each with the stamps on which leases rest.
//
// Structs are encoded as maps from the names of their fields to those that are not empty.
// A receiver skips names that it does not know, so that a struct can get a field while
// processes of the version before are up; docs/design/frames.md says why it is done so.
// testdata/frames.golden holds the bytes. Frames of the version before are arrays:
// array.go decodes them.
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

// maxFrame is the largest frame, in bytes, without its length prefix.
const maxFrame = 4 << 20

// ErrFrameSize means that a frame is larger than maxFrame.
var ErrFrameSize = framing.ErrSize

// Frame is one message. Each part may be absent; a frame without parts is a
// heartbeat.
type Frame struct {
	// Stamp is the sender's own steady clock.
	Stamp time.Duration
	// Echo is what the receiver's clock reads at the least when the frame is sent, by
	// the latest stamp that the sender has got from it (type Echo); an agent echoes the
	// stamp itself. The lease that the receiver grants the sender counts from it.
	Echo time.Duration
	// Seq numbers the frames of one direction of a connection, from 1.
	Seq uint64
	// Config is the version of the newest configuration that the sender
	// knows.
	Config uint64

	// Hello opens each direction of a connection.
	Hello *Hello
	// Document hands over the configuration to a peer that has asked for it.
	Document []byte
	// DocumentZip is the same, compressed with gzip, on a connection of LevelRelay.
	DocumentZip []byte
	// AskDocument asks the receiver for its document.
	AskDocument bool
	// Evacuations are the evacuated data halls, where the sender knows of a later
	// revision than it has told or heard on the connection. The version before skips it.
	Evacuations *evacuation.Set

	// From an entry: runs to start and to stop; the id of the reservation that
	// this frame uses or gives back, zero for none; and what room it still wants.
	Starts          []task.Order
	Stops           []task.Ref
	UsedReservation uint64
	RoomRequest     *RoomRequest
	// Watch begins or ends the entry's watch of the target, on a connection of
	// LevelWatch: only entries that watch are told of each change of its room.
	Watch Watch
	// Claims and Settled are what the entry says of jobs to their home, on a connection
	// of LevelClaim.
	Claims  []claim.Claim
	Settled []claim.Settlement

	// From an agent to another one: the job whose spec it needs, and the answer.
	AskSpec  string
	GiveSpec *GivenSpec

	// From an agent: the state of its target, how runs ended, and room that it
	// reserves for the receiver.
	State       *State
	Ended       []Ended
	Reservation *Reservation
	// Crashed are runs whose ends were told as lapsed, which were at work when the target
	// crashed, as shows now. The version before skips it.
	Crashed []task.Ref
	// Claimed and Interests are what the agent says of jobs as their home.
	Claimed   []claim.Reply
	Interests []claim.Interest
}

// Role is what a process is.
type Role string

// Roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Hello introduces a process.
type Hello struct {
	Role Role
	Name string // unique in the system
	// Addr is where the process takes connections of its peers.
	Addr string
	// Introduce says that the sender only makes itself known: the receiver connects
	// to it, and this connection closes.
	Introduce bool
	// Level is the newest revision of the exchange that the sender understands; the
	// version that did not say so has LevelBase.
	Level Level
	// Boot differs between the lives of an entry.
	Boot uint64
	// Fleet is how many agents an entry knows of; an agent passes on the most that it was
	// told, so that an entry which finds few while the store is down does not take the fleet
	// for a small one. The version before skips it.
	Fleet int
}

// Level is a revision of what entries and agents may ask of each other. Both sides of a
// connection keep to the lower one of theirs.
type Level int

// Levels.
const (
	// LevelBase has a heartbeat each HeartbeatInterval in both directions, all states,
	// and the spec in each order.
	LevelBase Level = iota
	// LevelWatch has entries watch the agents that they use; the other connections
	// carry a heartbeat each IdleHeartbeatInterval. A job's spec goes to an agent once.
	LevelWatch
	// LevelRelay has agents hand specs to each other: an order may name an agent that
	// has the spec in place of the text. Documents are compressed.
	LevelRelay
	// LevelClaim has entries claim jobs at agents before they start them.
	LevelClaim
	// LevelNewest is what this version understands.
	LevelNewest = LevelClaim
)

// Watch is a change of an entry's watch of a target.
type Watch uint8

// Changes of a watch.
const (
	WatchUnchanged Watch = iota
	WatchBegins
	WatchEnds
)

// GivenSpec is an agent's answer to another one that needs a spec.
type GivenSpec struct {
	// Known says that the agent has the spec.
	Known bool
	Spec  string
}

// RoomRequest tells an agent that tasks wait at the sender, which wants room reserved
// for them.
type RoomRequest struct {
	// Slack is how long the most urgent of them can wait: an agent serves the
	// request with the least first.
	Slack time.Duration
	// Needs is what that task takes.
	Needs task.Needs
	// Total is what all waiting tasks take, counted up to the target's capacity.
	Total task.Needs
}

// Reservation is room that an agent reserves for the receiver for a short time.
type Reservation struct {
	ID   uint64 // rises from 1
	Room task.Needs
}

// Profile is the part of a target's state that seldom changes.
type Profile struct {
	// Target is the id of the incarnation, empty where none is known.
	Target  string
	Service string
	Hall    string
	Labels  []string
	// Capacity is the target's whole room.
	Capacity task.Needs
}

// Equal reports whether p and o are the same.
func (p Profile) Equal(o Profile) bool {
	return p.Target == o.Target && p.Service == o.Service && p.Hall == o.Hall &&
		p.Capacity == o.Capacity && slices.Equal(p.Labels, o.Labels)
}

// State is the state of an agent's target, as the receiver should see it.
type State struct {
	// Profile is nil where it is as in the last state on the connection.
	Profile *Profile
	// Free is the room that the receiver may use.
	Free task.Needs
	// Speed is the target's learned speed, 1 being usual.
	Speed float64
	// Health says whether the target is ejected.
	Health Health
	// Accepting says that the target takes work.
	Accepting bool
	// Cleared says that no run of an earlier connection of the receiver is
	// left here.
	Cleared bool
	// SeenSeq is the number of the receiver's last frame that this state takes into
	// account.
	SeenSeq uint64
}

// Health is the result of an agent's outlier detection.
type Health uint8

// Healths of a target.
const (
	// Healthy is the usual health.
	Healthy Health = iota
	// Ejected targets get single probes only.
	Ejected
)

// Ended is the end of a run.
type Ended struct {
	Ref task.Ref
	End task.End
	// Reason is how the end is known, or why the run did not begin.
	Reason code.Code
	// Took is how long the run was at work, on the agent's clock.
	Took time.Duration
	// TargetFault says that a failure counts as the target's fault and not as the
	// task's.
	TargetFault bool
}

// AppendFrame appends f with its length prefix to buf.
func AppendFrame(buf []byte, f *Frame) ([]byte, error) {
	return framing.Append(buf, maxFrame, framing.Maps, f)
}

// ReadFrame reads one frame. Its size is checked before memory is allocated.
func ReadFrame(r io.Reader) (*Frame, error) {
	body, err := framing.Read(r, maxFrame)
	if err != nil {
		return nil, err
	}
	return DecodeFrame(body)
}

// DecodeFrame decodes a frame without its length prefix, of this version or of the one
// before.
func DecodeFrame(body []byte) (*Frame, error) {
	if isArray(body) {
		return decodeArray(body)
	}
	f := new(Frame)
	if err := msgpack.Unmarshal(body, f); err != nil {
		return nil, fmt.Errorf("peer: decode: %w", err)
	}
	return f, nil
}
