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

// Register adds the HTTP routes to a server.
func (s *Store) Register(e *echo.Echo) {
	e.GET("/v1/kv/*", s.withFaults(false, s.get))
	e.PUT("/v1/kv/*", s.withFaults(true, s.put))
	e.DELETE("/v1/kv/*", s.withFaults(true, s.remove))
	e.PUT("/v1/session/create", s.withFaults(true, s.createSession))
	e.PUT("/v1/session/renew/:id", s.withFaults(true, s.renewSession))
	e.PUT("/v1/session/destroy/:id", s.withFaults(true, s.destroySession))
	e.PUT("/standin/faults", s.putFaults)
	e.GET("/standin/counts", s.getCounts)
}

// withFaults counts a call and injects the active faults into its handler.
func (s *Store) withFaults(write bool, h echo.HandlerFunc) echo.HandlerFunc {
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
				case d.faults.lostResponses > 0:
					d.faults.lostResponses--
					lose = true
				case d.faults.failuresAfterCommit > 0:
					d.faults.failuresAfterCommit--
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
			return s.dropResponse(c, h)
		case fail:
			return s.failAfterCommit(c, h)
		}
		return h(c)
	}
}

// dropResponse applies the write and closes the connection without a response.
func (s *Store) dropResponse(c echo.Context, h echo.HandlerFunc) error {
	if err := s.applyDiscarding(c, h); err != nil {
		return err
	}
	panic(http.ErrAbortHandler)
}

// failAfterCommit applies the write and responds that it failed.
func (s *Store) failAfterCommit(c echo.Context, h echo.HandlerFunc) error {
	if err := s.applyDiscarding(c, h); err != nil {
		return err
	}
	return c.String(http.StatusInternalServerError, "leadership lost while committing log")
}

// applyDiscarding applies the write and discards the response.
func (s *Store) applyDiscarding(c echo.Context, h echo.HandlerFunc) error {
	response := c.Response()
	c.SetResponse(echo.NewResponse(&discardWriter{
		header: http.Header{},
	}, c.Echo()))
	err := h(c)
	c.SetResponse(response)
	return err
}

// discardWriter is a response writer that discards the response.
type discardWriter struct {
	header http.Header
}

// Header returns a header that is never sent.
func (d *discardWriter) Header() http.Header {
	return d.header
}

// Write discards p.
func (d *discardWriter) Write(p []byte) (int, error) {
	return len(p), nil
}

// WriteHeader discards the status.
func (d *discardWriter) WriteHeader(int) {}

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
		key:      key,
		prefix:   prefix,
		index:    index,
		deadline: s.now().Add(wait),
		do: func(d *data) {
			result := d.read(key, prefix)
			pairs, newest = result.pairs, result.newest
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

// read returns the pairs of a key or prefix, or the result of an earlier read if a
// stale read is due.
func (d *data) read(key string, prefix bool) readResult {
	query := strconv.FormatBool(prefix) + key
	if previous, ok := d.lastReads[query]; ok && d.faults.staleReads > 0 {
		d.faults.staleReads--
		return previous
	}
	result := readResult{
		pairs:  find(d, key, prefix),
		newest: max(newestIndex(d, key, prefix), 1),
	}
	if _, ok := d.lastReads[query]; ok || len(d.lastReads) < maxLastReads {
		d.lastReads[query] = result
	}
	return result
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
			CreateIndex: e.createIndex,
			ModifyIndex: e.modifyIndex,
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
			have = e.modifyIndex
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
			createIndex: d.index,
		}
		d.entries[key] = e
	}
	e.value = append([]byte{}, body...)
	e.modifyIndex = d.index
	if id != "" {
		e.session = id
	}
	return true
}

// release removes the session from a key and keeps the key.
func release(d *data, e *entry, id string) bool {
	if e == nil || e.session != id {
		return false
	}
	d.index++
	e.session = ""
	e.modifyIndex = d.index
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
			sess, ok := d.sessions[id]
			if !ok {
				return
			}
			found = true
			sess.expires = s.now().Add(sess.ttl)
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
		do: func(d *data) { endSession(d, c.Param("id")) },
	})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, true)
}

func (s *Store) putFaults(c echo.Context) error {
	var body struct {
		Down                bool `json:"down"`
		DelayMS             int  `json:"delay_ms"`
		LostResponses       int  `json:"lose_answer"`
		FailuresAfterCommit int  `json:"fail_after"`
		StaleReads          int  `json:"old_answer"`
	}
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	f := NewFaults(body.Down, time.Duration(body.DelayMS)*time.Millisecond, body.LostResponses)
	f = f.WithFailuresAfterCommit(body.FailuresAfterCommit).WithStaleReads(body.StaleReads)
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
