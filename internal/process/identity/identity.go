// Package identity defines the identifiers that processes exchange.
//
// An identifier outlives the request that it names: a start record refers to a
// submission long after the job has ended. Identifiers therefore have the life
// span of the process and do not depend on request packages. All of them are
// small comparable values that can be map keys.
package identity

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// ErrKey is returned for an idempotency key that is not a UUIDv7.
var ErrKey = errors.New("idempotency key is not a UUIDv7")

// maxTeamBytes limits a team's name, which every record contains.
const maxTeamBytes = 64

// Submission identifies a submission by its team and idempotency key.
type Submission struct {
	team string
	key  uuid.UUID
}

// NewSubmission parses the key, which must be a UUIDv7: other versions do not carry
// the time of first sending.
func NewSubmission(team, key string) (Submission, error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return Submission{}, errors.Wrapf(ErrKey, "%.64q", key)
	}
	return SubmissionOf(team, id)
}

// SubmissionOf returns a submission with a parsed key. The team name must have 1 to
// 64 bytes.
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

func (s Submission) Team() string {
	return s.team
}

// Key returns the caller's idempotency key.
func (s Submission) Key() uuid.UUID {
	return s.key
}

// FirstSent returns the time of first sending by the caller's clock, with a
// precision of 1 ms.
func (s Submission) FirstSent() time.Time {
	ms := int64(binary.BigEndian.Uint64(s.key[0:8]) >> 16)
	return time.UnixMilli(ms)
}

// String returns the submission_id of logs and dumps: team/key.
func (s Submission) String() string {
	return s.team + "/" + s.key.String()
}

// hash distributes submissions evenly over shards.
func (s Submission) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(s.team)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(s.key[:])
	return d.Sum64()
}

// Task identifies a task of a submission.
type Task struct {
	submission Submission
	index      uint32
}

// NewTask returns the task at an index of the submission's list.
func NewTask(s Submission, index uint32) Task {
	return Task{
		submission: s,
		index:      index,
	}
}

func (t Task) Submission() Submission {
	return t.submission
}

// Index returns the task's index in the submission, from 0.
func (t Task) Index() uint32 {
	return t.index
}

// String returns the task_id of logs, which is also the idempotency key for targets
// and workers: team/key/index.
func (t Task) String() string {
	return t.submission.String() + "/" + strconv.FormatUint(uint64(t.index), 10)
}

// Shard is a shard number, less than the installation's shard count.
type Shard uint32

// Epoch is the fencing token of a shard. It increases with each owner, and a lower
// epoch is always refused.
type Epoch uint64

// ShardOf returns the submission's shard. home is the index of the team's home
// region. Each region has a contiguous block of shards, so that a team's submissions
// stay with owners of its home region.
func ShardOf(s Submission, home, regions, shards int) Shard {
	perRegion := shards / regions
	n := int(s.hash() % uint64(perRegion))
	return Shard(home*perRegion + n)
}

// Process identifies one run of a process.
type Process struct {
	name        string
	incarnation uint64
}

// NewProcess returns a process. The name must not be empty and the incarnation not
// 0; each restart needs a different incarnation.
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

// Name returns the process id from the settings.
func (p Process) Name() string {
	return p.name
}

// Incarnation returns the number that distinguishes runs with the same name.
func (p Process) Incarnation() uint64 {
	return p.incarnation
}

// IsZero reports whether the process is unset.
func (p Process) IsZero() bool {
	return p.name == ""
}

// String returns the form for logs and dumps: name@incarnation in base 36.
func (p Process) String() string {
	return p.name + "@" + strconv.FormatUint(p.incarnation, 36)
}
