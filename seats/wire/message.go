// Package wire implements the protocol between beaconpoint's processes: frames of
// msgpack over TCP.
package wire

import (
	"fmt"
	"strings"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/job"
	"github.com/beaconpoint/beaconpoint/seats/roster"
)

// Version is the protocol version. The handshake rejects peers with another one.
const Version = 1

// Kind identifies the type of a message.
type Kind uint8

// Kinds of messages.
const (
	KindHello Kind = iota + 1
	KindHeartbeat
	KindAgentHeartbeat
	KindRoster
	KindConfig
	KindTarget
	KindStart
	KindResult
	KindCollect
	KindRecords
	KindForward
	KindReply
	KindHandOver
	KindAwait
)

// Message is the body of a frame.
type Message interface {
	// Kind returns the kind for the frame's header.
	Kind() Kind
}

// Header precedes each message.
type Header struct {
	Kind Kind
	// Seq increases with each frame that a process sends to another. An agent
	// ignores frames of a seat that arrive out of order.
	Seq uint64
	// Revision is the sender's roster revision.
	Revision uint64
	// Config is the sender's configuration revision.
	Config uint64
	// Stamp is a reading of the sender's monotonic clock, in nanoseconds.
	Stamp int64
	// Echo is the latest Stamp that the sender has received from the
	// receiver. It confirms the receiver for one lease from that time.
	Echo int64
}

// Frame is a header with its message.
type Frame struct {
	Header
	Body Message
	size int // in bytes, with the length prefix; set by ReadFrame
}

// Role is the role of a process.
type Role string

// Roles of processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Hello is the first message of each peer on a connection.
type Hello struct {
	Version int
	Role    Role
	ID      roster.ID
	Region  string
}

// Heartbeat is sent by an entry in the absence of other frames.
type Heartbeat struct {
	// Waiting is the number of the sender's tasks that wait for the receiver's
	// service.
	Waiting int
	// Running is the number of the sender's tasks at the receiver.
	Running int
	// Settling reports that the sender still needs the receiver's hand-over at
	// the frame's revision.
	Settling bool
}

// AgentHeartbeat is sent by an agent in answer to a Heartbeat, Roster or Target,
// and when it begins to stop.
type AgentHeartbeat struct {
	// Service is the service that the agent's target serves.
	Service string
	// Window is the number of unanswered starts that the receiver may have at
	// the agent.
	Window int
	// Slots is the number of tasks that the target runs concurrently.
	Slots int
	// Standing reports that every seat confirms the agent.
	Standing bool
	// Leaving reports that the agent accepts no new starts.
	Leaving bool
}

// Roster carries a newer roster.
type Roster struct {
	Roster roster.Roster
}

// Config carries a newer configuration to an entry.
type Config struct {
	// Document is the JSON encoding of a config.Document.
	Document []byte
}

// Target carries an agent's part of a newer configuration.
type Target struct {
	// Known is false if the configuration has no target for the agent.
	Known       bool
	Service     string
	Slots       int
	Connections int
	Drained     bool
}

// TaskKey identifies a task.
type TaskKey struct {
	// Job is the job's key, "service/id".
	Job   string
	Index int
}

// String returns the form "service/id/index".
func (k TaskKey) String() string {
	return fmt.Sprintf("%s/%d", k.Job, k.Index)
}

// Service returns the service of the key's job.
func (k TaskKey) Service() string {
	return k.Job[:max(strings.LastIndexByte(k.Job, '/'), 0)]
}

// Compare compares keys by job, then by index.
func (k TaskKey) Compare(o TaskKey) int {
	if c := strings.Compare(k.Job, o.Job); c != 0 {
		return c
	}
	return k.Index - o.Index
}

// Start requests an agent to start a task. An agent that has a record of the task
// does not start it again and answers from the record.
type Start struct {
	Key    TaskKey
	TaskID string
	// Digest is the digest of the whole job.
	Digest  uint64
	Service string
	Payload []byte
	// Expiry is the job's expiry, in Unix milliseconds.
	Expiry int64
	// Raw reports that the payload is a JSON string of base64, which the target
	// gets decoded.
	Raw bool
}

