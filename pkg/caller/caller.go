// Package caller is the Go client for submitting jobs.
//
// A client cannot distinguish a lost request from a lost response. Client therefore
// retries a job with the same idempotency key, through the next entry, until it has
// a final answer. The system treats all attempts with one key as one job. Between
// attempts the client waits with exponential backoff and jitter, and at least as
// long as the last answer asks.
package caller

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// ErrUndecided is returned when the context ends before a final answer arrives. The
// job may still run. Submit it again with the same key.
var ErrUndecided = errors.New("no final answer yet")

// Times and bounds of a client.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// attemptWait is how long the entry holds one request open for the answer.
	attemptWait = 10 * time.Second
	// attemptLimit ends a request whose connection has stalled.
	attemptLimit   = attemptWait + 5*time.Second
	maxAnswerBytes = 64 << 20
	// connections bounds the idle connections to each entry.
	connections = 64
)

// Seams replace the pauses and the randomness of a client in tests. A nil field
// selects the default.
type Seams struct {
	// Wait returns nil after d, or the error of ctx when ctx ends first.
	Wait func(ctx context.Context, d time.Duration) error
	// Jitter returns a random number from 0 to 1.
	Jitter func() float64
}

// Client submits jobs through a set of entries. It is safe for concurrent use.
type Client struct {
	entries []string
	http    *http.Client
	seams   Seams
	token   string
}

// New returns a client of the entries at the given base URLs, such as
// http://host:port, and a function that closes its idle connections. It fails
// without entries and for a URL that has no host or a scheme other than http and
// https.
func New(entries ...string) (*Client, func(), error) {
	return NewWithSeams(Seams{}, entries...)
}

// NewWithSeams is like New and replaces pauses and randomness, for tests.
func NewWithSeams(s Seams, entries ...string) (*Client, func(), error) {
	if len(entries) == 0 {
		return nil, nil, errors.New("got no entries, want at least one")
	}
	for _, e := range entries {
		u, err := url.Parse(e)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return nil, nil, errors.Errorf("entry is %q, want http://host:port or https://host:port", e)
		}
	}
	if s.Wait == nil {
		s.Wait = wait
	}
	if s.Jitter == nil {
		s.Jitter = rand.Float64
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: connections,
	}
	return &Client{
		entries: append([]string(nil), entries...),
		http: &http.Client{
			Transport: transport,
			Timeout:   attemptLimit,
		},
		seams: s,
	}, transport.CloseIdleConnections, nil
}

// WithToken returns a copy of the client that sends the bearer token with each
// request. An empty token sends none.
func (c *Client) WithToken(token string) *Client {
	n := *c
	n.token = token
	return &n
}

func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Submit sends a job repeatedly until an answer is final or ctx ends. When ctx ends
// first, the error wraps ErrUndecided and the answer is the last one received, the
// zero Answer if there is none. Any other error means that the job was not sent.
func (c *Client) Submit(ctx context.Context, j Job) (Answer, error) {
	body, err := j.encode()
	if err != nil {
		return Answer{}, err
	}
	path := "/v1/teams/" + url.PathEscape(j.team) + "/jobs?wait_ms=" + strconv.FormatInt(attemptWait.Milliseconds(), 10)
	return c.repeat(ctx, http.MethodPost, path, body, j.Tasks())
}

// Wait queries the answer of a submission by its team and key until the answer is
// final or ctx ends. It returns the same errors as Submit.
func (c *Client) Wait(ctx context.Context, team, key string) (Answer, error) {
	return c.repeat(ctx, http.MethodGet, jobPath(team, key, attemptWait), nil, 0)
}

// Status queries the answer of a submission once, at the first entry, without
// waiting for the job to end. The error is that of the request or of a malformed
// response.
func (c *Client) Status(ctx context.Context, team, key string) (Answer, error) {
	return c.attempt(ctx, c.entries[0], http.MethodGet, jobPath(team, key, 0), nil, 0)
}

// Cancel cancels a submission and returns its answer. A job that has already ended
// keeps its answer. Cancel retries like Submit and returns the same errors.
func (c *Client) Cancel(ctx context.Context, team, key string) (Answer, error) {
	return c.repeat(ctx, http.MethodDelete, jobPath(team, key, attemptWait), nil, 0)
}

func jobPath(team, key string, wait time.Duration) string {
	return "/v1/teams/" + url.PathEscape(team) + "/jobs/" + url.PathEscape(key) + "?wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
}

// repeat sends a request to one entry after another until an answer is final.
func (c *Client) repeat(ctx context.Context, method, path string, body []byte, tasks int) (Answer, error) {
	var last Answer
	backoff := firstBackoff
	for n := 0; ; n++ {
		a, err := c.attempt(ctx, c.entries[n%len(c.entries)], method, path, body, tasks)
		cause := ErrUndecided
		switch {
		case err != nil:
			cause = errors.Wrap(ErrUndecided, err.Error())
		case a.Ended():
			return a, nil
		default:
			last = a
		}
		if err == nil && a.State() == Running {
			backoff = firstBackoff
		}
		// Half of the pause is random, so that callers that were refused at the same
		// time don't retry at the same time.
		pause := max(backoff/2+time.Duration(c.seams.Jitter()*float64(backoff/2)), a.RetryAfter())
		backoff = min(2*backoff, maxBackoff)
		if c.seams.Wait(ctx, pause) != nil {
			return last, cause
		}
	}
}

func (c *Client) attempt(ctx context.Context, entry, method, path string, body []byte, tasks int) (Answer, error) {
	r, err := http.NewRequestWithContext(ctx, method, entry+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, errors.Wrap(err, "create request")
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return Answer{}, errors.Wrap(err, "request")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, errors.Wrap(err, "read response")
	}
	return decode(resp.StatusCode, data, tasks)
}
