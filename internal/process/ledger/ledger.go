// Package ledger keeps an agent's record of every task that it started.
//
// The ledger is the fence behind the promise that no task starts twice. A record
// is written before the back end is called and stays for the retention, after
// which the owner refuses the submission's key as expired. Each shard also has
// the highest epoch seen; a start under a lower one is refused, so a former
// owner cannot start anything once its successor has sealed the shard.
package ledger

import (
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
)

// The reasons for which a start is refused.
var (
	ErrEpoch   = errors.New("a newer owner has sealed the shard")
	ErrStarted = errors.New("the task was started before")
	ErrFull    = errors.New("the start ledger is full")
)

// Record tells of one start.
type Record struct {
	task   identity.Task
	shard  identity.Shard
	epoch  identity.Epoch
	result outcome.Result
	at     time.Time
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

// Ledger is the set of records of one agent.
type Ledger struct {
	retention time.Duration
	limit     int
	records   map[identity.Task]*Record
	byShard   map[identity.Shard]map[identity.Task]*Record
	epochs    map[identity.Shard]identity.Epoch
	order     []*Record
}

// New returns an empty ledger that holds at most limit records.
func New(retention time.Duration, limit int) (*Ledger, error) {
	if retention <= 0 || limit < 1 {
		return nil, errors.Errorf("ledger: retention %v and limit %d must be positive", retention, limit)
	}
	return &Ledger{
		retention: retention,
		limit:     limit,
		records:   map[identity.Task]*Record{},
		byShard:   map[identity.Shard]map[identity.Task]*Record{},
		epochs:    map[identity.Shard]identity.Epoch{},
	}, nil
}

// Begin writes the record of a start, or tells why the start is refused.
func (l *Ledger) Begin(now time.Time, task identity.Task, shard identity.Shard, epoch identity.Epoch) error {
	if epoch < l.epochs[shard] {
		return errors.Wrapf(ErrEpoch, "shard %d is at epoch %d, start has %d", shard, l.epochs[shard], epoch)
	}
	if _, ok := l.records[task]; ok {
		return errors.Wrapf(ErrStarted, "task %s", task)
	}
	if len(l.records) >= l.limit {
		return errors.Wrapf(ErrFull, "%d records", l.limit)
	}
	l.epochs[shard] = epoch
	r := &Record{
		task:  task,
		shard: shard,
		epoch: epoch,
		at:    now,
	}
	l.records[task] = r
	if l.byShard[shard] == nil {
		l.byShard[shard] = map[identity.Task]*Record{}
	}
	l.byShard[shard][task] = r
	l.order = append(l.order, r)
	return nil
}

// End stores the result of a start and tells whether the task was running.
func (l *Ledger) End(task identity.Task, result outcome.Result) bool {
	r, ok := l.records[task]
	if !ok || r.result.State().Ended() {
		return false
	}
	r.result = result
	return true
}

// Find returns the record of a task.
func (l *Ledger) Find(task identity.Task) (Record, bool) {
	r, ok := l.records[task]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Seal raises the shard's epoch and returns its records; a lower epoch than the
// known one is refused.
func (l *Ledger) Seal(shard identity.Shard, epoch identity.Epoch) ([]Record, error) {
	if epoch < l.epochs[shard] {
		return nil, errors.Wrapf(ErrEpoch, "shard %d is at epoch %d, seal has %d", shard, l.epochs[shard], epoch)
	}
	l.epochs[shard] = epoch
	records := make([]Record, 0, len(l.byShard[shard]))
	for _, r := range l.byShard[shard] {
		records = append(records, *r)
	}
	return records, nil
}

// Expire drops the records older than the retention. A task that still runs
// keeps its record, since its end must find it.
func (l *Ledger) Expire(now time.Time) {
	for len(l.order) > 0 {
		r := l.order[0]
		if now.Sub(r.at) < l.retention || !r.result.State().Ended() {
			return
		}
		l.order[0] = nil
		l.order = l.order[1:]
		delete(l.records, r.task)
		delete(l.byShard[r.shard], r.task)
		if len(l.byShard[r.shard]) == 0 {
			delete(l.byShard, r.shard)
		}
	}
}

// Len is the number of records.
func (l *Ledger) Len() int {
	return len(l.records)
}
