package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
)

// idempotencyHeader is not in canonical form: net/http repeats a POST with a
// canonical Idempotency-Key when the connection breaks, which could start the task
// twice. The target treats header names as case-insensitive.
const idempotencyHeader = "idempotency-key"

// call sends a task to a target. Only a failure to connect proves that the task was
// not started.
func (b *Backend) call(ctx context.Context, c agent.Call) outcome.Result {
	start := b.now()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout())
	defer cancel()
	if !c.Deadline().IsZero() {
		var cancelDeadline context.CancelFunc
		ctx, cancelDeadline = context.WithDeadline(ctx, c.Deadline())
		defer cancelDeadline()
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL(), bytes.NewReader(c.Payload()))
	if err != nil {
		return outcome.Revocation(err.Error())
	}
	r.Header[idempotencyHeader] = []string{c.Task().String()}
	r.Header.Set("Request-Kind", c.Kind())
	resp, err := b.client.Do(r)
	if err != nil {
		return requestFailure(err)
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

// requestFailure returns the outcome of a request without a response. The task was
// not started if the connection failed; otherwise the outcome is unknown.
func requestFailure(err error) outcome.Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome.Revocation("no connection to the back end: " + err.Error())
	}
	return outcome.Lost("no answer from the back end: " + err.Error())
}
