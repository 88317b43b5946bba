// Package caller is the client for those who submit jobs.
//
// A caller cannot tell a lost request from a lost answer. Client therefore sends
// a job again under the same key, through another entry, until it has the whole
// answer: the system joins the attempts to one job. It waits between attempts
// with exponential backoff and jitter, and at least as long as a refusal asks.
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

// ErrUndecided reports that the time ran out without a final answer. The job may
// still run; submit it again with the same key.
var ErrUndecided = errors.New("no final answer yet")

// The times and bounds of a client.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// attemptWait is how long one request waits for the answer at the entry.
	attemptWait = 10 * time.Second
	// attemptLimit ends a request whose connection went silent.
	attemptLimit   = attemptWait + 5*time.Second
	maxAnswerBytes = 64 << 20
	connections    = 64
)

// Hooks are what tests of a client replace; nil fields take the usual behaviour.
type Hooks struct {
	// Wait returns after d or when ctx ends.
	Wait func(ctx context.Context, d time.Duration) error
	// Jitter returns a number from 0 to 1.
	Jitter func() float64
}

// Client submits jobs through a set of entries.
type Client struct {
	entries []string
	http    *http.Client
	hooks   Hooks
	token   string
}

// New returns a client of the entries at the given addresses, http://host:port,
// and its clean-up function.
func New(entries ...string) (*Client, func(), error) {
	return NewWithHooks(Hooks{}, entries...)
}

// NewWithHooks returns a client with replaced behaviour, for tests.
func NewWithHooks(s Hooks, entries ...string) (*Client, func(), error) {
	if len(entries) == 0 {
		return nil, nil, errors.New("a client needs at least one entry")
	}
	for _, e := range entries {
		u, err := url.Parse(e)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return nil, nil, errors.Errorf("entry is %q, want http://host:port", e)
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
		hooks: s,
	}, transport.CloseIdleConnections, nil
}

// WithToken returns a client that shows the bearer token of a team.
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

// Submit sends a job until it has a final answer or ctx ends. With ErrUndecided
// it returns the last answer that came.
func (c *Client) Submit(ctx context.Context, j Job) (Answer, error) {
	body, err := j.encode()
	if err != nil {
		return Answer{}, err
	}
	path := "/v1/teams/" + url.PathEscape(j.team) + "/jobs?wait_ms=" + strconv.FormatInt(attemptWait.Milliseconds(), 10)
	return c.repeat(ctx, http.MethodPost, path, body, j.Tasks())
}

// Wait asks for the answer of a submission until it is final or ctx ends.
func (c *Client) Wait(ctx context.Context, team, key string) (Answer, error) {
	return c.repeat(ctx, http.MethodGet, jobPath(team, key, attemptWait), nil, 0)
}

// Status asks once for the answer of a submission.
func (c *Client) Status(ctx context.Context, team, key string) (Answer, error) {
	return c.attempt(ctx, c.entries[0], http.MethodGet, jobPath(team, key, 0), nil, 0)
}

// Cancel ends a submission. The answer tells what became of it: a job that has
// already ended keeps its answer.
func (c *Client) Cancel(ctx context.Context, team, key string) (Answer, error) {
	return c.repeat(ctx, http.MethodDelete, jobPath(team, key, attemptWait), nil, 0)
}

func jobPath(team, key string, wait time.Duration) string {
	return "/v1/teams/" + url.PathEscape(team) + "/jobs/" + url.PathEscape(key) + "?wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
}

// repeat asks one entry after the other until an answer is final.
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
		// Half of the pause is random, so that callers refused together come back
		// spread out.
		pause := max(backoff/2+time.Duration(c.hooks.Jitter()*float64(backoff/2)), a.RetryAfter())
		backoff = min(2*backoff, maxBackoff)
		if c.hooks.Wait(ctx, pause) != nil {
			return last, cause
		}
	}
}

func (c *Client) attempt(ctx context.Context, entry, method, path string, body []byte, tasks int) (Answer, error) {
	r, err := http.NewRequestWithContext(ctx, method, entry+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, errors.Wrap(err, "make request")
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
		return Answer{}, errors.Wrap(err, "read answer")
	}
	return decode(resp.StatusCode, data, tasks)
}
