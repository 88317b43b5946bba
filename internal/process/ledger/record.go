package ledger

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
)

// Record describes the starts of one task by this agent.
type Record struct {
	task     identity.Task
	shard    identity.Shard
	epoch    identity.Epoch
	endEpoch identity.Epoch
	result   outcome.Result
	at       time.Time
	starts   int
	links    [indexCount]listLinks
}

// NewRecord rebuilds a record from its parts, for decoders.
func NewRecord(task identity.Task, shard identity.Shard, epoch identity.Epoch, result outcome.Result) Record {
	return Record{
		task:   task,
		shard:  shard,
		epoch:  epoch,
		result: result,
	}
}

func (r Record) Task() identity.Task {
	return r.task
}

// Shard returns the shard of the task's submission.
func (r Record) Shard() identity.Shard {
	return r.shard
}

// Epoch returns the epoch of the last start.
func (r Record) Epoch() identity.Epoch {
	return r.epoch
}

// Result returns the outcome of the last start, as far as it is known.
func (r Record) Result() outcome.Result {
	return r.result
}

// EndEpoch returns the shard's epoch when the start ended. An owner that fenced the
// shard under a higher epoch received the result with the fence.
func (r Record) EndEpoch() identity.Epoch {
	return r.endEpoch
}

func (r *Record) mayStart(maxStarts int) bool {
	switch r.result.State() {
	case outcome.Revoked, outcome.Failed:
		return r.starts < maxStarts
	}
	return false
}

// mayHaveStarted reports whether a start may have reached a back end.
func (r *Record) mayHaveStarted() bool {
	return r.starts > 0
}

// The lists that contain a record.
const (
	byShard = iota
	bySubmission
	indexCount
)

type listLinks struct {
	prev *Record
	next *Record
}

// list links records in start order, so that the order of the ledger's answers does
// not depend on map iteration.
type list struct {
	first *Record
	last  *Record
}

func (l *list) add(r *Record, index int) {
	r.links[index] = listLinks{
		prev: l.last,
	}
	if l.last == nil {
		l.first = r
	} else {
		l.last.links[index].next = r
	}
	l.last = r
}

// remove unlinks the record and reports whether the list is now empty.
func (l *list) remove(r *Record, index int) bool {
	n := r.links[index]
	if n.prev == nil {
		l.first = n.next
	} else {
		n.prev.links[index].next = n.next
	}
	if n.next == nil {
		l.last = n.prev
	} else {
		n.next.links[index].prev = n.prev
	}
	r.links[index] = listLinks{}
	return l.first == nil
}

// snapshots returns copies of the records, detached from the ledger.
func (l list) snapshots(index int, include func(*Record) bool) []Record {
	var records []Record
	for r := l.first; r != nil; r = r.links[index].next {
		if include == nil || include(r) {
			records = append(records, r.snapshot())
		}
	}
	return records
}

func (r *Record) detached() Record {
	c := *r
	c.links = [indexCount]listLinks{}
	return c
}

func (r *Record) snapshot() Record {
	c := r.detached()
	if c.result.State() == outcome.Revoked && c.starts > 0 {
		// The last start did not reach the back end, but an earlier one failed.
		c.result = outcome.Failure("an earlier start failed", 0)
	}
	return c
}
