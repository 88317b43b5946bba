package keyvalue

import (
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
)

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
		lose, fail := false, false
		err := s.call(ctx, &call{
			do: func(d *data) {
				f = d.faults
				if write {
					d.counts.writes++
				} else {
					d.counts.reads++
				}
				switch {
				case !write:
				case d.faults.loseAnswer > 0:
					d.faults.loseAnswer--
					lose = true
				case d.faults.failAfter > 0:
					d.faults.failAfter--
					fail = true
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
		switch {
		case lose:
			return s.lost(c, h)
		case fail:
			return s.failed(c, h)
		}
		return h(c)
	}
}

// lost carries out the change and closes the connection without its answer.
func (s *Store) lost(c echo.Context, h echo.HandlerFunc) error {
	if err := s.unseen(c, h); err != nil {
		return err
	}
	panic(http.ErrAbortHandler)
}

// failed carries out the change and answers that it failed.
func (s *Store) failed(c echo.Context, h echo.HandlerFunc) error {
	if err := s.unseen(c, h); err != nil {
		return err
	}
	return c.String(http.StatusInternalServerError, "leadership lost while committing log")
}

// unseen carries out the change and drops the answer.
func (s *Store) unseen(c echo.Context, h echo.HandlerFunc) error {
	answer := c.Response()
	c.SetResponse(echo.NewResponse(&discard{
		header: http.Header{},
	}, c.Echo()))
	err := h(c)
	c.SetResponse(answer)
	return err
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
			a := d.answer(key, prefix)
			pairs, newest = a.pairs, a.newest
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

// answer lists the keys, or repeats an earlier answer if that fault is on.
func (d *data) answer(key string, prefix bool) listed {
	name := strconv.FormatBool(prefix) + key
	if old, ok := d.former[name]; ok && d.faults.oldAnswer > 0 {
		d.faults.oldAnswer--
		return old
	}
	a := listed{
		pairs:  find(d, key, prefix),
		newest: max(indexOf(d, key, prefix), 1),
	}
	if _, ok := d.former[name]; ok || len(d.former) < maxFormer {
		d.former[name] = a
	}
	return a
}

func find(d *data, key string, prefix bool) []pair {
	var pairs []pair
	for k, e := range d.entries {
		if k != key && !(prefix && strings.HasPrefix(k, key)) {
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
		if e != nil {
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
	d.index++
	if e == nil {
		e = &entry{
			create: d.index,
		}
		d.entries[key] = e
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
			if _, ok := d.entries[key]; ok {
				d.remove(key)
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
		FailAfter  int  `json:"fail_after"`
		OldAnswer  int  `json:"old_answer"`
	}
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	f := NewFaults(body.Down, time.Duration(body.DelayMS)*time.Millisecond, body.LoseAnswer)
	f = f.WithFailuresAfterCommit(body.FailAfter).WithStaleReads(body.OldAnswer)
	if err := s.SetFaults(c.Request().Context(), f); err != nil {
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
