// Package peer carries what entries and agents tell each other: frames of
// msgpack over TCP, each with the stamps on which leases rest.
package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/task"
)

// maxFrame is the largest frame, in bytes, without its length prefix.
const maxFrame = 4 << 20

// lengthSize is the size of the length prefix, in bytes.
const lengthSize = 4

// ErrFrameSize is the fault of a frame that is larger than any may be.
var ErrFrameSize = errors.New("peer: frame is larger than the limit")

// Frame is one message. Each part may be absent; a frame without parts is a
// heartbeat.
type Frame struct {
	// Stamp is the sender's own steady clock.
	Stamp time.Duration
	// Echo is the latest stamp that the sender has from the receiver. What
	// the receiver grants the sender counts from it.
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
	// AskDocument asks the receiver for its document.
	AskDocument bool

	// Of an entry: runs to start and to stop, the offer that this answers,
	// and what more is wanted.
	Starts          []task.Order
	Stops           []task.Ref
	UsedReservation uint64
	RoomRequest     *RoomRequest

	// Of an agent: the state of its target, how runs ended, and room that is
	// held for the receiver.
	State       *State
	Ended       []Ended
	Reservation *Reservation
}

// Role tells what a process is.
type Role string

// Roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Hello introduces a process.
type Hello struct {
	Role Role
	Name string
	// Addr is where the process takes connections of its peers.
	Addr string
	// Introduce says that the sender only makes itself known, so that it is
	// called back, and closes.
	Introduce bool
}

// RoomRequest tells an agent that tasks wait at the sender.
type RoomRequest struct {
	// Slack is how long the most urgent of them can wait; it orders the
	// wants of several entries.
	Slack time.Duration
	// Needs is what that task takes.
	Needs task.Needs
	// Total is what all waiting tasks take, as far as it matters.
	Total task.Needs
}

// Reservation is room that an agent holds for the receiver for a short time.
type Reservation struct {
	ID   uint64
	Room task.Needs
}

// Profile is what seldom changes about a target.
type Profile struct {
	// Target is the id of the target's life, empty where none is known.
	Target  string
	Service string
	Hall    string
	Labels  []string
	// Capacity is the target's whole room.
	Capacity task.Needs
}

// Equal reports whether p and o say the same.
func (p Profile) Equal(o Profile) bool {
	return p.Target == o.Target && p.Service == o.Service && p.Hall == o.Hall &&
		p.Capacity == o.Capacity && slices.Equal(p.Labels, o.Labels)
}

// State is what an agent tells of its target.
type State struct {
	// Profile is nil where it is as in the state before on the connection.
	Profile *Profile
	// Free is the room that is not in use.
	Free task.Needs
	// Speed is the target's learned speed, 1 being usual.
	Speed float64
	// Health is how far the target is trusted.
	Health Health
	// Accepting says that the target may be given work.
	Accepting bool
	// Cleared says that no run of an earlier connection of the receiver is
	// left here.
	Cleared bool
	// SeenSeq is the sequence number of the receiver's last frame that this
	// state takes account of.
	SeenSeq uint64
}

// Health is how far a target is trusted.
type Health uint8

// Healths.
const (
	// Healthy is the usual health.
	Healthy Health = iota
	// Ejected targets get single trial tasks only.
	Ejected
)

// Ended tells how a run ended.
type Ended struct {
	Ref task.Ref
	End task.End
	// Reason says more.
	Reason code.Code
	// Took is how long the run was at work, on the agent's clock.
	Took time.Duration
	// TargetFault says that the target, not the task, is taken to be at fault.
	TargetFault bool
}

// AppendFrame appends f with its length prefix to buf.
func AppendFrame(buf []byte, f *Frame) ([]byte, error) {
	w := &sliceWriter{data: append(buf, 0, 0, 0, 0)}
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(w)
	enc.UseCompactInts(true)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(f); err != nil {
		return buf, fmt.Errorf("peer: encode: %w", err)
	}
	size := len(w.data) - len(buf) - lengthSize
	if size > maxFrame {
		return buf, ErrFrameSize
	}
	binary.BigEndian.PutUint32(w.data[len(buf):], uint32(size))
	return w.data, nil
}

// ReadFrame reads one frame. Its size is checked before memory is taken.
func ReadFrame(r io.Reader) (*Frame, error) {
	var prefix [lengthSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > maxFrame {
		return nil, ErrFrameSize
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	return DecodeFrame(body)
}

// DecodeFrame decodes a frame without its length prefix.
func DecodeFrame(body []byte) (*Frame, error) {
	f := new(Frame)
	if err := msgpack.Unmarshal(body, f); err != nil {
		return nil, fmt.Errorf("peer: decode: %w", err)
	}
	return f, nil
}

type sliceWriter struct{ data []byte }

// Write implements io.Writer.
func (w *sliceWriter) Write(p []byte) (int, error) {
	w.data = append(w.data, p...)
	return len(p), nil
}

// WriteByte implements io.ByteWriter.
func (w *sliceWriter) WriteByte(b byte) error {
	w.data = append(w.data, b)
	return nil
}
