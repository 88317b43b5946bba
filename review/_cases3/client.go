package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// taskCPU is what each task needs, in thousandths of a core.
const taskCPU = 1000

// step is a step of a job. The payload tells the minions how long its tasks work.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMB        int    `json:"memMb"`
	EstimateMs   int    `json:"estimateMs"`
	After        []int  `json:"after,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
	workMs       int
}

// answer is the answer to a call of a client.
type answer struct {
	status int
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %s", a.status, strings.TrimSpace(a.body))
}

func failed(err error) answer {
	return answer{
		err: err,
	}
}

// oneTask returns a step of one task that works for a time.
func oneTask(workMs int) step {
	return step{
		Count:      1,
		CPU:        taskCPU,
		MemMB:      64,
		EstimateMs: workMs,
		workMs:     workMs,
	}
}

// newID returns an id of 16 hexadecimal digits.
func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// call sends a request of a client on a channel of its own.
func (c *cluster) call(entry int, method, id string, limit time.Duration, body []byte) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.fronts[entry]+prefix+id, bytes.NewReader(body))
	if err != nil {
		return failed(err)
	}
	r.Host = queueHost
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	t := &http.Transport{
		DisableKeepAlives: true,
	}
	w, err := t.RoundTrip(r)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = w.Body.Close() }()
	b, err := io.ReadAll(w.Body)
	return answer{
		status: w.StatusCode,
		body:   string(b),
		err:    err,
	}
}

// submit hands a job in and waits for the answer.
func (c *cluster) submit(entry int, id string, limit time.Duration, steps ...step) answer {
	var work []string
	for _, s := range steps {
		work = append(work, fmt.Sprint(s.workMs))
	}
	body, err := json.Marshal(map[string]any{"spec": strings.Join(work, "/"), "bestEffort": true, "steps": steps})
	if err != nil {
		return failed(err)
	}
	c.rec.add("client: POST %s to %s, waits up to %v", id, c.entries[entry].name, limit)
	a := c.call(entry, http.MethodPost, id, limit, body)
	c.rec.add("client: POST %s to %s is answered: %s", id, c.entries[entry].name, a)
	return a
}

// cancel cancels a job and returns the answer.
func (c *cluster) cancel(entry int, id string) answer {
	c.rec.add("client: DELETE %s to %s", id, c.entries[entry].name)
	a := c.call(entry, http.MethodDelete, id, time.Second, nil)
	c.rec.add("client: DELETE %s to %s is answered: %s", id, c.entries[entry].name, a)
	return a
}

// acknowledges reports whether an answer to a DELETE acknowledges it.
func (a answer) acknowledges() bool {
	return a.err == nil && (a.status >= 200 && a.status < 300 || a.status == http.StatusGone)
}
