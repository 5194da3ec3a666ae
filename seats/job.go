// Package seats defines the jobs and answers of the seats engine and an HTTP
// client that submits jobs to it.
package seats

import (
	"encoding/json"
	"time"
)

// Limits of a job.
const (
	// MaxTasks is the largest number of tasks in a job.
	MaxTasks = 1200
	// MaxBody is the largest request body of a submission, in bytes.
	MaxBody = 4 << 20
	// MaxAnswer is the largest total size of a job's outputs, in bytes.
	MaxAnswer = 6 << 20
	// MaxID is the maximum length of a job, task or request ID, in bytes.
	MaxID = 128
)

// Task is a unit of work that runs on one target.
type Task struct {
	// ID is unique within the job.
	ID string `json:"id"`
	// Payload is sent to the target unchanged.
	Payload json.RawMessage `json:"payload,omitempty"`
	// ExpectedMS is the caller's estimate of the run time in milliseconds, or
	// zero. It affects only the order in which tasks start.
	ExpectedMS int64 `json:"expected_ms,omitempty"`
	// Repeatable allows a single request to run more than once. It has no
	// effect on the tasks of a job, which are never sent twice.
	Repeatable bool `json:"repeatable,omitempty"`
}

// Job is a set of independent tasks that a caller submits. A job is identified
// by its ID, expiry and content; the same ID with other content is a conflict.
type Job struct {
	// ID is unique among the jobs of the service in its region.
	ID string `json:"id"`
	// Organisation is the customer whose quota the job counts against.
	Organisation string `json:"member"`
	// ExpiresAt is the time after which the caller no longer needs the answer.
	// The default is the service's longest expiry after the first acceptance.
	ExpiresAt *time.Time `json:"expires_at,omitempty"`
	// Tasks run independently and in any order.
	Tasks []Task `json:"tasks"`
}

// State is the state of a job.
type State string

// States of a job. The first three are final.
const (
	Complete State = "complete"
	Refused  State = "refused"
	Failed   State = "failed"
	Running  State = "running"
)

// Ran states whether any task of a job was started.
type Ran string

// Values of Ran. RanMaybe means that a start cannot be ruled out.
const (
	RanNo    Ran = "no"
	RanMaybe Ran = "maybe"
	RanYes   Ran = "yes"
)

// Result is the result of one task.
type Result struct {
	// ID is the ID of the task.
	ID string `json:"id"`
	// Output is the target's response body if it is JSON, else the body as a
	// JSON string.
	Output json.RawMessage `json:"output"`
}

// Answer is the answer to a job. A complete answer has one result for each
// task, in task order; any other answer has no results.
type Answer struct {
	ID      string   `json:"id"`
	State   State    `json:"state"`
	Results []Result `json:"results,omitempty"`
	// Code is the result code, zero for a complete answer.
	Code    uint16 `json:"code,omitempty"`
	Name    string `json:"name,omitempty"`
	Message string `json:"message,omitempty"`
	Ran     Ran    `json:"ran,omitempty"`
	// RetryAfterMS is the time to wait before the next attempt, in
	// milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}
