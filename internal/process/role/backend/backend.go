// Package backend carries the tasks of an agent to its targets and its worker.
//
// A fixed set of callers, each a goroutine that holds at most one connection,
// reads the agent's calls from one bounded ring and pushes the ends into the
// agent's ring. A caller keeps no state between calls; what may start is decided
// by the agent before.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
)

// The sizes and times of the callers.
const (
	ringSize       = 1024
	maxResultBytes = 1 << 20
	leaseTTL       = 3 * time.Second
	leasePoll      = time.Second
	dialTimeout    = time.Second
	// connections is what one target accepts from all dispatchers together.
	connections = 64
)

// Backend is the set of callers.
type Backend struct {
	pool   string
	client *http.Client
	ring   *ring.Ring[any]
	ended  func(context.Context, agent.Ended) error
	now    func() time.Time
	log    *logrus.Entry
}

// New returns the callers and their clean-up function. Pool is the address of
// the worker pool, empty if the process has no worker; ended receives each end.
func New(pool string, now func() time.Time, ended func(context.Context, agent.Ended) error, log *logrus.Entry) (*Backend, func(), error) {
	r, err := ring.New[any]("backend", ringSize)
	if err != nil {
		return nil, nil, err
	}
	transport := &http.Transport{
		DialContext: (&net.Dialer{
			Timeout: dialTimeout,
		}).DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
	}
	return &Backend{
		pool: pool,
		client: &http.Client{
			Transport: transport,
		},
		ring:  r,
		ended: ended,
		now:   now,
		log:   log,
	}, transport.CloseIdleConnections, nil
}

// Post hands over an agent.Call or an agent.Place without waiting.
func (b *Backend) Post(m any) error {
	return b.ring.TryPush(m)
}

// Duties returns the callers for the process's table.
func (b *Backend) Duties(name string, n int) ([]duty.Duty, error) {
	var duties []duty.Duty
	for i := range n {
		d, err := duty.New(name+"_"+itoa(i), "Carries one task at a time to a target or worker.", b.gauge, b.run)
		if err != nil {
			return nil, err
		}
		duties = append(duties, d)
	}
	return duties, nil
}

func itoa(i int) string {
	return string([]byte{byte('0' + i/100%10), byte('0' + i/10%10), byte('0' + i%10)})
}

func (b *Backend) gauge() (depth, size int, rejected int64) {
	return b.ring.Depth(), b.ring.Size(), b.ring.Rejected()
}

func (b *Backend) run(ctx context.Context) error {
	for {
		m, err := b.ring.Pop(ctx)
		if err != nil {
			return nil
		}
		var end agent.Ended
		switch m := m.(type) {
		case agent.Call:
			end = agent.NewEnded(m.Task(), b.call(ctx, m))
		case agent.Place:
			end = agent.NewEnded(m.Task(), b.place(ctx, m))
		default:
			continue
		}
		if err := b.ended(ctx, end); err != nil {
			return nil
		}
	}
}

// call sends a task to a target. Only a failure to connect proves that nothing
// was started.
func (b *Backend) call(ctx context.Context, c agent.Call) outcome.Result {
	start := b.now()
	if !c.Deadline().IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, c.Deadline())
		defer cancel()
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL(), bytes.NewReader(c.Payload()))
	if err != nil {
		return outcome.Revocation(err.Error())
	}
	// Without GetBody the transport cannot send the request a second time.
	r.GetBody = nil
	r.Header.Set("Idempotency-Key", c.Task().String())
	r.Header.Set("Request-Kind", c.Kind())
	resp, err := b.client.Do(r)
	if err != nil {
		return lost(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResultBytes+1))
	if err != nil {
		return outcome.Lost("the target's answer was cut: " + err.Error())
	}
	took := b.now().Sub(start)
	switch {
	case resp.StatusCode != http.StatusOK:
		return outcome.Failure("the target answered "+resp.Status, took)
	case len(body) > maxResultBytes:
		return outcome.Failure("the target's result exceeds 1 MB", took)
	}
	return outcome.Success(body, took)
}

func lost(err error) outcome.Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome.Revocation("no connection to the back end: " + err.Error())
	}
	return outcome.Lost("no answer from the back end: " + err.Error())
}

// place starts a task on the worker under a lease named after the task, so that
// a repeated request finds the lease that is there, and renews it until the end.
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
	})
	if err != nil {
		return outcome.Revocation(err.Error())
	}
	status, _, err := b.do(ctx, http.MethodPost, "/v1/workers/"+p.Worker()+"/leases", body)
	switch {
	case err != nil:
		return lost(err)
	case status != http.StatusCreated && status != http.StatusOK:
		return outcome.Revocation("the worker pool refused the lease: " + http.StatusText(status))
	}
	return b.await(ctx, id, start)
}

type leaseState struct {
	State  string `json:"state"`
	Result []byte `json:"result"`
}

func (b *Backend) await(ctx context.Context, id string, start time.Time) outcome.Result {
	for {
		status, body, err := b.do(ctx, http.MethodGet, "/v1/leases/"+id+"?wait="+leasePoll.String(), nil)
		if err != nil || status != http.StatusOK {
			return outcome.Lost("the worker pool does not answer for the lease")
		}
		var l leaseState
		if err := json.Unmarshal(body, &l); err != nil {
			return outcome.Lost("the worker pool's answer is malformed")
		}
		switch l.State {
		case "succeeded":
			return outcome.Success(l.Result, b.now().Sub(start))
		case "failed", "stopped":
			return outcome.Failure("the task "+l.State+" on its worker", b.now().Sub(start))
		case "lost":
			return outcome.Lost("the lease ended before the task")
		}
		if _, _, err := b.do(ctx, http.MethodPut, "/v1/leases/"+id, nil); err != nil {
			b.log.WithError(err).Debug("lease not renewed")
		}
	}
}

func (b *Backend) do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, b.pool+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "worker pool request")
	}
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	resp, err := b.client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 2*maxResultBytes))
	return resp.StatusCode, data, err
}
