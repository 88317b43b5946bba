// Package keyvalue is an in-memory stand-in for the key-value service that package
// store calls.
//
// It implements the part of the published key-value HTTP interface that the
// project uses: sessions with a time to live, check-and-set by modify index, locks
// on keys acquired with a session, and blocking queries. One goroutine owns the
// data; each HTTP request is a message to it. Faults can be injected: errors to
// every call, slow responses, responses that are lost or replaced by status 500
// after the write took effect, and stale reads.
package keyvalue

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/ring"
)

// Limits of the stand-in.
const (
	MaxValueBytes = 1_000_000
	ringSize      = 4096
	maxWait       = time.Minute
	sweepInterval = 100 * time.Millisecond
	// maxTombstones bounds the deletions that are stored by key. Older deletions
	// apply to every key and prefix, so some blocking queries return without a change.
	maxTombstones = 256
	// maxLastReads bounds the results that are stored for stale reads.
	maxLastReads = 256
)

type entry struct {
	value       []byte
	createIndex uint64
	modifyIndex uint64
	session     string
}

type session struct {
	ttl     time.Duration
	expires time.Time
}

type pair struct {
	Key         string  `json:"Key"`
	Value       *string `json:"Value"`
	CreateIndex uint64  `json:"CreateIndex"`
	ModifyIndex uint64  `json:"ModifyIndex"`
	Session     string  `json:"Session,omitempty"`
}

// call is a request to the goroutine that owns the data. A call with an index
// waits until a newer change under key, or until deadline.
type call struct {
	do       func(*data)
	index    uint64
	key      string
	prefix   bool
	reply    chan struct{}
	deadline time.Time
}

// Counts contains the number of calls so far, by type.
type Counts struct {
	reads   int64
	writes  int64
	waiting int64
}

// Reads returns the number of reads, blocking queries included.
func (c Counts) Reads() int64 {
	return c.reads
}

// Writes returns the number of puts, deletes and session calls.
func (c Counts) Writes() int64 {
	return c.writes
}

// Waiting returns the number of blocking queries that are waiting now.
func (c Counts) Waiting() int64 {
	return c.waiting
}

// readResult is the result of a read: the pairs found and their newest index.
type readResult struct {
	pairs  []pair
	newest uint64
}

type data struct {
	index       uint64
	lastReads   map[string]readResult
	tombstones  []tombstone
	prunedIndex uint64
	entries     map[string]*entry
	sessions    map[string]*session
	counts      Counts
	faults      Faults
	waiters     []*call
}

// tombstone records a deleted key and the index of its deletion.
type tombstone struct {
	key   string
	index uint64
}

// remove deletes a key and adds a tombstone, so that blocking queries on it see
// the deletion.
func (d *data) remove(key string) {
	d.index++
	delete(d.entries, key)
	d.tombstones = append(d.tombstones, tombstone{
		key:   key,
		index: d.index,
	})
	if len(d.tombstones) > maxTombstones {
		d.prunedIndex = d.tombstones[0].index
		d.tombstones = append([]tombstone(nil), d.tombstones[1:]...)
	}
}

// Faults describes the errors that the stand-in injects. The zero value has none.
type Faults struct {
	staleReads          int
	down                bool
	delay               time.Duration
	lostResponses       int
	failuresAfterCommit int
}

// NewFaults returns a set of faults: down fails every call, delay slows each call,
// and the responses to the next lostResponses writes are dropped after the writes
// took effect.
func NewFaults(down bool, delay time.Duration, lostResponses int) Faults {
	return Faults{
		down:          down,
		delay:         delay,
		lostResponses: lostResponses,
	}
}

// WithFailuresAfterCommit returns a copy that answers the next n writes with status
// 500 after they took effect, as a server does that loses its leader.
func (f Faults) WithFailuresAfterCommit(n int) Faults {
	f.failuresAfterCommit = n
	return f
}

// WithStaleReads returns a copy that answers the next n reads with the result of an
// earlier read of the same keys.
func (f Faults) WithStaleReads(n int) Faults {
	f.staleReads = n
	return f
}

// Store is an in-memory key-value store with an HTTP interface.
type Store struct {
	ring *ring.Ring[*call]
	now  func() time.Time
}

// New returns an empty store. It answers only while Run is running.
func New(now func() time.Time) (*Store, error) {
	r, err := ring.New[*call]("keyvalue", ringSize)
	if err != nil {
		return nil, err
	}
	return &Store{
		ring: r,
		now:  now,
	}, nil
}

// Run owns the data until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	d := &data{
		index:     1,
		lastReads: map[string]readResult{},
		entries:   map[string]*entry{},
		sessions:  map[string]*session{},
	}
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case c := <-s.ring.Out():
			s.handle(d, c)
		case <-sweep.C:
			s.sweep(d)
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Store) handle(d *data, c *call) {
	if c.index > 0 && !changed(d, c) {
		d.waiters = append(d.waiters, c)
		d.counts.waiting++
		return
	}
	before := d.index
	c.do(d)
	close(c.reply)
	if d.index != before {
		s.wakeWaiters(d)
	}
}

// changed reports whether the key has a change newer than the index of the call.
func changed(d *data, c *call) bool {
	return newestIndex(d, c.key, c.prefix) > c.index
}

// newestIndex returns the newest index of a key or prefix, deletions included.
func newestIndex(d *data, key string, prefix bool) uint64 {
	newest := d.prunedIndex
	if e, ok := d.entries[key]; ok && !prefix {
		return max(newest, e.modifyIndex)
	}
	for _, t := range d.tombstones {
		if t.key == key || (prefix && strings.HasPrefix(t.key, key)) {
			newest = max(newest, t.index)
		}
	}
	if !prefix {
		return newest
	}
	for k, e := range d.entries {
		if strings.HasPrefix(k, key) {
			newest = max(newest, e.modifyIndex)
		}
	}
	return newest
}

func (s *Store) wakeWaiters(d *data) {
	remaining := d.waiters[:0]
	for _, c := range d.waiters {
		if !changed(d, c) {
			remaining = append(remaining, c)
			continue
		}
		d.counts.waiting--
		c.do(d)
		close(c.reply)
	}
	d.waiters = remaining
}

func (s *Store) sweep(d *data) {
	now := s.now()
	before := d.index
	for id, sess := range d.sessions {
		if !sess.expires.After(now) {
			endSession(d, id)
		}
	}
	if d.index != before {
		s.wakeWaiters(d)
	}
	remaining := d.waiters[:0]
	for _, c := range d.waiters {
		if c.deadline.After(now) {
			remaining = append(remaining, c)
			continue
		}
		d.counts.waiting--
		c.do(d)
		close(c.reply)
	}
	d.waiters = remaining
}

// endSession ends a session and deletes the keys that it acquired.
func endSession(d *data, id string) {
	delete(d.sessions, id)
	for key, e := range d.entries {
		if e.session == id {
			d.remove(key)
		}
	}
}

func (s *Store) call(ctx context.Context, c *call) error {
	c.reply = make(chan struct{})
	if err := s.ring.Push(ctx, c); err != nil {
		return err
	}
	select {
	case <-c.reply:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "key-value stand-in")
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(ctx context.Context, f Faults) error {
	return s.call(ctx, &call{
		do: func(d *data) { d.faults = f },
	})
}

// Counts returns the number of calls so far.
func (s *Store) Counts(ctx context.Context) (Counts, error) {
	var counts Counts
	err := s.call(ctx, &call{
		do: func(d *data) { counts = d.counts },
	})
	return counts, err
}
