// Package ledger keeps an agent's record of every task that it started.
//
// The ledger is the fence behind the promise that no task starts twice. A record
// is written before the back end is called and is kept until the owner refuses
// the submission's key as expired, clock differences included. Each shard also
// has the highest epoch seen; a start under a lower one is refused, so a former
// owner cannot start anything once its successor has sealed the shard.
//
// Memory is bounded by the number of records and by the bytes of their results.
// When the results take too much, the oldest ones are given up: their records
// stay, with an unknown outcome.
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

const (
	// expireBatch bounds the work of one Expire; at 20 calls a second it drops
	// 20,000 records a second, more than one agent can start.
	expireBatch = 1024
	// slabSize is how many records are allocated at a time.
	slabSize = 64
)

// RecordRetention is how long records are kept for a retention: a key may be ahead of the
// owner's clock by the skew when its task starts, and the owner's clock may be
// behind the agent's by as much.
func RecordRetention(retention, skew time.Duration) time.Duration {
	return retention + 2*skew
}

// dated is a record's place in the order of expiry.
type dated struct {
	record *Record
	at     time.Time
}

// Ledger is the set of records of one agent.
type Ledger struct {
	since    time.Time
	keep     time.Duration
	limit    int
	maxBytes int
	bytes    int
	running  int
	evicted  int
	records  map[identity.Task]*Record
	shards   map[identity.Shard]*list
	jobs     map[identity.Submission]list
	epochs   map[identity.Shard]identity.Epoch
	order    []dated
	results  []dated
	slab     []Record
}

// New returns an empty ledger that begins now, keeps records for a time, and
// holds at most limit records and maxBytes of results.
func New(now time.Time, keep time.Duration, limit, maxBytes int) (*Ledger, error) {
	if keep <= 0 || limit < 1 || maxBytes < 0 {
		return nil, errors.Errorf("ledger: time %v and limit %d must be positive, %d bytes not negative", keep, limit, maxBytes)
	}
	return &Ledger{
		since:    now,
		keep:     keep,
		limit:    limit,
		maxBytes: maxBytes,
		records:  map[identity.Task]*Record{},
		shards:   map[identity.Shard]*list{},
		jobs:     map[identity.Submission]list{},
		epochs:   map[identity.Shard]identity.Epoch{},
	}, nil
}

// Since is when the ledger began.
func (l *Ledger) Since() time.Time {
	return l.since
}

// ExtendRetention raises the time for which records are kept. It is never lowered, since
// an owner may still use the former configuration.
func (l *Ledger) ExtendRetention(keep time.Duration) {
	l.keep = max(l.keep, keep)
}

// Retention is the time for which records are kept.
func (l *Ledger) Retention() time.Duration {
	return l.keep
}

// RaiseEpoch notes an epoch of a shard; false if a higher one is known.
func (l *Ledger) RaiseEpoch(shard identity.Shard, epoch identity.Epoch) bool {
	if epoch < l.epochs[shard] {
		return false
	}
	l.epochs[shard] = epoch
	return true
}

// Epoch is the highest epoch seen of a shard.
func (l *Ledger) Epoch(shard identity.Shard) identity.Epoch {
	return l.epochs[shard]
}

// Check tells why a start would be refused. A task may start again only if its
// former start never reached the back end, or if it failed and fewer than
// maxStarts starts were made here.
func (l *Ledger) Check(task identity.Task, shard identity.Shard, epoch identity.Epoch, maxStarts int) error {
	if epoch < l.epochs[shard] {
		return errors.Wrapf(ErrEpoch, "shard %d is at epoch %d, start has %d", shard, l.epochs[shard], epoch)
	}
	r, ok := l.records[task]
	switch {
	case ok && !r.mayStart(maxStarts):
		return errors.Wrapf(ErrStarted, "task %s", task)
	case !ok && len(l.records) >= l.limit:
		return errors.Wrapf(ErrFull, "%d records", l.limit)
	}
	return nil
}

// Begin writes the record of a start, or tells why the start is refused.
func (l *Ledger) Begin(now time.Time, task identity.Task, shard identity.Shard, epoch identity.Epoch, maxStarts int) error {
	if err := l.Check(task, shard, epoch, maxStarts); err != nil {
		return err
	}
	r, ok := l.records[task]
	if !ok {
		r = l.add(task, shard)
	}
	l.epochs[shard] = epoch
	l.running++
	l.bytes -= size(r.result)
	r.result = outcome.Result{}
	r.epoch = epoch
	r.starts++
	l.date(now, r)
	return nil
}

