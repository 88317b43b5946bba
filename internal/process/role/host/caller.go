package host

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/role/entry"
	"greengagedoor.example/greengagedoor/internal/request/answer"
)

const (
	defaultWait = 30 * time.Second
	maxWait     = 2 * time.Minute
	jobsPath    = "/v1/teams/:team/jobs"
	jobPath     = jobsPath + "/:key"
)

// answerDocument is the response for a submission that is running or has ended.
type answerDocument struct {
	Submission string            `json:"submission_id"`
	State      string            `json:"state"`
	Reason     string            `json:"reason,omitempty"`
	Detail     string            `json:"detail,omitempty"`
	Ran        string            `json:"ran,omitempty"`
	Results    []json.RawMessage `json:"results,omitempty"`
}

func (e *Entry) register(router *echo.Echo, g guard) {
	router.POST(jobsPath, e.submit, g.team(callerAccess, operatorAccess))
	router.GET(jobPath, e.query, g.team(callerAccess, operatorAccess, readerAccess))
	router.DELETE(jobPath, e.cancel, g.team(callerAccess, operatorAccess))
	router.GET("/v1/reasons", reasons)
}

func (e *Entry) submit(c echo.Context) error {
	wait, err := readWait(c, defaultWait)
	if err != nil {
		return err
	}
	order, err := e.common.readOrder(c)
	if err != nil {
		return err
	}
	if e.common.logEnabled(logrus.InfoLevel) {
		e.common.submissionLog(order.Submission()).WithField("tasks", len(order.Payloads())).Info("submission received")
	}
	until := e.common.now().Add(wait)
	return e.answer(c, order.Submission(), func(n uint64) any { return entry.NewSubmit(n, order, until) })
}

func (e *Entry) query(c echo.Context) error {
	s, wait, err := readSubmission(c, 0)
	if err != nil {
		return err
	}
	until := e.common.now().Add(wait)
	return e.answer(c, s, func(n uint64) any { return entry.NewQuery(n, s, until) })
}

func (e *Entry) cancel(c echo.Context) error {
	s, wait, err := readSubmission(c, defaultWait)
	if err != nil {
		return err
	}
	until := e.common.now().Add(wait)
	return e.answer(c, s, func(n uint64) any { return entry.NewCancel(n, s, until) })
}

// answer passes a caller's event to the entry's duty and writes its answer.
func (e *Entry) answer(c echo.Context, s identity.Submission, event func(request uint64) any) error {
	a, err := e.roundTrip(c, event)
	if err != nil {
		return err
	}
	e.observeAnswer(s, a)
	if a.State() == answer.Refused {
		return writeRefusal(c, s, a)
	}
	d := answerDocument{
		Submission: s.String(),
		State:      a.State().String(),
		Reason:     a.Reason().String(),
		Detail:     a.Detail(),
	}
	status := http.StatusOK
	switch a.State() {
	case answer.Running:
		status = http.StatusAccepted
	case answer.Failed:
		d.Ran = a.Ran().String()
	case answer.Complete:
		d.Results = make([]json.RawMessage, 0, len(a.Results()))
	}
	for _, r := range a.Results() {
		if !json.Valid(r) {
			r, _ = json.Marshal(string(r))
		}
		d.Results = append(d.Results, r)
	}
	return c.JSON(status, d)
}

type reasonDocument struct {
	Reason  string `json:"reason"`
	Status  int    `json:"status"`
	Meaning string `json:"meaning"`
}

// reasons serves the table of reasons.
func reasons(c echo.Context) error {
	out := []reasonDocument{}
	for _, r := range answer.Reasons() {
		if r.Reason() == answer.NoReason {
			continue
		}
		out = append(out, reasonDocument{
			Reason:  r.Name(),
			Status:  r.Status(),
			Meaning: r.Meaning(),
		})
	}
	return c.JSON(http.StatusOK, out)
}
