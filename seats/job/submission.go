// Package job reads what callers submit: it checks a job's form and works out
// its identity.
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

// Submission is a well-formed job on its way to its home.
type Submission struct {
	Service string
	Job     seats.Job
	// Digest is over the job's content and expiry.
	Digest uint64
	// Deadline is the caller's expiry or, where it gave none, the one that
	// the first entry set, in Unix milliseconds. It is not part of the
	// identity.
	Deadline int64
	// Single marks a single request, the only kind that may be repeatable.
	Single bool
}

// Key names the job among all jobs of all services.
func (s Submission) Key() string {
	return s.Service + "/" + s.Job.ID
}

// IDOf returns the id of the job that a key names.
func IDOf(key string) string {
	return key[strings.LastIndexByte(key, '/')+1:]
}

// Expiry returns the job's expiry in Unix milliseconds, or zero where the
// caller gave none.
func (s Submission) Expiry() int64 {
	if s.Job.ExpiresAt == nil {
		return 0
	}
	return s.Job.ExpiresAt.UnixMilli()
}

// Repeatable reports whether a lost start may be sent again.
func (s Submission) Repeatable() bool {
	return s.Single && s.Job.Tasks[0].Repeatable
}

// Parse reads the body of a submission and checks its form. The errors carry
// the codes of package code.
func Parse(service string, body []byte) (Submission, error) {
	j, err := decode(body)
	if err != nil {
		return Submission{}, err
	}
	s, err := New(service, j)
	if err != nil && ValidID(j.ID) {
		s.Job.ID = j.ID // for the refusal
	}
	return s, err
}

// New checks the form of j and returns its submission.
func New(service string, j seats.Job) (Submission, error) {
	if err := check(j); err != nil {
		return Submission{}, err
	}
	digest, err := digest(service, j)
	if err != nil {
		return Submission{}, code.Errorf(code.BadJSON, "a payload is not JSON: %v", err)
	}
	return Submission{Service: service, Job: j, Digest: digest}, nil
}

// NewSingle returns the submission of a single request, whose payload is the
// body as it is.
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

func decode(body []byte) (seats.Job, error) {
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

func check(j seats.Job) error {
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
		if err := checkTask(t, seen); err != nil {
			return err
		}
	}
	return nil
}

func checkTask(t seats.Task, seen map[string]bool) error {
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

// ValidID reports whether id may name a job, task, request or organisation: 1 to
// seats.MaxID printable ASCII characters without space, slash or quotes.
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

// digest hashes the job in a form that white space does not change.
func digest(service string, j seats.Job) (uint64, error) {
	if j.ExpiresAt != nil {
		utc := j.ExpiresAt.UTC()
		j.ExpiresAt = &utc
	}
	raw, err := json.Marshal(j)
	if err != nil {
		return 0, err
	}
	h := xxhash.New()
	_, _ = h.WriteString(service) // a hash takes every write
	_, _ = h.Write(raw)
	return h.Sum64(), nil
}
