package caller

import (
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Job is what a caller submits. Its key names the submission: the same job may
// be submitted any number of times and through any entry, and none of its tasks
// starts twice.
type Job struct {
	team     string
	kind     string
	key      uuid.UUID
	deadline time.Time
	tasks    []json.RawMessage
}

// NewJob returns a job with a new key, a UUIDv7, which carries the time of its
// first sending. Each task is JSON that the back end understands.
func NewJob(team, kind string, tasks ...json.RawMessage) (Job, error) {
	key, err := uuid.NewV7()
	if err != nil {
		return Job{}, errors.Wrap(err, "make key")
	}
	if team == "" || kind == "" || len(tasks) == 0 {
		return Job{}, errors.New("a job needs a team, a kind and at least one task")
	}
	for i, t := range tasks {
		if !json.Valid(t) {
			return Job{}, errors.Errorf("task %d is not JSON", i)
		}
	}
	return Job{
		team:  team,
		kind:  kind,
		key:   key,
		tasks: tasks,
	}, nil
}

// WithKey returns the job under a key that the caller has kept, to submit again
// what an earlier process of the caller submitted.
func (j Job) WithKey(key uuid.UUID) Job {
	j.key = key
	return j
}

// WithDeadline returns the job with a time after which its answer has no use. It
// belongs to the content: a resubmission needs the same deadline.
func (j Job) WithDeadline(t time.Time) Job {
	j.deadline = t
	return j
}

// Key is the idempotency key.
func (j Job) Key() uuid.UUID {
	return j.key
}

// Team is the team that submits.
func (j Job) Team() string {
	return j.team
}

// Tasks is the number of tasks.
func (j Job) Tasks() int {
	return len(j.tasks)
}

type jobDocument struct {
	Key        string            `json:"key"`
	Kind       string            `json:"kind"`
	DeadlineMS int64             `json:"deadline_ms,omitempty"`
	Tasks      []json.RawMessage `json:"tasks"`
}

func (j Job) encode() ([]byte, error) {
	d := jobDocument{
		Key:   j.key.String(),
		Kind:  j.kind,
		Tasks: j.tasks,
	}
	if !j.deadline.IsZero() {
		d.DeadlineMS = j.deadline.UnixMilli()
	}
	body, err := json.Marshal(d)
	return body, errors.Wrap(err, "encode job")
}
