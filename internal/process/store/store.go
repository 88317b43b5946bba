// Package store is the client of the platform's key-value service.
//
// The service is the only durable place, it has outages, and its answer can be
// lost or an error after a change took effect. The client therefore tells three ends of a
// write apart: done, refused, and unknown. Whoever writes puts a mark of its own
// into the value and resolves an unknown end by reading it back.
package store

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// The ends of a call other than success.
var (
	ErrNotFound    = errors.New("key is not in the store")
	ErrUnavailable = errors.New("store is not available; nothing was changed")
	ErrUnknown     = errors.New("store did not confirm the change; it may have taken effect")
	ErrSession     = errors.New("session has ended")
)

// maxAnswerBytes bounds an answer: many values of one prefix.
const maxAnswerBytes = 64 << 20

// Pair is a key with its value and the index of its last change.
type Pair struct {
	key     string
	value   []byte
	index   uint64
	session string
}

// NewPair returns a pair, for stores in tests.
func NewPair(key string, value []byte, index uint64, session string) Pair {
	return Pair{
		key:     key,
		value:   value,
		index:   index,
		session: session,
	}
}

// Key is the key.
func (p Pair) Key() string {
	return p.key
}

// Value is the value.
func (p Pair) Value() []byte {
	return p.value
}

// Index is the index of the last change, for compare-and-swap.
func (p Pair) Index() uint64 {
	return p.index
}

// Session is the session that holds the key, empty for none.
func (p Pair) Session() string {
	return p.session
}

// Store is the set of calls; tests and stand-ins fill the fields.
type Store struct {
	// Read returns one key.
	Read func(ctx context.Context, key string) (Pair, error)
	// List returns all keys of a prefix and the prefix's newest index.
	List func(ctx context.Context, prefix string) ([]Pair, uint64, error)
	// Watch waits until something of the prefix is newer than index, or the wait
	// ends, and returns the prefix.
	Watch func(ctx context.Context, prefix string, index uint64, wait time.Duration) ([]Pair, uint64, error)
	// CompareAndSwap writes a key if its index is still the given one; 0 creates it. It
	// returns false if another write came first.
	CompareAndSwap func(ctx context.Context, key string, value []byte, index uint64) (bool, error)
	// Delete removes a key.
	Delete func(ctx context.Context, key string) error
	// Open starts a session that ends unless renewed within ttl.
	Open func(ctx context.Context, ttl time.Duration) (session string, err error)
	// Renew extends a session.
	Renew func(ctx context.Context, session string) error
	// Close ends a session; the keys that it holds are deleted.
	Close func(ctx context.Context, session string) error
	// Acquire writes a key that is held by the session until it ends. It returns
	// false if another session holds the key.
	Acquire func(ctx context.Context, key string, value []byte, session string) (bool, error)
	// Release ends the session's hold of a key. It returns false if the session
	// does not hold it.
	Release func(ctx context.Context, key, session string) (bool, error)
}

type client struct {
	base string
	http *http.Client
}

// New returns a store that is reached by HTTP, and its clean-up function.
func New(base string, timeout time.Duration) (*Store, func(), error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" {
		return nil, nil, errors.Errorf("store address is %q, want http://host:port", base)
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 8,
	}
	c := &client{
		base: base,
		http: &http.Client{
			Transport: transport,
		},
	}
	bounded := func(ctx context.Context) (context.Context, context.CancelFunc) {
		return context.WithTimeout(ctx, timeout)
	}
	return &Store{
		Read: func(ctx context.Context, key string) (Pair, error) {
			ctx, cancel := bounded(ctx)
			defer cancel()
			return c.read(ctx, key)
		},
		List: func(ctx context.Context, prefix string) ([]Pair, uint64, error) {
			ctx, cancel := bounded(ctx)
			defer cancel()
			return c.list(ctx, prefix, "")
		},
		Watch: func(ctx context.Context, prefix string, index uint64, wait time.Duration) ([]Pair, uint64, error) {
			ctx, cancel := context.WithTimeout(ctx, wait+timeout)
			defer cancel()
			return c.list(ctx, prefix, "&index="+strconv.FormatUint(index, 10)+"&wait="+wait.String())
		},
		CompareAndSwap: func(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
			ctx, cancel := bounded(ctx)
			defer cancel()
			return c.put(ctx, "/v1/kv/"+key+"?cas="+strconv.FormatUint(index, 10), value)
		},
		Delete: func(ctx context.Context, key string) error {
			ctx, cancel := bounded(ctx)
			defer cancel()
			_, err := c.write(ctx, http.MethodDelete, "/v1/kv/"+key, nil)
			return err
		},
		Open: func(ctx context.Context, ttl time.Duration) (string, error) {
			ctx, cancel := bounded(ctx)
			defer cancel()
			return c.open(ctx, ttl)
		},
		Renew: func(ctx context.Context, session string) error {
			ctx, cancel := bounded(ctx)
			defer cancel()
			_, err := c.write(ctx, http.MethodPut, "/v1/session/renew/"+session, nil)
			return err
		},
		Close: func(ctx context.Context, session string) error {
			ctx, cancel := bounded(ctx)
			defer cancel()
			_, err := c.write(ctx, http.MethodPut, "/v1/session/destroy/"+session, nil)
			return err
		},
		Acquire: func(ctx context.Context, key string, value []byte, session string) (bool, error) {
			ctx, cancel := bounded(ctx)
			defer cancel()
			return c.put(ctx, "/v1/kv/"+key+"?acquire="+session, value)
		},
		Release: func(ctx context.Context, key, session string) (bool, error) {
			ctx, cancel := bounded(ctx)
			defer cancel()
			return c.put(ctx, "/v1/kv/"+key+"?release="+session, nil)
		},
	}, transport.CloseIdleConnections, nil
}

