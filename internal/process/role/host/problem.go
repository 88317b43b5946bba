package host

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/metric"
	"greengagedoor.example/greengagedoor/internal/request/answer"
)

const problemType = "application/problem+json"

// problemDocument is a refusal as a problem document. NotRun is never left out,
// since a caller decides by it.
type problemDocument struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail,omitempty"`
	Submission   string `json:"submission_id,omitempty"`
	State        string `json:"state"`
	Reason       string `json:"reason"`
	Field        string `json:"field,omitempty"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// badRequest is a request that was refused before it reached a decision.
type requestError struct {
	status int
	reason answer.Reason
	field  string
	detail string
}

// Error names the field, as the decisions do in their details.
func (b *requestError) Error() string {
	if b.field == "" {
		return b.detail
	}
	return b.field + ": " + b.detail
}

func invalidRequest(status int, field, format string, args ...any) error {
	return &requestError{
		status: status,
		reason: answer.InvalidRequest,
		field:  field,
		detail: fmt.Sprintf(format, args...),
	}
}

// forbidden is the refusal of a request that its token does not allow.
func forbidden(status int, detail string) error {
	return &requestError{
		status: status,
		reason: answer.NotAllowed,
		field:  "authorization",
		detail: detail,
	}
}

// fields names the part of the request that a reason is about.
var fields = map[answer.Reason]string{
	answer.KeyExpired:  "key",
	answer.KeyInFuture: "key",
	answer.KeyConflict: "key",
	answer.UnknownKey:  "key",
	answer.UnknownTeam: "team",
	answer.UnknownKind: "kind",
	answer.FitsNowhere: "kind",
	// The owner refuses a job whose deadline is over when it comes.
	answer.DeadlinePassed: "deadline_ms",
	// The only request that a decision finds invalid has too many or too large tasks.
	answer.InvalidRequest: "tasks",
}

func writeRefusal(c echo.Context, s identity.Submission, a answer.Answer) error {
	status := a.Reason().Entry().Status()
	if status < http.StatusBadRequest {
		// The reason is one of failed jobs, which are answered with 200.
		status = http.StatusUnprocessableEntity
	}
	return writeProblem(c, problemDocument{
		Status:       status,
		Detail:       a.Detail(),
		Submission:   s.String(),
		Reason:       a.Reason().String(),
		Field:        fields[a.Reason()],
		NotRun:       a.NotRun(),
		RetryAfterMS: a.RetryAfter().Milliseconds(),
	})
}

// writeProblem fills in what follows from the reason and writes the document.
func writeProblem(c echo.Context, d problemDocument) error {
	d.Type = "/v1/reasons#" + d.Reason
	d.Title = reasonTitle(d.Reason)
	d.State = answer.Refused.String()
	if d.RetryAfterMS > 0 {
		seconds := math.Ceil((time.Duration(d.RetryAfterMS) * time.Millisecond).Seconds())
		c.Response().Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	body, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "encode problem")
	}
	return c.Blob(d.Status, problemType, append(body, '\n'))
}

func reasonTitle(reason string) string {
	for _, r := range answer.Reasons() {
		if r.Name() == reason {
			return r.Meaning()
		}
	}
	return ""
}

// handleError writes the errors of handlers and of the router as problems.
func (c Common) handleError(err error, ctx echo.Context) {
	if ctx.Response().Committed {
		return
	}
	d := problemDocument{
		Status: http.StatusInternalServerError,
		Detail: "the process could not handle the request",
		Reason: answer.Unavailable.String(),
	}
	var b *requestError
	var h *echo.HTTPError
	switch {
	case errors.As(err, &b):
		d.Status = b.status
		d.Detail = b.Error()
		d.Field = b.field
		d.Reason = b.reason.String()
	case errors.As(err, &h) && h.Code < http.StatusInternalServerError:
		d.Status = h.Code
		d.Reason = answer.InvalidRequest.String()
		d.Field, d.Detail = routeError(ctx, h.Code)
	case errors.Is(err, context.Canceled):
		// The caller has gone; whatever is written, nobody reads it.
	default:
		c.log.WithError(err).Error("request failed")
	}
	c.metrics.Add(metric.RequestsInvalid, 1)
	if err := writeProblem(ctx, d); err != nil {
		c.log.WithError(err).Debug("problem not written")
	}
}

func routeError(c echo.Context, code int) (field, detail string) {
	switch code {
	case http.StatusMethodNotAllowed:
		return "method", "method: " + c.Request().Method + " is not allowed, allowed are " + c.Response().Header().Get(echo.HeaderAllow)
	case http.StatusNotFound:
		return "path", "path: there is no such page"
	}
	return "", http.StatusText(code)
}
