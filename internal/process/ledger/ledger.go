// Package ledger keeps an agent's record of every task that it started.
//
// The ledger ensures that no task starts twice. A record is written before the
// back end is called and is kept until the owner refuses the submission's key as
// expired, clock skew included. The ledger also has the highest epoch seen for
// each shard. It refuses a start under a lower epoch, so a previous owner cannot
// start a task once its successor has fenced the shard.
//
// Memory is limited by the number of records and by the bytes of their results.
// When the results exceed the limit, the oldest ones are evicted: their records
// stay, with an unknown outcome.
package ledger

import (
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
)

// The reasons for refusing a start.
var (
	ErrEpoch   = errors.New("a newer owner has fenced the shard")
	ErrStarted = errors.New("the task has already been started")
	ErrFull    = errors.New("the start ledger is full")
)

const (
	// expireBatch limits the work of one call of Expire. At 20 calls per second it
	// removes about 20,000 records per second, more than one agent can start.
	expireBatch = 1024
	// slabSize is the number of records in one allocation.
	slabSize = 64
)

// RecordRetention returns how long records must be kept for a retention of keys.
// A key can be ahead of the owner's clock by skew when its task starts, and the
// owner's clock can be behind the agent's by skew.
func RecordRetention(retention, skew time.Duration) time.Duration {
	return retention + 2*skew
}

// datedRecord is a queue entry: a record and the record's time when it was queued.
// If the record's time has changed since, the entry is stale.
type datedRecord struct {
	record *Record
	at     time.Time
}

// Ledger is the set of records of one agent.
type Ledger struct {
	startedAt   time.Time
	retention   time.Duration
	maxRecords  int
	maxBytes    int
	bytes       int
	running     int
	evicted     int
	records     map[identity.Task]*Record
	shards      map[identity.Shard]*list
	jobs        map[identity.Submission]list
	epochs      map[identity.Shard]identity.Epoch
	expiryQueue []datedRecord
	results     []datedRecord
	slab        []Record
}

// New returns an empty ledger that starts at now. It keeps each record for the
// retention, and holds at most maxRecords records and maxBytes bytes of results.
func New(now time.Time, retention time.Duration, maxRecords, maxBytes int) (*Ledger, error) {
	if retention <= 0 || maxRecords < 1 || maxBytes < 0 {
		return nil, errors.Errorf("ledger: retention is %v, want more than 0; record limit is %d, want at least 1; byte limit is %d, want at least 0", retention, maxRecords, maxBytes)
	}
	return &Ledger{
		startedAt:  now,
		retention:  retention,
		maxRecords: maxRecords,
		maxBytes:   maxBytes,
		records:    map[identity.Task]*Record{},
		shards:     map[identity.Shard]*list{},
		jobs:       map[identity.Submission]list{},
		epochs:     map[identity.Shard]identity.Epoch{},
	}, nil
}

// Since returns the time at which the ledger started.
func (l *Ledger) Since() time.Time {
	return l.startedAt
}

// ExtendRetention raises the retention. It never lowers it, since an owner may
// still use the previous configuration.
func (l *Ledger) ExtendRetention(retention time.Duration) {
	l.retention = max(l.retention, retention)
}

// Retention returns how long records are kept.
func (l *Ledger) Retention() time.Duration {
	return l.retention
}

// RaiseEpoch sets the epoch of a shard. It returns false if a higher epoch is
// known.
func (l *Ledger) RaiseEpoch(shard identity.Shard, epoch identity.Epoch) bool {
	if epoch < l.epochs[shard] {
		return false
	}
	l.epochs[shard] = epoch
	return true
}

// Epoch returns the highest epoch seen for a shard, or 0.
func (l *Ledger) Epoch(shard identity.Shard) identity.Epoch {
	return l.epochs[shard]
}

// Check returns ErrEpoch, ErrStarted or ErrFull if a start would be refused. A
// task may start again only if its previous start never reached the back end, or
// if it failed and fewer than maxStarts starts were made by this agent.
func (l *Ledger) Check(task identity.Task, shard identity.Shard, epoch identity.Epoch, maxStarts int) error {
	if epoch < l.epochs[shard] {
		return errors.Wrapf(ErrEpoch, "shard %d is at epoch %d, start has %d", shard, l.epochs[shard], epoch)
	}
	r, ok := l.records[task]
	switch {
	case ok && !r.mayStart(maxStarts):
		return errors.Wrapf(ErrStarted, "task %s", task)
	case !ok && len(l.records) >= l.maxRecords:
		return errors.Wrapf(ErrFull, "%d records", l.maxRecords)
	}
	return nil
}

