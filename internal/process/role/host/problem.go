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

// problemDocument is a refusal as a problem document (RFC 9457). NotRun is always
// present, since callers base their retry decision on it.
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

// requestError is the refusal of a request that did not reach a state machine.
type requestError struct {
	status int
	reason answer.Reason
	field  string
	detail string
}

// Error returns the detail, prefixed with the field if there is one. The state
// machines use the same format in their details.
func (re *requestError) Error() string {
	if re.field == "" {
		return re.detail
	}
	return re.field + ": " + re.detail
}

func invalidRequest(status int, field, format string, args ...any) error {
	return &requestError{
		status: status,
		reason: answer.InvalidRequest,
		field:  field,
		detail: fmt.Sprintf(format, args...),
	}
}

// forbidden returns the refusal of a request that its token does not permit.
func forbidden(status int, detail string) error {
	return &requestError{
		status: status,
		reason: answer.NotAllowed,
		field:  "authorization",
		detail: detail,
	}
}

// fields maps a reason to the request field that caused it.
var fields = map[answer.Reason]string{
	answer.KeyExpired:  "key",
	answer.KeyInFuture: "key",
	answer.KeyConflict: "key",
	answer.UnknownKey:  "key",
	answer.UnknownTeam: "team",
	answer.UnknownKind: "kind",
	answer.FitsNowhere: "kind",
	// The owner refuses a job whose deadline has passed on arrival.
	answer.DeadlinePassed: "deadline_ms",
	// State machines refuse a request as invalid only if its tasks are too many or too
	// large.
	answer.InvalidRequest: "tasks",
}

func writeRefusal(c echo.Context, s identity.Submission, a answer.Answer) error {
	status := a.Reason().Entry().Status()
	if status < http.StatusBadRequest {
		// Reasons of failed jobs have status 200.
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

// writeProblem sets the fields that follow from the reason and writes the document.
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

// handleError writes errors of handlers and of the router as problem documents.
func (c Common) handleError(err error, ctx echo.Context) {
	if ctx.Response().Committed {
		return
	}
	d := problemDocument{
		Status: http.StatusInternalServerError,
		Detail: "the process could not handle the request",
		Reason: answer.Unavailable.String(),
	}
	var re *requestError
	var h *echo.HTTPError
	switch {
	case errors.As(err, &re):
		d.Status = re.status
		d.Detail = re.Error()
		d.Field = re.field
		d.Reason = re.reason.String()
	case errors.As(err, &h) && h.Code < http.StatusInternalServerError:
		d.Status = h.Code
		d.Reason = answer.InvalidRequest.String()
		d.Field, d.Detail = routeError(ctx, h.Code)
	case errors.Is(err, context.Canceled):
		// The caller has disconnected and does not receive the response.
	default:
		c.log.WithError(err).Error("request failed")
	}
	c.metrics.Add(metric.RequestsInvalid, 1)
	if err := writeProblem(ctx, d); err != nil {
		c.log.WithError(err).Debug("could not write problem document")
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
