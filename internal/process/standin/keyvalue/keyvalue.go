// Package keyvalue is a small stand-in for the platform's key-value service.
//
// It speaks the part of the published key-value HTTP interface that the project
// uses: sessions with a time to live, check-and-set by modify index, acquiring a
// key with a session, and blocking queries. One goroutine owns the data; each
// HTTP request is a message to it. Faults can be switched on: no answer, slow
// answers, answers lost or replaced by status 500 after the change took effect,
// and old answers to reads.
package keyvalue

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/ring"
)

// The bounds of the stand-in.
const (
	MaxValueBytes = 1_000_000
	ringSize      = 4096
	maxWait       = time.Minute
	sweepInterval = 100 * time.Millisecond
	// maxTombstones bounds the deletions that are kept by key. Older ones count for
	// every prefix, which wakes some blocking queries without a change.
	maxTombstones = 256
	// maxFormer bounds the answers that are kept for the fault of old answers.
	maxFormer = 256
)

type entry struct {
	value   []byte
	create  uint64
	modify  uint64
	session string
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

// call is one request to the owner of the data.
type call struct {
	do     func(*data)
	index  uint64
	key    string
	prefix bool
	reply  chan struct{}
	until  time.Time
}

// Counts are the calls so far, by sort.
type Counts struct {
	reads   int64
	writes  int64
	waiting int64
}

// Reads counts reads and blocking queries.
func (c Counts) Reads() int64 {
	return c.reads
}

// Writes counts puts, deletes, and session calls.
func (c Counts) Writes() int64 {
	return c.writes
}

// Waiting is the number of blocking queries that wait now.
func (c Counts) Waiting() int64 {
	return c.waiting
}

// listed is an answer to a read.
type listed struct {
	pairs  []pair
	newest uint64
}

type data struct {
	index    uint64
	former   map[string]listed
	deleted  []tombstone
	pruned   uint64
	entries  map[string]*entry
	sessions map[string]*session
	counts   Counts
	faults   Faults
	waiters  []*call
}

// tombstone is a deleted key with the index of its deletion.
type tombstone struct {
	key   string
	index uint64
}

// remove deletes a key.
func (d *data) remove(key string) {
	d.index++
	delete(d.entries, key)
	d.deleted = append(d.deleted, tombstone{
		key:   key,
		index: d.index,
	})
	if len(d.deleted) > maxTombstones {
		d.pruned = d.deleted[0].index
		d.deleted = append([]tombstone(nil), d.deleted[1:]...)
	}
}

// Faults are what the stand-in does wrong.
type Faults struct {
	oldAnswer  int
	down       bool
	delay      time.Duration
	loseAnswer int
	failAfter  int
}

// NewFaults returns a set of faults: down refuses every call, delay slows each,
// loseAnswer drops the answers of that many coming writes after they took effect.
func NewFaults(down bool, delay time.Duration, loseAnswer int) Faults {
	return Faults{
		down:       down,
		delay:      delay,
		loseAnswer: loseAnswer,
	}
}

// WithFailuresAfterCommit has that many coming writes answered with status 500 after
// they took effect, as by a server that loses its leader.
func (f Faults) WithFailuresAfterCommit(n int) Faults {
	f.failAfter = n
	return f
}

// WithStaleReads has that many coming reads answered with what an earlier read of
// the same keys was answered.
func (f Faults) WithStaleReads(n int) Faults {
	f.oldAnswer = n
	return f
}

// Store is the stand-in.
type Store struct {
	ring *ring.Ring[*call]
	now  func() time.Time
}

// New returns an empty store; Run must be running for it to answer.
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
		index:    1,
		former:   map[string]listed{},
		entries:  map[string]*entry{},
		sessions: map[string]*session{},
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

// changed tells whether something under the key is newer than the caller knows.
func changed(d *data, c *call) bool {
	return indexOf(d, c.key, c.prefix) > c.index
}

// indexOf is the newest index under a key, deletions included.
func indexOf(d *data, key string, prefix bool) uint64 {
	newest := d.pruned
	if e, ok := d.entries[key]; ok && !prefix {
		return max(newest, e.modify)
	}
	for _, t := range d.deleted {
		if t.key == key || (prefix && strings.HasPrefix(t.key, key)) {
			newest = max(newest, t.index)
		}
	}
	if !prefix {
		return newest
	}
	for k, e := range d.entries {
		if strings.HasPrefix(k, key) {
			newest = max(newest, e.modify)
		}
	}
	return newest
}

func (s *Store) wakeWaiters(d *data) {
	kept := d.waiters[:0]
	for _, c := range d.waiters {
		if !changed(d, c) {
			kept = append(kept, c)
			continue
		}
		d.counts.waiting--
		c.do(d)
		close(c.reply)
	}
	d.waiters = kept
}

func (s *Store) sweep(d *data) {
	now := s.now()
	before := d.index
	for id, x := range d.sessions {
		if !x.expires.After(now) {
			drop(d, id)
		}
	}
	if d.index != before {
		s.wakeWaiters(d)
	}
	kept := d.waiters[:0]
	for _, c := range d.waiters {
		if c.until.After(now) {
			kept = append(kept, c)
			continue
		}
		d.counts.waiting--
		c.do(d)
		close(c.reply)
	}
	d.waiters = kept
}

// drop ends a session; the keys that it acquired are deleted.
func drop(d *data, id string) {
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

// SetFaults replaces the faults.
func (s *Store) SetFaults(ctx context.Context, f Faults) error {
	return s.call(ctx, &call{
		do: func(d *data) { d.faults = f },
	})
}

// Counts returns the calls so far.
func (s *Store) Counts(ctx context.Context) (Counts, error) {
	var counts Counts
	err := s.call(ctx, &call{
		do: func(d *data) { counts = d.counts },
	})
	return counts, err
}