// Await requests the result of a task that was started before, without starting
// it.
type Await struct {
	Key TaskKey
}

// Status is the outcome of a Start or an Await.
type Status uint8

// Outcomes of a Start or an Await.
const (
	// Done means that the target completed the task.
	Done Status = iota + 1
	// Failed means that the target may have run the task without success.
	Failed
	// NotRun means that the agent has not run and will not run the task for
	// this request.
	NotRun
)

// Result answers a Start or an Await.
type Result struct {
	Key TaskKey
	// Seq is the sequence number of the answered frame.
	Seq    uint64
	Status Status
	Code   code.Code
	Output []byte
	// Window has the meaning of AgentHeartbeat.Window.
	Window int
}

// Collect requests an agent's records of the jobs that the sender owns and that
// other seats started.
type Collect struct {
	Revision uint64
}

// Record is an agent's record of an accepted start.
type Record struct {
	Key     TaskKey
	Digest  uint64
	Expiry  int64
	Starter roster.ID
}

// Records answers a Collect.
type Records struct {
	Revision uint64
	Records  []Record
}

// Forward sends a submission to the seat that owns the job or holds its record.
type Forward struct {
	Ticket     uint64
	Submission job.Submission
	// Lookup requests the state of the job without submitting it.
	Lookup bool
	// Pointed reports that the receiver holds the job's record without owning
	// the job any more.
	Pointed bool
}

// Reply answers a Forward with the job's answer.
type Reply struct {
	Ticket uint64
	Answer seats.Answer
}

// Moved is a job that has a new owner while its record stays at another seat.
type Moved struct {
	Job    string
	Expiry int64
}

// Share is the part of a roster that determines the owners of jobs.
type Share struct {
	Seats  []roster.Seat
	Shards int
}

// Doubt is a set of jobs for which no process can tell whether they ran: Holder
// took them over from removed seats, and records of an agent are lost too.
type Doubt struct {
	Holder roster.ID
	// At determines the jobs that Holder owned. Before lists the earlier
	// states: a job that Holder owned at all of them is not in doubt. If it is
	// empty, all jobs that Holder owned are in doubt.
	At     Share
	Before []Share
	// Expiry is the latest expiry of the jobs, in Unix milliseconds.
	Expiry int64
}

// HandOver is sent by each seat to each other one at a new roster revision. It
// lists the jobs that the receiver owns and whose state the sender has.
type HandOver struct {
	Revision uint64
	// Settled reports that the sender has completed a takeover before.
	Settled bool
	// Moved lists the jobs whose records the sender holds or has recovered.
	Moved []Moved
	// Orphans lists jobs whose holder is gone, and Doubted such jobs that may
	// have run with their records lost.
	Orphans []Moved
	Doubted []Moved
	Doubts  []Doubt
}

// Kind implements Message.
func (Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind implements Message.
func (AgentHeartbeat) Kind() Kind { return KindAgentHeartbeat }

// Kind implements Message.
func (Roster) Kind() Kind { return KindRoster }

// Kind implements Message.
func (Config) Kind() Kind { return KindConfig }

// Kind implements Message.
func (Target) Kind() Kind { return KindTarget }

// Kind implements Message.
func (Start) Kind() Kind { return KindStart }

// Kind implements Message.
func (Result) Kind() Kind { return KindResult }

// Kind implements Message.
func (Collect) Kind() Kind { return KindCollect }

// Kind implements Message.
func (Records) Kind() Kind { return KindRecords }

// Kind implements Message.
func (Forward) Kind() Kind { return KindForward }

// Kind implements Message.
func (Reply) Kind() Kind { return KindReply }

// Kind implements Message.
func (HandOver) Kind() Kind { return KindHandOver }

// Kind implements Message.
func (Await) Kind() Kind { return KindAwait }
