package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// The times and limits of the worker pool's API.
const (
	leaseTTL       = 3 * time.Second
	leasePoll      = time.Second
	poolTimeout    = 2 * time.Second
	usagePoll      = 5 * time.Second
	usagePause     = time.Second
	retryPause     = 100 * time.Millisecond
	maxDetailBytes = 512
)

// place starts a task on the worker under a lease named after the task, so that a
// repeated request finds the existing lease, and renews the lease until the task ends.
func (b *Backend) place(ctx context.Context, p agent.Place) outcome.Result {
	start := b.now()
	id := p.Task().String()
	body, err := json.Marshal(map[string]any{
		"lease":        id,
		"ttl_ms":       leaseTTL.Milliseconds(),
		"milli_cores":  p.Resources().MilliCores(),
		"memory_bytes": p.Resources().MemoryBytes(),
		"accelerators": p.Resources().Accelerators(),
		"payload":      p.Payload(),
		"team":         p.Task().Submission().Team(),
		"kind":         p.Kind(),
	})
	if err != nil {
		return outcome.Revocation(err.Error())
	}
	status, reply, err := b.poolRequest(ctx, poolTimeout, http.MethodPost, "/v1/workers/"+p.Worker()+"/leases", body)
	switch {
	case err != nil && requestFailure(err).State() == outcome.Revoked:
		return requestFailure(err)
	case err != nil:
		b.release(ctx, id)
		return requestFailure(err)
	case status != http.StatusCreated && status != http.StatusOK:
		return outcome.Revocation("the worker pool refused the lease: " + refusalDetail(status, reply))
	}
	return b.awaitLease(ctx, p, start)
}

func refusalDetail(status int, reply []byte) string {
	text := strings.TrimSpace(string(reply[:min(len(reply), maxDetailBytes)]))
	if text == "" {
		return http.StatusText(status)
	}
	return text
}

type leaseState struct {
	State  string `json:"state"`
	Result []byte `json:"result"`
}

// awaitLease polls and renews the lease until the task has ended. If the pool does not
// respond, it retries until the lease must have expired.
func (b *Backend) awaitLease(ctx context.Context, p agent.Place, start time.Time) outcome.Result {
	id := p.Task().String()
	renewed := start
	for {
		sent := b.now()
		l, ok := b.pollLease(ctx, id)
		took := b.now().Sub(start)
		switch {
		case ok && l.State == "succeeded":
			return outcome.Success(l.Result, took)
		case ok && (l.State == "failed" || l.State == "stopped"):
			return outcome.Failure("the task "+l.State+" on its worker", took)
		case ok && l.State == "lost":
			return outcome.Lost("the lease ended before the task")
		case took >= p.Timeout():
			b.release(ctx, id)
			return outcome.Lost("the task exceeded its time on the worker")
		case ctx.Err() != nil, b.now().Sub(renewed) >= leaseTTL:
			return outcome.Lost("the worker pool does not answer for the lease")
		}
		if status, _, err := b.poolRequest(ctx, poolTimeout, http.MethodPut, "/v1/leases/"+id, nil); err == nil && status == http.StatusNoContent {
			renewed = sent
		}
		if !ok {
			duty.Pause(ctx, retryPause)
		}
	}
}

func (b *Backend) pollLease(ctx context.Context, id string) (leaseState, bool) {
	status, body, err := b.poolRequest(ctx, leasePoll+poolTimeout, http.MethodGet, "/v1/leases/"+id+"?wait="+leasePoll.String(), nil)
	if err != nil {
		return leaseState{}, false
	}
	if status == http.StatusNotFound {
		return leaseState{
			State: "lost",
		}, true
	}
	var l leaseState
	err = json.Unmarshal(body, &l)
	return l, err == nil && status == http.StatusOK
}

// release ends a lease whose result is no longer awaited.
func (b *Backend) release(ctx context.Context, id string) {
	if _, _, err := b.poolRequest(ctx, poolTimeout, http.MethodDelete, "/v1/leases/"+id, nil); err != nil {
		b.log.WithError(err).WithField("task_id", id).Debug("failed to release lease; it will expire")
	}
}

// runControls sends the controls of running tasks to the worker pool, in order.
func (b *Backend) runControls(ctx context.Context) error {
	for {
		c, err := b.controls.Pop(ctx)
		if err != nil {
			return nil
		}
		if err := b.events(ctx, agent.NewControlled(c.Task(), c.Action(), b.control(ctx, c))); err != nil {
			return nil
		}
	}
}

func (b *Backend) control(ctx context.Context, c agent.Control) bool {
	path := "/v1/leases/" + c.Task().String()
	if c.Action() == agent.Stop {
		status, _, err := b.poolRequest(ctx, poolTimeout, http.MethodDelete, path, nil)
		return err == nil && status == http.StatusNoContent
	}
	body, err := json.Marshal(map[string]string{
		"action": c.Action().String(),
	})
	if err != nil {
		return false
	}
	status, _, err := b.poolRequest(ctx, poolTimeout, http.MethodPatch, path, body)
	return err == nil && status == http.StatusNoContent
}

type usageReport struct {
	Team         string `json:"team"`
	Kind         string `json:"kind"`
	MilliCores   int64  `json:"milli_cores"`
	MemoryBytes  int64  `json:"memory_bytes"`
	Accelerators int64  `json:"accelerators"`
}

type usageReply struct {
	Next    uint64        `json:"next"`
	Reports []usageReport `json:"reports"`
}

// runUsage reads the usage reports, starting with the oldest one that the pool still
// has. The pool delays its response until there is a report.
func (b *Backend) runUsage(ctx context.Context) error {
	var next uint64
	for ctx.Err() == nil {
		status, body, err := b.poolRequest(ctx, usagePoll+poolTimeout, http.MethodGet,
			"/v1/workers/"+b.worker+"/usage?after="+strconv.FormatUint(next, 10)+"&wait="+usagePoll.String(), nil)
		var u usageReply
		if err != nil || status != http.StatusOK || json.Unmarshal(body, &u) != nil {
			duty.Pause(ctx, usagePause)
			continue
		}
		for _, r := range u.Reports {
			res, err := configuration.NewResources(r.MilliCores, r.MemoryBytes, r.Accelerators)
			if err != nil {
				continue
			}
			if err := b.events(ctx, agent.NewUsageReport(r.Team, r.Kind, res)); err != nil {
				return nil
			}
		}
		next = u.Next
	}
	return nil
}

func (b *Backend) poolRequest(ctx context.Context, limit time.Duration, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, b.pool+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "worker pool request")
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := b.client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 2*maxResultBytes))
	return resp.StatusCode, data, err
}
