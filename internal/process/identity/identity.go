// Package identity holds the identifiers that processes exchange.
//
// An identifier outlives the request it names: a start record refers to a
// submission long after the job is gone. Identifiers are therefore facts of the
// process and are kept apart from the requests. All of them are small
// comparable values, so they serve as map keys without conversion.
package identity

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// ErrKey reports an idempotency key that is not a UUIDv7.
var ErrKey = errors.New("idempotency key is not a UUIDv7")

// maxTeamBytes bounds a team's name, which appears in every record.
const maxTeamBytes = 64

// Submission names one submission: the team and the key its caller chose.
type Submission struct {
	team string
	key  uuid.UUID
}

// NewSubmission parses the key; only UUIDv7 carries the time of first sending.
func NewSubmission(team, key string) (Submission, error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return Submission{}, errors.Wrapf(ErrKey, "%.64q", key)
	}
	return SubmissionOf(team, id)
}

// SubmissionOf joins a team and a parsed key.
func SubmissionOf(team string, key uuid.UUID) (Submission, error) {
	if team == "" || len(team) > maxTeamBytes {
		return Submission{}, errors.Errorf("team name has %d bytes, allowed are 1 to %d", len(team), maxTeamBytes)
	}
	if key.Version() != 7 {
		return Submission{}, errors.Wrapf(ErrKey, "%s", key)
	}
	return Submission{
		team: team,
		key:  key,
	}, nil
}

// Team is the team that submitted.
func (s Submission) Team() string {
	return s.team
}

// Key is the caller's idempotency key.
func (s Submission) Key() uuid.UUID {
	return s.key
}

// FirstSent is the time of first sending by the caller's clock, in ms.
func (s Submission) FirstSent() time.Time {
	ms := int64(binary.BigEndian.Uint64(s.key[0:8]) >> 16)
	return time.UnixMilli(ms)
}

// String is the submission_id in logs and dumps.
func (s Submission) String() string {
	return s.team + "/" + s.key.String()
}

// hash spreads submissions evenly over the shards.
func (s Submission) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(s.team)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(s.key[:])
	return d.Sum64()
}

// Task names one task of a submission.
type Task struct {
	submission Submission
	index      uint32
}

// NewTask names the task at an index of the submission's list.
func NewTask(s Submission, index uint32) Task {
	return Task{
		submission: s,
		index:      index,
	}
}

// Submission is the submission that the task belongs to.
func (t Task) Submission() Submission {
	return t.submission
}

// Index is the task's place in the submission.
func (t Task) Index() uint32 {
	return t.index
}

// String is the task_id in logs, and the key towards targets and workers.
func (t Task) String() string {
	return t.submission.String() + "/" + strconv.FormatUint(uint64(t.index), 10)
}

// Shard is a number below the installation's shard count.
type Shard uint32

// Epoch counts the owners that a shard has had. A lower epoch is always refused.
type Epoch uint64

// ShardOf returns the submission's shard. Each region has one block of shards, so
// that a team's submissions stay with owners of its home region.
func ShardOf(s Submission, home, regions, shards int) Shard {
	perRegion := shards / regions
	n := int(s.hash() % uint64(perRegion))
	return Shard(home*perRegion + n)
}

// Process names one run of a process.
type Process struct {
	name        string
	incarnation uint64
}

// NewProcess names a run; a restart needs another incarnation.
func NewProcess(name string, incarnation uint64) (Process, error) {
	if name == "" {
		return Process{}, errors.New("process needs a name")
	}
	if incarnation == 0 {
		return Process{}, errors.Errorf("process %s: incarnation is 0", name)
	}
	return Process{
		name:        name,
		incarnation: incarnation,
	}, nil
}

// Name is the process id from the settings.
func (p Process) Name() string {
	return p.name
}

// Incarnation differs between two runs under one name.
func (p Process) Incarnation() uint64 {
	return p.incarnation
}

// IsZero tells whether the process is unset.
func (p Process) IsZero() bool {
	return p.name == ""
}

// String is the process in logs and dumps.
func (p Process) String() string {
	return p.name + "@" + strconv.FormatUint(p.incarnation, 36)
}
