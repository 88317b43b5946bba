package caller

import (
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Job is a job to submit. Its idempotency key identifies the submission: the same
// job may be submitted any number of times and through any entry, and no repetition
// starts a task twice.
type Job struct {
	team     string
	kind     string
	key      uuid.UUID
	deadline time.Time
	tasks    []json.RawMessage
}

// NewJob returns a job of a team's request kind with a new key. The key is a UUIDv7,
// which contains the time of its creation. Each task is one JSON value that is sent
// to the back end. NewJob fails if team or kind is empty, there is no task, or a
// task is not valid JSON.
func NewJob(team, kind string, tasks ...json.RawMessage) (Job, error) {
	key, err := uuid.NewV7()
	if err != nil {
		return Job{}, errors.Wrap(err, "create key")
	}
	if team == "" || kind == "" || len(tasks) == 0 {
		return Job{}, errors.New("got no team, no kind or no task, want all three")
	}
	for i, t := range tasks {
		if !json.Valid(t) {
			return Job{}, errors.Errorf("task %d is not valid JSON", i)
		}
	}
	return Job{
		team:  team,
		kind:  kind,
		key:   key,
		tasks: tasks,
	}, nil
}

// WithKey returns a copy of the job with a stored key, to resubmit a job that an
// earlier process of the caller submitted.
func (j Job) WithKey(key uuid.UUID) Job {
	j.key = key
	return j
}

// WithDeadline returns a copy of the job with a time, rounded down to milliseconds,
// after which its answer is of no use. The deadline is part of the job's content: a
// resubmission needs the same deadline. The zero time is no deadline.
func (j Job) WithDeadline(t time.Time) Job {
	j.deadline = t
	return j
}

// Key is the idempotency key, a UUIDv7 unless WithKey has set another one.
func (j Job) Key() uuid.UUID {
	return j.key
}

// Team is the name of the team that submits.
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