// Begin writes the record of a start, or returns the error of Check.
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
	l.bytes -= resultBytes(r.result)
	r.result = outcome.Result{}
	r.epoch = epoch
	r.starts++
	l.enqueueExpiry(now, r)
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
	s.add(r, byShard)
	j := l.jobs[task.Submission()]
	j.add(r, bySubmission)
	l.jobs[task.Submission()] = j
	return r
}

// enqueueExpiry moves the record to the end of the expiry queue. An older entry of
// the record becomes stale, because its time differs.
func (l *Ledger) enqueueExpiry(now time.Time, r *Record) {
	r.at = now
	l.expiryQueue = append(l.expiryQueue, datedRecord{
		record: r,
		at:     now,
	})
}

// End stores the result of a start and reports whether the task was running. A
// start that never reached the back end keeps its record for reports, but the
// record neither blocks a later start nor is returned by Fence.
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
	r.endEpoch = l.epochs[r.shard]
	if now.Sub(r.at) >= l.retention {
		// The record left the expiry queue while the task ran. It is kept for another
		// retention, for an owner that fences the shard before it receives the result.
		l.enqueueExpiry(now, r)
	}
	l.bytes += resultBytes(result)
	l.results = append(l.results, datedRecord{
		record: r,
		at:     r.at,
	})
	l.evict()
	return true
}

// resultBytes returns the bytes of a result that count towards the limit.
func resultBytes(r outcome.Result) int {
	return len(r.Body()) + len(r.Detail())
}

// evict discards the oldest results until the rest is within the limit. An empty
// result would look complete, so the outcome of a success becomes unknown.
func (l *Ledger) evict() {
	for len(l.results) > 0 {
		d := l.results[0]
		stale := d.record.at != d.at || !d.record.result.State().Ended() || l.records[d.record.task] != d.record
		if !stale && l.bytes <= l.maxBytes {
			return
		}
		l.results[0] = datedRecord{}
		l.results = l.results[1:]
		if stale || resultBytes(d.record.result) == 0 {
			continue
		}
		l.bytes -= resultBytes(d.record.result)
		if d.record.result.State() == outcome.Succeeded {
			d.record.result = outcome.Lost("")
		} else {
			d.record.result = outcome.Of(d.record.result.State(), nil, "", d.record.result.RunTime())
		}
		l.evicted++
	}
}

func (l *Ledger) drop(r *Record) {
	l.bytes -= resultBytes(r.result)
	delete(l.records, r.task)
	if l.shards[r.shard].remove(r, byShard) {
		delete(l.shards, r.shard)
	}
	s := r.task.Submission()
	j := l.jobs[s]
	if j.remove(r, bySubmission) {
		delete(l.jobs, s)
	} else {
		l.jobs[s] = j
	}
}

// Find returns the record of a task with the result of its last start.
func (l *Ledger) Find(task identity.Task) (Record, bool) {
	r, ok := l.records[task]
	if !ok {
		return Record{}, false
	}
	return r.detached(), true
}

// BySubmission returns the records of a submission in start order.
func (l *Ledger) BySubmission(s identity.Submission) []Record {
	return l.jobs[s].snapshots(bySubmission, nil)
}

// Fence raises the shard's epoch and returns the records of starts that may have
// reached a back end, in start order. It fails with ErrEpoch if a higher epoch is
// known.
func (l *Ledger) Fence(shard identity.Shard, epoch identity.Epoch) ([]Record, error) {
	if !l.RaiseEpoch(shard, epoch) {
		return nil, errors.Wrapf(ErrEpoch, "shard %d is at epoch %d, fence has %d", shard, l.epochs[shard], epoch)
	}
	s, ok := l.shards[shard]
	if !ok {
		return nil, nil
	}
	return s.snapshots(byShard, (*Record).mayHaveStarted), nil
}

// Expire removes records older than the retention, up to a limit in each call. A
// running task keeps its record, since End must find it, and does not delay the
// removal of later records.
func (l *Ledger) Expire(now time.Time) {
	for range expireBatch {
		if len(l.expiryQueue) == 0 || now.Sub(l.expiryQueue[0].at) < l.retention {
			return
		}
		d := l.expiryQueue[0]
		l.expiryQueue[0] = datedRecord{}
		l.expiryQueue = l.expiryQueue[1:]
		r := d.record
		if r.at == d.at && r.result.State().Ended() && l.records[r.task] == r {
			l.drop(r)
		}
	}
}

// Len returns the number of records.
func (l *Ledger) Len() int {
	return len(l.records)
}

// Running returns the number of records without a result.
func (l *Ledger) Running() int {
	return l.running
}

// Bytes returns the size of all kept results.
func (l *Ledger) Bytes() int {
	return l.bytes
}

// Evicted returns the number of results discarded so far to stay within the limit.
func (l *Ledger) Evicted() int {
	return l.evicted
}
