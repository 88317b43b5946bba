package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// maxWait is the longest wait of a watch.
const maxWait = 30 * time.Second

// storeItem is an item of the store as calls show it. Value is base64 in JSON.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

// storeEvent is a change that a watch returns.
type storeEvent struct {
	storeItem
	Deleted bool `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's key-value store.
type store struct {
	*owner
	revision  int64
	items     map[string]storeItem
	history   []storeEvent
	leases    map[int64]*storeLease
	lastLease int64
	changed   chan struct{}
}

func newStore() *store {
	return &store{
		owner:    newOwner(),
		revision: 1,
		items:    map[string]storeItem{},
		leases:   map[int64]*storeLease{},
		changed:  make(chan struct{}),
	}
}

// put writes a key as the operator does.
func (s *store) put(key string, value []byte) {
	s.call(func() {
		s.revision++
		s.set(key, value, 0)
		s.notify()
	})
}

func (s *store) set(key string, value []byte, lease int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := storeItem{
		Key:      key,
		Value:    value,
		Revision: s.revision,
		Created:  created,
		Lease:    lease,
	}
	s.items[key] = i
	s.history = append(s.history, storeEvent{
		storeItem: i,
	})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, storeEvent{
		storeItem: storeItem{
			Key:      key,
			Revision: s.revision,
		},
		Deleted: true,
	})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time is over.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
	s.notify()
}

// ServeHTTP serves the store's calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.call(s.expire)
	path := r.URL.Path
	switch {
	case path == "/kv-key":
		s.serveKey(w, r)
	case path == "/kv-range":
		s.serveRange(w, r)
	case path == "/kv-watch":
		s.serveWatch(w, r)
	case path == "/kv-txn":
		s.serveTransaction(w, r)
	case path == "/kv-lease":
		s.serveGrant(w, r)
	case strings.HasPrefix(path, "/kv-keep/"), strings.HasPrefix(path, "/kv-lease-end/"):
		s.serveLease(w, r)
	default:
		writeJSON(w, http.StatusNotFound, struct{}{})
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	var i storeItem
	ok := false
	s.call(func() { i, ok = s.items[r.URL.Query().Get("key")] })
	if !ok {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(w, http.StatusOK, i)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	items := []storeItem{}
	revision := int64(0)
	s.call(func() {
		for k, i := range s.items {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				items = append(items, i)
			}
		}
		revision = s.revision
	})
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "storeRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(min(time.Duration(ms)*time.Millisecond, maxWait))
	for waiting := true; ; {
		events := []storeEvent{}
		var revision int64
		var changed chan struct{}
		s.call(func() {
			for _, e := range s.history {
				if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
					events = append(events, e)
				}
			}
			revision, changed = s.revision, s.changed
		})
		if len(events) > 0 || !waiting {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is a change of several keys under a condition.
type transaction struct {
	ExpectedRev []storeItem `json:"expectedRev"`
	Puts        []storeItem `json:"puts"`
	Remove      []string    `json:"remove"`
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	var status int
	var answer any
	s.call(func() { status, answer = s.apply(t) })
	writeJSON(w, status, answer)
}

func (s *store) apply(t transaction) (int, any) {
	current, failed := []storeItem{}, false
	for _, e := range t.ExpectedRev {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		failed = failed || i.Revision != e.Revision
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, struct{}{}
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.notify()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var g struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&g) != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := max(time.Duration(g.TTLMs)*time.Millisecond, time.Second)
	id := int64(0)
	s.call(func() {
		s.lastLease++
		id = s.lastLease
		s.leases[id] = &storeLease{
			ttl: ttl,
			end: time.Now().Add(ttl),
		}
	})
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
}

// serveLease renews or ends a lease.
func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
	var ttl time.Duration
	s.call(func() {
		l := s.leases[id]
		if l == nil {
			return
		}
		ttl = l.ttl
		if r.Method == http.MethodDelete {
			s.endLease(id)
		} else {
			l.end = time.Now().Add(l.ttl)
		}
	})
	if ttl == 0 {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"ttlMs": ttl.Milliseconds()})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have left.
	_ = json.NewEncoder(w).Encode(v)
}