func (l *Ledger) add(task identity.Task, shard identity.Shard) *Record {
	if len(l.slab) == 0 {
		l.slab = make([]Record, slabSize)
	}
	r := &l.slab[0]
	l.slab = l.slab[1:]
	r.task = task
	r.shard = shard
	l.records[task] = r
	s, ok := l.shards[shard]
	if !ok {
		s = &list{}
		l.shards[shard] = s
	}
	s.add(r, inShard)
	j := l.jobs[task.Submission()]
	j.add(r, inSubmission)
	l.jobs[task.Submission()] = j
	return r
}

// date gives the record a new place in the order of expiry. An older place is
// passed over, because its time differs.
func (l *Ledger) date(now time.Time, r *Record) {
	r.at = now
	l.order = append(l.order, dated{
		record: r,
		at:     now,
	})
}

// End stores the result of a start and tells whether the task was running. A
// start that never reached the back end keeps a record for its report, but the
// record hinders no later start and appears in no seal.
func (l *Ledger) End(now time.Time, task identity.Task, result outcome.Result) bool {
	r, ok := l.records[task]
	if !ok || r.result.State().Ended() {
		return false
	}
	l.running--
	if result.State() == outcome.Revoked {
		r.starts--
	}
	r.result = result
	r.reported = l.epochs[r.shard]
	if now.Sub(r.at) >= l.keep {
		// The record lost its place in the order while the task ran. It is kept once
		// more, for an owner that seals the shard before it hears of the end.
		l.date(now, r)
	}
	l.bytes += size(result)
	l.results = append(l.results, dated{
		record: r,
		at:     r.at,
	})
	l.evict()
	return true
}

// size is what a kept result counts.
func size(r outcome.Result) int {
	return len(r.Body()) + len(r.Detail())
}

// evict gives up the oldest results until the rest fits. An empty result would
// pass for the whole answer, so the outcome becomes unknown.
func (l *Ledger) evict() {
	for len(l.results) > 0 {
		d := l.results[0]
		stale := d.record.at != d.at || !d.record.result.State().Ended() || l.records[d.record.task] != d.record
		if !stale && l.bytes <= l.maxBytes {
			return
		}
		l.results[0] = dated{}
		l.results = l.results[1:]
		if stale || size(d.record.result) == 0 {
			continue
		}
		l.bytes -= size(d.record.result)
		if d.record.result.State() == outcome.Succeeded {
			d.record.result = outcome.Lost("")
		} else {
			d.record.result = outcome.Of(d.record.result.State(), nil, "", d.record.result.RunTime())
		}
		l.evicted++
	}
}

func (l *Ledger) drop(r *Record) {
	l.bytes -= size(r.result)
	delete(l.records, r.task)
	if l.shards[r.shard].remove(r, inShard) {
		delete(l.shards, r.shard)
	}
	s := r.task.Submission()
	j := l.jobs[s]
	if j.remove(r, inSubmission) {
		delete(l.jobs, s)
	} else {
		l.jobs[s] = j
	}
}

// Find returns the record of a task with the end of its last start.
func (l *Ledger) Find(task identity.Task) (Record, bool) {
	r, ok := l.records[task]
	if !ok {
		return Record{}, false
	}
	return r.plain(), true
}

// BySubmission returns the records of a submission in the order of their starts.
func (l *Ledger) BySubmission(s identity.Submission) []Record {
	return l.jobs[s].copies(inSubmission, nil)
}

// Fence raises the shard's epoch and returns the records of starts that may have
// reached a back end, in their order; a lower epoch than the known one is refused.
func (l *Ledger) Fence(shard identity.Shard, epoch identity.Epoch) ([]Record, error) {
	if !l.RaiseEpoch(shard, epoch) {
		return nil, errors.Wrapf(ErrEpoch, "shard %d is at epoch %d, seal has %d", shard, l.epochs[shard], epoch)
	}
	s, ok := l.shards[shard]
	if !ok {
		return nil, nil
	}
	return s.copies(inShard, (*Record).effective), nil
}

// Expire drops records whose time is over, a bounded number in each call. A task
// that still runs keeps its record, since its end must find it, and does not
// hold up the records behind it.
func (l *Ledger) Expire(now time.Time) {
	for range expireBatch {
		if len(l.order) == 0 || now.Sub(l.order[0].at) < l.keep {
			return
		}
		d := l.order[0]
		l.order[0] = dated{}
		l.order = l.order[1:]
		r := d.record
		if r.at == d.at && r.result.State().Ended() && l.records[r.task] == r {
			l.drop(r)
		}
	}
}

// Len is the number of records.
func (l *Ledger) Len() int {
	return len(l.records)
}

// Running is the number of records without an end.
func (l *Ledger) Running() int {
	return l.running
}

// Bytes is what the kept results take.
func (l *Ledger) Bytes() int {
	return l.bytes
}

// Evicted counts the results given up for want of room.
func (l *Ledger) Evicted() int {
	return l.evicted
}
