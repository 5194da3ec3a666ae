// Package wire carries messages between beaconpoint's own processes: frames
// of msgpack over TCP.
package wire

import (
	"fmt"
	"strings"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats"
	"github.com/beaconpoint/beaconpoint/seats/job"
	"github.com/beaconpoint/beaconpoint/seats/roster"
)

// Version is the version of the messages; processes of other versions are
// turned away at the hello.
const Version = 1

// Kind tells which message a frame carries.
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
	// Kind returns the kind that the frame's header names.
	Kind() Kind
}

// Header goes before each message.
type Header struct {
	Kind Kind
	// Seq grows with each frame that one process sends to another; an agent
	// takes a seat's frames in growing order only.
	Seq uint64
	// Revision is the sender's roster revision.
	Revision uint64
	// Config is the sender's configuration revision.
	Config uint64
	// Stamp is the sender's own clock, in nanoseconds.
	Stamp int64
	// Echo is the latest stamp that the sender has from the receiver. It
	// confirms the receiver for a lease that counts from that stamp.
	Echo int64
}

// Frame is a header with its message.
type Frame struct {
	Header
	Body Message
	size int // as read, with its length prefix, in bytes
}

// Role tells what a process is.
type Role string

// Roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Hello opens a connection, in both directions.
type Hello struct {
	Version int
	Role    Role
	ID      roster.ID
	Region  string
}

// Heartbeat is sent by an entry where nothing else flows.
type Heartbeat struct {
	// Waiting is how many tasks wait at the sender for the receiver's
	// service.
	Waiting int
	// Running is how many tasks the sender has running.
	Running int
	// Settling says that the sender lacks the receiver's hand-over at the
	// frame's revision.
	Settling bool
}

// AgentHeartbeat answers an entry's frame.
type AgentHeartbeat struct {
	// Service is the service that the agent's target serves.
	Service string
	// Window is how many starts the receiver may have unanswered here.
	Window int
	// Slots is how many tasks the target runs at once.
	Slots int
	// Standing says that every seat confirms the agent.
	Standing bool
	// Leaving says that the agent takes no new starts.
	Leaving bool
}

// Roster hands over a roster.
type Roster struct {
	Roster roster.Roster
}

// Config hands over the operators' configuration, as JSON.
type Config struct {
	Document []byte
}

// Target hands an agent its own part of the configuration.
type Target struct {
	Known       bool
	Service     string
	Slots       int
	Connections int
	Drained     bool
}

// TaskKey names one task of one job, by the job's key.
type TaskKey struct {
	Job   string
	Index int
}

// String returns the job and the task's index.
func (k TaskKey) String() string {
	return fmt.Sprintf("%s/%d", k.Job, k.Index)
}

// Service returns the service of the key's job.
func (k TaskKey) Service() string {
	return k.Job[:max(strings.LastIndexByte(k.Job, '/'), 0)]
}

// Compare orders keys by job and index.
func (k TaskKey) Compare(o TaskKey) int {
	if c := strings.Compare(k.Job, o.Job); c != 0 {
		return c
	}
	return k.Index - o.Index
}

// Start asks an agent to start a task. An agent that holds a record of the
// task starts nothing and answers from the record.
type Start struct {
	Key    TaskKey
	TaskID string
	// Digest is of the whole job's content.
	Digest  uint64
	Service string
	Payload []byte
	// Expiry is the job's, in Unix milliseconds.
	Expiry int64
	// Raw says that the payload is a JSON string of base64 bytes, to be
	// handed to the target decoded.
	Raw bool
}

// Await asks for the result of a task that was started before; it never
// starts one.
type Await struct {
	Key TaskKey
}

// Status is how a task ended.
type Status uint8

// Ways in which a task ends.
const (
	// Done: the target answered with success.
	Done Status = iota + 1
	// Failed: the target may have run the task and gave no good answer.
	Failed
	// NotRun: the agent did not and will not run it for this request.
	NotRun
)

// Result answers a Start or an Await.
type Result struct {
	Key TaskKey
	// Seq is that of the frame that is answered.
	Seq    uint64
	Status Status
	Code   code.Code
	Output []byte
	// Window is as in AgentHeartbeat.
	Window int
}

// Collect asks an agent for its records of the jobs that the sender is home to
// and that others started.
type Collect struct {
	Revision uint64
}

// Record is what an agent remembers of one start.
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

// Forward hands a submission to its home.
type Forward struct {
	Ticket     uint64
	Submission job.Submission
	// Lookup asks only where the job stands.
	Lookup bool
	// Pointed says that the receiver holds the job's record, though it is
	// not its home any more.
	Pointed bool
}

// Reply answers a Forward with the job's answer.
type Reply struct {
	Ticket uint64
	Answer seats.Answer
}

// Moved is a job whose record stays with its old home.
type Moved struct {
	Job    string
	Expiry int64
}

// Share is what the homes of jobs depend on.
type Share struct {
	Seats  []roster.Seat
	Shards int
}

// Doubt is a share of jobs about which it can't be known whether they ran: those
// that Holder got from other seats that are gone, with an agent's records gone
// too.
type Doubt struct {
	Holder roster.ID
	// At is where Holder was home to them, and Before where it was not to
	// all of them; without any before, all that it was home to are in doubt.
	At     Share
	Before []Share
	// Expiry is the latest that such a job can have, in Unix milliseconds.
	Expiry int64
}

// HandOver is what a seat tells each other one at a new revision: the jobs that
// the receiver is home to and whose records the sender keeps.
type HandOver struct {
	Revision uint64
	// Settled says that the sender has answered for jobs before.
	Settled bool
	// Moved are jobs that the sender holds: their records, or what it knows
	// of their starts by seats that are gone.
	Moved []Moved
	// Orphans are jobs whose holder is gone and Doubted those of them that
	// stay in doubt.
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
