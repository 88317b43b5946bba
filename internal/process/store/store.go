// Package store is the client of the key-value service that the commands agent,
// entry and config use.
//
// The service has the HTTP interface of Consul: sessions hold keys, and a write
// changes one key if its index is the expected one. The processes of the command
// platform use another store, which changes several keys in one write; package
// keyspace defines its calls.
//
// The service holds the only durable state. It has outages, and its response can
// be lost or be an error after a change took effect. The client therefore
// distinguishes three outcomes of a write: done, rejected, and unknown. A writer
// puts a unique write ID into the value and resolves an unknown outcome by
// reading the value back.
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

// The errors of a call.
var (
	ErrNotFound    = errors.New("key is not in the store")
	ErrUnavailable = errors.New("store is not available; nothing was changed")
	ErrUnknown     = errors.New("store did not confirm the change; it may have taken effect")
	ErrSession     = errors.New("session has ended")
)

// maxResponseBytes limits a response, which can hold all values of a prefix.
const maxResponseBytes = 64 << 20

// Pair is a key with its value, the index of its last change and its session.
type Pair struct {
	key     string
	value   []byte
	index   uint64
	session string
}

// NewPair returns a pair. Tests use it to implement a store.
func NewPair(key string, value []byte, index uint64, session string) Pair {
	return Pair{
		key:     key,
		value:   value,
		index:   index,
		session: session,
	}
}

func (p Pair) Key() string {
	return p.key
}

func (p Pair) Value() []byte {
	return p.value
}

// Index returns the index of the last change, for compare-and-swap.
func (p Pair) Index() uint64 {
	return p.index
}

// Session returns the session that holds the key, or an empty string.
func (p Pair) Session() string {
	return p.session
}

// Store is the set of calls. Tests and stand-ins replace the fields.
type Store struct {
	// Read returns one key. It fails with ErrNotFound if the key does not exist.
	Read func(ctx context.Context, key string) (Pair, error)
	// List returns all pairs below a prefix and the prefix's latest index.
	List func(ctx context.Context, prefix string) ([]Pair, uint64, error)
	// Watch waits until a change below the prefix is newer than index, or until wait
	// is over. It then returns the same as List.
	Watch func(ctx context.Context, prefix string, index uint64, wait time.Duration) ([]Pair, uint64, error)
	// CompareAndSwap writes a key if its index equals the given one; index 0
	// creates the key. It returns false if the key has changed.
	CompareAndSwap func(ctx context.Context, key string, value []byte, index uint64) (bool, error)
	Delete         func(ctx context.Context, key string) error
	// Open starts a session that expires unless it is renewed within ttl.
	Open  func(ctx context.Context, ttl time.Duration) (session string, err error)
	Renew func(ctx context.Context, session string) error
	// Close ends a session and deletes the keys that it holds.
	Close func(ctx context.Context, session string) error
	// Acquire writes a key and holds it for the session until the session ends.
	// It returns false if another session holds the key.
	Acquire func(ctx context.Context, key string, value []byte, session string) (bool, error)
	// Release ends the session's hold on a key. It returns false if the session
	// does not hold the key.
	Release func(ctx context.Context, key, session string) (bool, error)
}

type client struct {
	base string
	http *http.Client
}

// New returns a store that is reached by HTTP at base, and its cleanup function.
// Each call other than Watch fails after timeout; Watch fails after wait plus
// timeout.
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
	withTimeout := func(ctx context.Context) (context.Context, context.CancelFunc) {
		return context.WithTimeout(ctx, timeout)
	}
	return &Store{
		Read: func(ctx context.Context, key string) (Pair, error) {
			ctx, cancel := withTimeout(ctx)
			defer cancel()
			return c.read(ctx, key)
		},
		List: func(ctx context.Context, prefix string) ([]Pair, uint64, error) {
			ctx, cancel := withTimeout(ctx)
			defer cancel()
			return c.list(ctx, prefix, "")
		},
		Watch: func(ctx context.Context, prefix string, index uint64, wait time.Duration) ([]Pair, uint64, error) {
			ctx, cancel := context.WithTimeout(ctx, wait+timeout)
			defer cancel()
			return c.list(ctx, prefix, "&index="+strconv.FormatUint(index, 10)+"&wait="+wait.String())
		},
		CompareAndSwap: func(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
			ctx, cancel := withTimeout(ctx)
			defer cancel()
			return c.put(ctx, "/v1/kv/"+key+"?cas="+strconv.FormatUint(index, 10), value)
		},
		Delete: func(ctx context.Context, key string) error {
			ctx, cancel := withTimeout(ctx)
			defer cancel()
			_, err := c.write(ctx, http.MethodDelete, "/v1/kv/"+key, nil)
			return err
		},
		Open: func(ctx context.Context, ttl time.Duration) (string, error) {
			ctx, cancel := withTimeout(ctx)
			defer cancel()
			return c.open(ctx, ttl)
		},
		Renew: func(ctx context.Context, session string) error {
			ctx, cancel := withTimeout(ctx)
			defer cancel()
			_, err := c.write(ctx, http.MethodPut, "/v1/session/renew/"+session, nil)
			return err
		},
		Close: func(ctx context.Context, session string) error {
			ctx, cancel := withTimeout(ctx)
			defer cancel()
			_, err := c.write(ctx, http.MethodPut, "/v1/session/destroy/"+session, nil)
			return err
		},
		Acquire: func(ctx context.Context, key string, value []byte, session string) (bool, error) {
			ctx, cancel := withTimeout(ctx)
			defer cancel()
			return c.put(ctx, "/v1/kv/"+key+"?acquire="+session, value)
		},
		Release: func(ctx context.Context, key, session string) (bool, error) {
			ctx, cancel := withTimeout(ctx)
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
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

// write sends a change. A 4xx status means that nothing was changed. Without a
// response, or with a 5xx status, the outcome is unknown: a server that loses its
// leader returns 500 for a change that the next leader may still apply.
func (c *client) write(ctx context.Context, method, path string, value []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(value))
	if err != nil {
		return nil, errors.Wrap(err, "store request")
	}
	// A transport that repeats the request after a lost response would turn an
	// unknown outcome into a false rejection.
	r.GetBody = nil
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, errors.Wrap(ErrUnknown, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
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
		// The default delay keeps the key of an ended session locked for 15 s.
		"LockDelay": "0s",
	})
	if err != nil {
		return "", errors.Wrap(err, "store request")
	}
	body, err := c.write(ctx, http.MethodPut, "/v1/session/create", request)
	if err != nil {
		return "", err
	}
	var created struct {
		ID string `json:"ID"`
	}
	if err := json.Unmarshal(body, &created); err != nil || created.ID == "" {
		return "", errors.Wrap(ErrUnknown, "response to session creation has no ID")
	}
	return created.ID, nil
}