func (c *client) read(ctx context.Context, key string) (Pair, error) {
	pairs, _, err := c.pairs(ctx, "/v1/kv/"+key)
	if err != nil {
		return Pair{}, err
	}
	if len(pairs) == 0 {
		return Pair{}, errors.Wrap(ErrNotFound, key)
	}
	return pairs[0], nil
}

func (c *client) list(ctx context.Context, prefix, query string) ([]Pair, uint64, error) {
	return c.pairs(ctx, "/v1/kv/"+prefix+"?recurse"+query)
}

func (c *client) pairs(ctx context.Context, path string) ([]Pair, uint64, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, 0, errors.Wrap(err, "store request")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, 0, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, 0, errors.Wrap(ErrUnavailable, err.Error())
	}
	index, _ := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, index, nil
	default:
		return nil, 0, errors.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
	}
	pairs, err := decodePairs(body)
	return pairs, index, err
}

type pairDocument struct {
	Key         string `json:"Key"`
	Value       string `json:"Value"`
	ModifyIndex uint64 `json:"ModifyIndex"`
	Session     string `json:"Session"`
}

func decodePairs(body []byte) ([]Pair, error) {
	var docs []pairDocument
	if err := json.Unmarshal(body, &docs); err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	pairs := make([]Pair, 0, len(docs))
	for _, d := range docs {
		v, err := base64.StdEncoding.DecodeString(d.Value)
		if err != nil {
			return nil, errors.Wrapf(ErrUnavailable, "value of %s: %v", d.Key, err)
		}
		pairs = append(pairs, NewPair(d.Key, v, d.ModifyIndex, d.Session))
	}
	return pairs, nil
}

// write sends a change. A status of the 4xx class means that nothing was changed.
// No answer or a status of the 5xx class means that nobody knows: a server that
// loses its leader answers 500 for a change that the next leader may carry out.
func (c *client) write(ctx context.Context, method, path string, value []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(value))
	if err != nil {
		return nil, errors.Wrap(err, "store request")
	}
	// A transport that sends the request again after a lost answer would turn an
	// unknown end into a false refusal.
	r.GetBody = nil
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, errors.Wrap(ErrUnknown, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Wrap(ErrUnknown, err.Error())
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return body, nil
	case http.StatusNotFound:
		return nil, ErrSession
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return nil, errors.Wrapf(ErrUnknown, "status %d", resp.StatusCode)
	}
	return nil, errors.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
}

func (c *client) put(ctx context.Context, path string, value []byte) (bool, error) {
	body, err := c.write(ctx, http.MethodPut, path, value)
	if err != nil {
		return false, err
	}
	return string(bytes.TrimSpace(body)) == "true", nil
}

func (c *client) open(ctx context.Context, ttl time.Duration) (string, error) {
	request, err := json.Marshal(map[string]string{
		"TTL":      ttl.String(),
		"Behavior": "delete",
		// Without it the service keeps a key from others for 15 s after its session
		// has ended.
		"LockDelay": "0s",
	})
	if err != nil {
		return "", errors.Wrap(err, "store request")
	}
	body, err := c.write(ctx, http.MethodPut, "/v1/session/create", request)
	if err != nil {
		return "", err
	}
	var answer struct {
		ID string `json:"ID"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || answer.ID == "" {
		return "", errors.Wrap(ErrUnknown, "session without identifier")
	}
	return answer.ID, nil
}
