package caller

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// The states of an answer.
const (
	Running  = "running"
	Complete = "complete"
	Failed   = "failed"
	Refused  = "refused"
)

// Answer is what the system says about a submission. A complete answer has one
// result for each task, in the order of the tasks; no other answer has results.
type Answer struct {
	state      string
	reason     string
	detail     string
	field      string
	ran        string
	notRun     bool
	results    [][]byte
	retryAfter time.Duration
	status     int
}

// State is Running, Complete, Failed or Refused.
func (a Answer) State() string {
	return a.state
}

// Reason names why a job failed or was refused; docs/api.md lists the reasons.
func (a Answer) Reason() string {
	return a.reason
}

// Detail explains the reason in this case.
func (a Answer) Detail() string {
	return a.detail
}

// Field names the part of a refused request that is wrong; empty if none is.
func (a Answer) Field() string {
	return a.field
}

// Ran says of a failed job whether tasks ran: nothing, something or unknown.
func (a Answer) Ran() string {
	return a.ran
}

// NotRun tells whether it is certain that no task of a refused submission ran or
// will run.
func (a Answer) NotRun() bool {
	return a.notRun
}

// Results has one result for each task of a complete job. A result that the back
// end gave as JSON is unchanged; any other is a JSON string.
func (a Answer) Results() [][]byte {
	return a.results
}

// RetryAfter is how long to wait before the next attempt.
func (a Answer) RetryAfter() time.Duration {
	return a.retryAfter
}

// Status is the HTTP status of the response.
func (a Answer) Status() int {
	return a.status
}

// Ended tells whether asking again cannot change the answer: the job has ended,
// or its request can never be accepted.
func (a Answer) Ended() bool {
	switch a.state {
	case Complete, Failed:
		return true
	case Refused:
		return !retryable[a.status]
	}
	return false
}

// retryable lists the statuses of refusals that the same request may overcome.
var retryable = map[int]bool{
	429: true,
	502: true,
	503: true,
	504: true,
}

type answerDocument struct {
	State        string            `json:"state"`
	Reason       string            `json:"reason"`
	Detail       string            `json:"detail"`
	Field        string            `json:"field"`
	Ran          string            `json:"ran"`
	NotRun       bool              `json:"not_run"`
	RetryAfterMS int64             `json:"retry_after_ms"`
	Results      []json.RawMessage `json:"results"`
}

// decode reads a response. A body that is cut or does not fit the request is an
// error, so that a partial answer never reaches the caller.
func decode(status int, body []byte, tasks int) (Answer, error) {
	var d answerDocument
	if err := json.Unmarshal(body, &d); err != nil {
		return Answer{}, errors.Wrapf(err, "response with status %d", status)
	}
	switch d.State {
	case Running, Complete, Failed, Refused:
	default:
		return Answer{}, errors.Errorf("response with status %d has state %q", status, d.State)
	}
	if d.State == Complete && tasks > 0 && len(d.Results) != tasks {
		return Answer{}, errors.Errorf("complete answer has %d results for %d tasks", len(d.Results), tasks)
	}
	a := Answer{
		state:      d.State,
		reason:     d.Reason,
		detail:     d.Detail,
		field:      d.Field,
		ran:        d.Ran,
		notRun:     d.NotRun,
		retryAfter: time.Duration(d.RetryAfterMS) * time.Millisecond,
		status:     status,
	}
	for _, r := range d.Results {
		a.results = append(a.results, r)
	}
	return a, nil
}
