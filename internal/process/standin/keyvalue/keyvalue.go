// Package keyvalue is a small stand-in for the platform's key-value service.
//
// It speaks the part of the published key-value HTTP interface that the project
// uses: sessions with a time to live, check-and-set by modify index, acquiring a
// key with a session, and blocking queries. One goroutine owns the data; each
// HTTP request is a message to it. Faults can be switched on: no answer, slow
// answers, and answers lost after the change took effect.
package keyvalue

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/ring"
)

// The bounds of the stand-in.
const (
	MaxValueBytes = 1_000_000
	ringSize      = 4096
	maxWait       = time.Minute
	sweepInterval = 100 * time.Millisecond
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

type data struct {
	index    uint64
	entries  map[string]*entry
	sessions map[string]*session
	counts   Counts
	faults   Faults
	waiters  []*call
}

// Faults are what the stand-in does wrong.
type Faults struct {
	down       bool
	delay      time.Duration
	loseAnswer int
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

// indexOf is the newest index under a key. Deletions count for prefixes through
// a tombstone entry without value.
func indexOf(d *data, key string, prefix bool) uint64 {
	var newest uint64
	if !prefix {
		if e, ok := d.entries[key]; ok {
			return e.modify
		}
		return 0
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
	for _, e := range d.entries {
		if e.session == id {
			d.index++
			e.value = nil
			e.session = ""
			e.modify = d.index
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

// Register adds the HTTP interface to a server.
func (s *Store) Register(e *echo.Echo) {
	e.GET("/v1/kv/*", s.guarded(false, s.get))
	e.PUT("/v1/kv/*", s.guarded(true, s.put))
	e.DELETE("/v1/kv/*", s.guarded(true, s.remove))
	e.PUT("/v1/session/create", s.guarded(true, s.createSession))
	e.PUT("/v1/session/renew/:id", s.guarded(true, s.renewSession))
	e.PUT("/v1/session/destroy/:id", s.guarded(true, s.destroySession))
	e.PUT("/standin/faults", s.putFaults)
	e.GET("/standin/counts", s.getCounts)
}

func (s *Store) guarded(write bool, h echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		ctx := c.Request().Context()
		var f Faults
		lose := false
		err := s.call(ctx, &call{
			do: func(d *data) {
				f = d.faults
				if write {
					d.counts.writes++
				} else {
					d.counts.reads++
				}
				if write && d.faults.loseAnswer > 0 {
					d.faults.loseAnswer--
					lose = true
				}
			},
		})
		if err != nil {
			return err
		}
		if f.down {
			return c.String(http.StatusInternalServerError, "no leader")
		}
		if f.delay > 0 {
			select {
			case <-time.After(f.delay):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if !lose {
			return h(c)
		}
		return s.lost(c, h)
	}
}

// lost carries out the change and closes the connection without its answer.
func (s *Store) lost(c echo.Context, h echo.HandlerFunc) error {
	answer := c.Response().Writer
	c.Response().Writer = &discard{
		header: http.Header{},
	}
	if err := h(c); err != nil {
		return err
	}
	c.Response().Writer = answer
	panic(http.ErrAbortHandler)
}

// discard is a response that nobody will see.
type discard struct {
	header http.Header
}

// Header is the header that nobody will see.
func (d *discard) Header() http.Header {
	return d.header
}

// Write drops p.
func (d *discard) Write(p []byte) (int, error) {
	return len(p), nil
}

// WriteHeader drops the status.
func (d *discard) WriteHeader(int) {}

func (s *Store) get(c echo.Context) error {
	key := c.Param("*")
	prefix := c.QueryParams().Has("recurse")
	index, _ := strconv.ParseUint(c.QueryParam("index"), 10, 64)
	wait, err := time.ParseDuration(c.QueryParam("wait"))
	if err != nil || wait > maxWait {
		wait = maxWait
	}
	var pairs []pair
	var newest uint64
	err = s.call(c.Request().Context(), &call{
		key:    key,
		prefix: prefix,
		index:  index,
		until:  s.now().Add(wait),
		do: func(d *data) {
			pairs = find(d, key, prefix)
			newest = max(indexOf(d, key, prefix), 1)
		},
	})
	if err != nil {
		return err
	}
	c.Response().Header().Set("X-Consul-Index", strconv.FormatUint(newest, 10))
	if len(pairs) == 0 {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, pairs)
}

func find(d *data, key string, prefix bool) []pair {
	var pairs []pair
	for k, e := range d.entries {
		if e.value == nil || (k != key && !(prefix && strings.HasPrefix(k, key))) {
			continue
		}
		v := base64.StdEncoding.EncodeToString(e.value)
		pairs = append(pairs, pair{
			Key:         k,
			Value:       &v,
			CreateIndex: e.create,
			ModifyIndex: e.modify,
			Session:     e.session,
		})
	}
	sort.Slice(pairs, func(i, j int) bool { return pairs[i].Key < pairs[j].Key })
	return pairs
}

func (s *Store) put(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, MaxValueBytes+1))
	if err != nil {
		return errors.Wrap(err, "read value")
	}
	if len(body) > MaxValueBytes {
		return c.String(http.StatusRequestEntityTooLarge, "value exceeds the limit")
	}
	key := c.Param("*")
	done := false
	err = s.call(c.Request().Context(), &call{
		do: func(d *data) { done = put(d, c, key, body) },
	})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, done)
}

func put(d *data, c echo.Context, key string, body []byte) bool {
	e := d.entries[key]
	if c.QueryParams().Has("cas") {
		want, err := strconv.ParseUint(c.QueryParam("cas"), 10, 64)
		if err != nil {
			return false
		}
		var have uint64
		if e != nil && e.value != nil {
			have = e.modify
		}
		if have != want {
			return false
		}
	}
	id := c.QueryParam("acquire")
	if id != "" {
		if d.sessions[id] == nil || (e != nil && e.session != "" && e.session != id) {
			return false
		}
	}
	if id := c.QueryParam("release"); id != "" {
		return release(d, e, id)
	}
	if e == nil {
		e = &entry{}
		d.entries[key] = e
	}
	d.index++
	if e.value == nil {
		e.create = d.index
	}
	e.value = append([]byte{}, body...)
	e.modify = d.index
	if id != "" {
		e.session = id
	}
	return true
}

// release keeps the key without holder.
func release(d *data, e *entry, id string) bool {
	if e == nil || e.session != id {
		return false
	}
	d.index++
	e.session = ""
	e.modify = d.index
	return true
}

func (s *Store) remove(c echo.Context) error {
	key := c.Param("*")
	err := s.call(c.Request().Context(), &call{
		do: func(d *data) {
			if e, ok := d.entries[key]; ok && e.value != nil {
				d.index++
				e.value = nil
				e.session = ""
				e.modify = d.index
			}
		},
	})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, true)
}

func (s *Store) createSession(c echo.Context) error {
	var body struct {
		TTL string `json:"TTL"`
	}
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil || ttl <= 0 {
		return c.String(http.StatusBadRequest, "TTL is not a positive duration")
	}
	id := uuid.NewString()
	err = s.call(c.Request().Context(), &call{
		do: func(d *data) {
			d.sessions[id] = &session{
				ttl:     ttl,
				expires: s.now().Add(ttl),
			}
		},
	})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string]string{"ID": id})
}

func (s *Store) renewSession(c echo.Context) error {
	id := c.Param("id")
	found := false
	err := s.call(c.Request().Context(), &call{
		do: func(d *data) {
			x, ok := d.sessions[id]
			if !ok {
				return
			}
			found = true
			x.expires = s.now().Add(x.ttl)
		},
	})
	if err != nil {
		return err
	}
	if !found {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, []map[string]string{{"ID": id}})
}

func (s *Store) destroySession(c echo.Context) error {
	err := s.call(c.Request().Context(), &call{
		do: func(d *data) { drop(d, c.Param("id")) },
	})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, true)
}

func (s *Store) putFaults(c echo.Context) error {
	var body struct {
		Down       bool `json:"down"`
		DelayMS    int  `json:"delay_ms"`
		LoseAnswer int  `json:"lose_answer"`
	}
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	if err := s.SetFaults(c.Request().Context(), NewFaults(body.Down, time.Duration(body.DelayMS)*time.Millisecond, body.LoseAnswer)); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Store) getCounts(c echo.Context) error {
	n, err := s.Counts(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string]int64{
		"reads":   n.reads,
		"writes":  n.writes,
		"waiting": n.waiting,
	})
}
