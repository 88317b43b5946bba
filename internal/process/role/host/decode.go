package host

import (
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/request/job"
)

const (
	maxBodyBytes = 8 << 20
	// maxDeadlineMS is the end of the year 9999 in Unix milliseconds. RFC 3339 cannot
	// represent later years.
	maxDeadlineMS = 253_402_300_799_999
	waitParameter = "wait_ms"
	// defaultTransferTimeout limits the time to receive a request body and the time to
	// send an answer. The largest ones take seconds on a slow link.
	defaultTransferTimeout = 30 * time.Second
)

type submitDocument struct {
	Key        string            `json:"key"`
	Kind       string            `json:"kind"`
	DeadlineMS int64             `json:"deadline_ms"`
	Tasks      []json.RawMessage `json:"tasks"`
}

// readWait returns how long the caller waits for the end of the job: the value of
// wait_ms, or fallback without it.
func readWait(c echo.Context, fallback time.Duration) (time.Duration, error) {
	query, err := url.ParseQuery(c.Request().URL.RawQuery)
	if err != nil {
		return 0, invalidRequest(http.StatusBadRequest, "query", "is malformed")
	}
	for name, values := range query {
		if name != waitParameter {
			return 0, invalidRequest(http.StatusBadRequest, truncate(name), "is not a known parameter, allowed is %s", waitParameter)
		}
		if len(values) > 1 {
			return 0, invalidRequest(http.StatusBadRequest, waitParameter, "is given %d times", len(values))
		}
	}
	if !query.Has(waitParameter) {
		return fallback, nil
	}
	ms, err := strconv.ParseInt(query.Get(waitParameter), 10, 64)
	if err != nil || ms < 0 || ms > maxWait.Milliseconds() {
		return 0, invalidRequest(http.StatusBadRequest, waitParameter, "is %q, allowed are 0 to %d", truncate(query.Get(waitParameter)), maxWait.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func readSubmission(c echo.Context, fallback time.Duration) (identity.Submission, time.Duration, error) {
	wait, err := readWait(c, fallback)
	if err != nil {
		return identity.Submission{}, 0, err
	}
	s, err := newSubmission(c.Param("team"), c.Param("key"))
	return s, wait, err
}

func newSubmission(team, key string) (identity.Submission, error) {
	team, err := url.PathUnescape(team)
	if err != nil {
		return identity.Submission{}, invalidRequest(http.StatusBadRequest, "team", "is malformed")
	}
	s, err := identity.NewSubmission(team, key)
	switch {
	case errors.Is(err, identity.ErrKey):
		return s, invalidRequest(http.StatusBadRequest, "key", "is %q, allowed is a UUIDv7", truncate(key))
	case err != nil:
		return s, invalidRequest(http.StatusBadRequest, "team", "%v", err)
	}
	return s, nil
}

// readOrder reads and validates the body of a submission. It has no effect outside
// the handler.
func (com Common) readOrder(c echo.Context) (job.Order, error) {
	if t, _, err := mime.ParseMediaType(c.Request().Header.Get(echo.HeaderContentType)); err != nil || t != echo.MIMEApplicationJSON {
		return job.Order{}, invalidRequest(http.StatusUnsupportedMediaType, "content_type", "is %q, allowed is application/json", truncate(t))
	}
	// The deadline is removed after a complete body, since the server keeps reading to
	// detect that the caller disconnects. After an incomplete or invalid body it stays,
	// since the server reads the rest of the body before it answers.
	rc := http.NewResponseController(c.Response())
	_ = rc.SetReadDeadline(time.Now().Add(com.transferTimeout))
	var d submitDocument
	dec := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return job.Order{}, bodyError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return job.Order{}, bodyError(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return d.order(c.Param("team"))
}

func (d submitDocument) order(team string) (job.Order, error) {
	s, err := newSubmission(team, d.Key)
	if err != nil {
		return job.Order{}, err
	}
	if d.Kind == "" {
		return job.Order{}, invalidRequest(http.StatusBadRequest, "kind", "is missing")
	}
	if d.DeadlineMS < 0 || d.DeadlineMS > maxDeadlineMS {
		return job.Order{}, invalidRequest(http.StatusBadRequest, "deadline_ms", "is %d, allowed are 1 to %d milliseconds since 1970, or 0 for none", d.DeadlineMS, int64(maxDeadlineMS))
	}
	if len(d.Tasks) == 0 {
		return job.Order{}, invalidRequest(http.StatusBadRequest, "tasks", "is empty, a job has at least one task")
	}
	var deadline time.Time
	if d.DeadlineMS > 0 {
		deadline = time.UnixMilli(d.DeadlineMS)
	}
	payloads := make([][]byte, 0, len(d.Tasks))
	for _, t := range d.Tasks {
		payloads = append(payloads, t)
	}
	o, err := job.NewOrder(s, d.Kind, deadline, payloads)
	if err != nil {
		return job.Order{}, invalidRequest(http.StatusBadRequest, "body", "%v", err)
	}
	return o, nil
}

// unknownField is the prefix of the error that encoding/json returns for an unknown
// field. The error has no type of its own.
const unknownField = `json: unknown field "`

// bodyError maps a decoding error to a refusal that names the invalid field. A nil
// error means that a second JSON value follows the first.
func bodyError(err error) error {
	var large *http.MaxBytesError
	var wrong *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case err == nil:
		return invalidRequest(http.StatusBadRequest, "body", "has more than one JSON value")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return invalidRequest(http.StatusRequestTimeout, "body", "did not arrive in time")
	case errors.As(err, &large):
		return invalidRequest(http.StatusRequestEntityTooLarge, "body", "has more than %d bytes", maxBodyBytes)
	case errors.As(err, &wrong) && wrong.Field != "":
		return invalidRequest(http.StatusBadRequest, wrong.Field, "is a JSON %s, which does not fit", wrong.Value)
	case errors.As(err, &syntax):
		return invalidRequest(http.StatusBadRequest, "body", "is not JSON: error at byte %d", syntax.Offset)
	case strings.HasPrefix(err.Error(), unknownField):
		name := strings.TrimSuffix(strings.TrimPrefix(err.Error(), unknownField), `"`)
		return invalidRequest(http.StatusBadRequest, truncate(name), "is not a known field, allowed are key, kind, deadline_ms and tasks")
	}
	return invalidRequest(http.StatusBadRequest, "body", "is not a JSON object that ends")
}

// truncate limits the length of request data in error messages.
func truncate(s string) string {
	const limit = 64
	if len(s) <= limit {
		return s
	}
	return s[:limit] + "..."
}
