// Package seats is the face that the dispatcher shows to callers: jobs,
// answers, and a client that submits the one and waits for the other.
package seats

import (
	"encoding/json"
	"time"
)

// Limits of one job.
const (
	// MaxTasks is the largest number of tasks in a job.
	MaxTasks = 1200
	// MaxBody is the largest body of a submission, in bytes.
	MaxBody = 4 << 20
	// MaxAnswer is the largest sum of a job's outputs, in bytes.
	MaxAnswer = 6 << 20
	// MaxID is the longest id of a job, task or request, in bytes.
	MaxID = 128
)

// Task is one unit of work for a target.
type Task struct {
	// ID names the task within its job.
	ID string `json:"id"`
	// Payload is handed to the target as it is.
	Payload json.RawMessage `json:"payload,omitempty"`
	// ExpectedMS is how long the task is expected to run, in milliseconds;
	// zero when it is not known. It orders tasks and need not be true.
	ExpectedMS int64 `json:"expected_ms,omitempty"`
	// Repeatable says that a single request may run more than once. The
	// tasks of a job are never sent twice, whatever it says.
	Repeatable bool `json:"repeatable,omitempty"`
}

// Job is what a caller submits. The id, the expiry and the content are its
// identity: the same id with other content is a conflict.
type Job struct {
	// ID names the job among all jobs of the service's region.
	ID string `json:"id"`
	// Organisation is the customer on whose quota the job counts.
	Organisation string `json:"member"`
	// ExpiresAt is when the caller has no more use for the answer. Without
	// it the service's longest expiry counts from the first acceptance.
	ExpiresAt *time.Time `json:"expires_at,omitempty"`
	// Tasks are run independently, in any order.
	Tasks []Task `json:"tasks"`
}

// State is where a job stands.
type State string

// States of a job. The first three are final.
const (
	Complete State = "complete"
	Refused  State = "refused"
	Failed   State = "failed"
	Running  State = "running"
)

// Ran says whether any task of a job was started.
type Ran string

// What is known of a job's starts.
const (
	RanNo    Ran = "no"
	RanMaybe Ran = "maybe"
	RanYes   Ran = "yes"
)

// Result is the answer of one task.
type Result struct {
	// ID is the task's id.
	ID string `json:"id"`
	// Output is the target's answer: its JSON, or its text as a string.
	Output json.RawMessage `json:"output"`
}

// Answer is the whole answer to a job: complete with a result for each task
// in task order, or without any results.
type Answer struct {
	ID      string   `json:"id"`
	State   State    `json:"state"`
	Results []Result `json:"results,omitempty"`
	// Code numbers the reason, zero for a complete answer.
	Code    uint16 `json:"code,omitempty"`
	Name    string `json:"name,omitempty"`
	Message string `json:"message,omitempty"`
	Ran     Ran    `json:"ran,omitempty"`
	// RetryAfterMS is when to come back, in milliseconds from now.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}
