package host

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/role/entry"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/job"
)

const (
	maxBodyBytes = 8 << 20
	defaultWait  = 30 * time.Second
	maxWait      = 2 * time.Minute
)

type submitDocument struct {
	Key        string            `json:"key"`
	Kind       string            `json:"kind"`
	DeadlineMS int64             `json:"deadline_ms"`
	Tasks      []json.RawMessage `json:"tasks"`
}

type answerDocument struct {
	Submission   string            `json:"submission_id"`
	State        string            `json:"state"`
	Reason       string            `json:"reason,omitempty"`
	Detail       string            `json:"detail,omitempty"`
	Ran          string            `json:"ran,omitempty"`
	NotRun       *bool             `json:"not_run,omitempty"`
	RetryAfterMS int64             `json:"retry_after_ms,omitempty"`
	Results      []json.RawMessage `json:"results,omitempty"`
}

func (e *Entry) register(router *echo.Echo) {
	router.POST("/v1/teams/:team/jobs", e.submit)
	router.GET("/v1/teams/:team/jobs/:key", e.query)
	router.DELETE("/v1/teams/:team/jobs/:key", e.cancel)
}

func (e *Entry) until(c echo.Context) time.Time {
	wait := defaultWait
	if ms, err := strconv.ParseInt(c.QueryParam("wait_ms"), 10, 64); err == nil && ms >= 0 {
		wait = min(time.Duration(ms)*time.Millisecond, maxWait)
	}
	return e.common.now().Add(wait)
}

func (e *Entry) submit(c echo.Context) error {
	var d submitDocument
	dec := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	s, err := identity.NewSubmission(c.Param("team"), d.Key)
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	var deadline time.Time
	if d.DeadlineMS > 0 {
		deadline = time.UnixMilli(d.DeadlineMS)
	}
	payloads := make([][]byte, 0, len(d.Tasks))
	for _, t := range d.Tasks {
		payloads = append(payloads, t)
	}
	order, err := job.NewOrder(s, d.Kind, deadline, payloads)
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	a, err := e.ask(c, func(n uint64) any { return entry.NewSubmit(n, order, e.until(c)) })
	return write(c, s, a, err)
}

func (e *Entry) query(c echo.Context) error {
	s, err := identity.NewSubmission(c.Param("team"), c.Param("key"))
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	a, err := e.ask(c, func(n uint64) any { return entry.NewQuery(n, s, e.until(c)) })
	return write(c, s, a, err)
}

func (e *Entry) cancel(c echo.Context) error {
	s, err := identity.NewSubmission(c.Param("team"), c.Param("key"))
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	a, err := e.ask(c, func(n uint64) any { return entry.NewCancel(n, s, e.until(c)) })
	return write(c, s, a, err)
}

func write(c echo.Context, s identity.Submission, a answer.Answer, err error) error {
	if err != nil {
		return err
	}
	d := answerDocument{
		Submission:   s.String(),
		State:        a.State().String(),
		Reason:       a.Reason().String(),
		Detail:       a.Detail(),
		RetryAfterMS: a.RetryAfter().Milliseconds(),
	}
	status := http.StatusOK
	switch a.State() {
	case answer.Running:
		status = http.StatusAccepted
	case answer.Failed:
		d.Ran = a.Ran().String()
	case answer.Refused:
		notRun := a.NotRun()
		d.NotRun = &notRun
		status = a.Reason().Entry().Status()
	}
	for _, r := range a.Results() {
		if !json.Valid(r) {
			r, _ = json.Marshal(string(r))
		}
		d.Results = append(d.Results, r)
	}
	return c.JSON(status, d)
}
