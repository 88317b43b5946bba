package ledger

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
)

// Record tells of one start.
type Record struct {
	task     identity.Task
	shard    identity.Shard
	epoch    identity.Epoch
	reported identity.Epoch
	result   outcome.Result
	at       time.Time
	starts   int
	lists    [indexes]neighbours
}

// NewRecord rebuilds a record from its parts, for codecs.
func NewRecord(task identity.Task, shard identity.Shard, epoch identity.Epoch, result outcome.Result) Record {
	return Record{
		task:   task,
		shard:  shard,
		epoch:  epoch,
		result: result,
	}
}

// Task is the task that was started.
func (r Record) Task() identity.Task {
	return r.task
}

// Shard is the shard of the task's submission.
func (r Record) Shard() identity.Shard {
	return r.shard
}

// Epoch is the epoch under which the task was started.
func (r Record) Epoch() identity.Epoch {
	return r.epoch
}

// Result is what is known about the start.
func (r Record) Result() outcome.Result {
	return r.result
}

// EndEpoch is the shard's epoch when the start ended. An owner that sealed the
// shard under a higher one has learned of the end from the seal.
func (r Record) EndEpoch() identity.Epoch {
	return r.reported
}

func (r *Record) mayStart(maxStarts int) bool {
	switch r.result.State() {
	case outcome.Revoked, outcome.Failed:
		return r.starts < maxStarts
	}
	return false
}

// effective tells whether a start may have reached a back end.
func (r *Record) effective() bool {
	return r.starts > 0
}

// The lists that a record is in.
const (
	inShard = iota
	inSubmission
	indexes
)

type neighbours struct {
	before *Record
	after  *Record
}

// list keeps records in the order of their start, so that what is read from the
// ledger does not depend on the order of a map.
type list struct {
	first *Record
	last  *Record
}

func (l *list) add(r *Record, index int) {
	r.lists[index] = neighbours{
		before: l.last,
	}
	if l.last == nil {
		l.first = r
	} else {
		l.last.lists[index].after = r
	}
	l.last = r
}

// remove takes the record out and tells whether the list is empty now.
func (l *list) remove(r *Record, index int) bool {
	n := r.lists[index]
	if n.before == nil {
		l.first = n.after
	} else {
		n.before.lists[index].after = n.after
	}
	if n.after == nil {
		l.last = n.before
	} else {
		n.after.lists[index].before = n.before
	}
	r.lists[index] = neighbours{}
	return l.first == nil
}

// copies returns the records without their place in the ledger.
func (l list) copies(index int, include func(*Record) bool) []Record {
	var records []Record
	for r := l.first; r != nil; r = r.lists[index].after {
		if include == nil || include(r) {
			records = append(records, r.copied())
		}
	}
	return records
}

func (r *Record) plain() Record {
	c := *r
	c.lists = [indexes]neighbours{}
	return c
}

func (r *Record) copied() Record {
	c := r.plain()
	if c.result.State() == outcome.Revoked && c.starts > 0 {
		// Only the last start did not reach the back end; the one before failed.
		c.result = outcome.Failure("an earlier start failed", 0)
	}
	return c
}
