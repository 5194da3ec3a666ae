// Package job parses and validates submitted jobs and computes their identity.
package job

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beaconpoint/beaconpoint/code"
	"github.com/beaconpoint/beaconpoint/seats"
)

// Submission is a validated job, or the id of a job to look up.
type Submission struct {
	Service string
	Job     seats.Job
	// Digest is a hash of the service and of the job with its expiry.
	Digest uint64
	// Deadline is the caller's expiry or, if it gave none, the one set by the
	// entry that took the submission, in Unix milliseconds. The digest does not
	// include it.
	Deadline int64
	// Single marks a single request. Only single requests can be repeatable.
	Single bool
}

// Key returns the key of the job, "service/id".
func (s Submission) Key() string {
	return s.Service + "/" + s.Job.ID
}

// IDOf returns the job id in a key.
func IDOf(key string) string {
	return key[strings.LastIndexByte(key, '/')+1:]
}

// Expiry returns the caller's expiry in Unix milliseconds, or zero if it gave
// none.
func (s Submission) Expiry() int64 {
	if s.Job.ExpiresAt == nil {
		return 0
	}
	return s.Job.ExpiresAt.UnixMilli()
}

// Repeatable reports whether the task may be started again after its agent was
// lost.
func (s Submission) Repeatable() bool {
	return s.Single && s.Job.Tasks[0].Repeatable
}

// Parse decodes and validates the body of a submission. Its errors have codes of
// package code. On an error, the submission has the job's id if that is valid.
func Parse(service string, body []byte) (Submission, error) {
	j, err := decodeJob(body)
	if err != nil {
		return Submission{}, err
	}
	s, err := New(service, j)
	if err != nil && ValidID(j.ID) {
		s.Job.ID = j.ID
	}
	return s, err
}

// New validates j and returns its submission.
func New(service string, j seats.Job) (Submission, error) {
	if err := validateJob(j); err != nil {
		return Submission{}, err
	}
	digest, err := jobDigest(service, j)
	if err != nil {
		return Submission{}, code.Errorf(code.BadJSON, "a payload is not JSON: %v", err)
	}
	return Submission{Service: service, Job: j, Digest: digest}, nil
}

// NewSingle returns the submission of a single request with an arbitrary body,
// which the payload holds as a base64 string.
func NewSingle(service, organisation, id string, body []byte, repeatable bool, expiry *time.Time) (Submission, error) {
	payload, err := json.Marshal(body)
	if err != nil {
		return Submission{}, err
	}
	s, err := New(service, seats.Job{
		ID: id, Organisation: organisation, ExpiresAt: expiry,
		Tasks: []seats.Task{{ID: "request", Payload: payload, Repeatable: repeatable}},
	})
	s.Single = true
	return s, err
}

func decodeJob(body []byte) (seats.Job, error) {
	var j seats.Job
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&j); err != nil {
		if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
			return j, code.Errorf(code.UnknownField, "the job has an unknown field %s", field)
		}
		return j, code.Errorf(code.BadJSON, "the body is not a job: %v", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return j, code.Error(code.BadJSON, "the body goes on after the job")
	}
	return j, nil
}

func validateJob(j seats.Job) error {
	if !ValidID(j.ID) {
		return code.Errorf(code.BadID, "the job's id %.40q is not an id", j.ID)
	}
	if !ValidID(j.Organisation) {
		return code.Errorf(code.BadID, "the member %.40q is not an id", j.Organisation)
	}
	if len(j.Tasks) == 0 {
		return code.Error(code.NoTasks, "the job has no tasks")
	}
	if len(j.Tasks) > seats.MaxTasks {
		return code.Errorf(code.TooManyTasks, "the job has %d tasks, more than %d", len(j.Tasks), seats.MaxTasks)
	}
	seen := make(map[string]bool, len(j.Tasks))
	for _, t := range j.Tasks {
		if err := validateTask(t, seen); err != nil {
			return err
		}
	}
	return nil
}

func validateTask(t seats.Task, seen map[string]bool) error {
	if !ValidID(t.ID) {
		return code.Errorf(code.BadID, "the task's id %.40q is not an id", t.ID)
	}
	if seen[t.ID] {
		return code.Errorf(code.DuplicateTask, "two tasks have the id %q", t.ID)
	}
	seen[t.ID] = true
	if t.ExpectedMS < 0 {
		return code.Errorf(code.BadValue, "task %q: expected_ms is below zero", t.ID)
	}
	return nil
}

// ValidID reports whether id is valid for a job, task, request or organisation: 1
// to seats.MaxID printable ASCII characters, without space and /\"'?#%.
func ValidID(id string) bool {
	if id == "" || len(id) > seats.MaxID {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' || strings.IndexByte(`/\"'?#%`, c) >= 0 {
			return false
		}
	}
	return true
}

// jobDigest returns a hash of the job that does not depend on whitespace and time
// zone.
func jobDigest(service string, j seats.Job) (uint64, error) {
	if j.ExpiresAt != nil {
		utc := j.ExpiresAt.UTC()
		j.ExpiresAt = &utc
	}
	raw, err := json.Marshal(j)
	if err != nil {
		return 0, err
	}
	h := xxhash.New()
	_, _ = h.WriteString(service) // never fails
	_, _ = h.Write(raw)
	return h.Sum64(), nil
}
