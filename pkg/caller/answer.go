package caller

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// States of an answer.
const (
	Running  = "running"
	Complete = "complete"
	Failed   = "failed"
	Refused  = "refused"
)

// Answer is the response to a submission, a query or a cancellation. An answer in
// state Complete has one result for each task, in the order of the tasks. Answers
// in other states have no results.
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

// Reason is the code of the reason why a job failed or was refused. docs/api.md
// lists the codes.
func (a Answer) Reason() string {
	return a.reason
}

// Detail describes the particular case of the reason in plain text.
func (a Answer) Detail() string {
	return a.detail
}

// Field is the name of the invalid field of a refused request, empty if no field is
// invalid.
func (a Answer) Field() string {
	return a.field
}

// Ran states for a failed job whether tasks ran: nothing, something or unknown.
func (a Answer) Ran() string {
	return a.ran
}

// NotRun reports whether it is certain that no task of a refused submission has run
// or will run.
func (a Answer) NotRun() bool {
	return a.notRun
}

// Results returns one JSON value for each task of a complete job, in the order of
// the tasks. A result that the back end returned as JSON is unchanged. Any other
// result is encoded as a JSON string.
func (a Answer) Results() [][]byte {
	return a.results
}

// RetryAfter is the shortest time to wait before the next attempt, 0 if the answer
// states none.
func (a Answer) RetryAfter() time.Duration {
	return a.retryAfter
}

// Status is the HTTP status code of the response.
func (a Answer) Status() int {
	return a.status
}

// Ended reports whether the answer is final: the job has ended, or its request can
// never be accepted. Refusals with status 429, 502, 503 and 504 are not final.
func (a Answer) Ended() bool {
	switch a.state {
	case Complete, Failed:
		return true
	case Refused:
		return !retryable[a.status]
	}
	return false
}

// retryable contains the statuses of refusals after which the same request can
// succeed.
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

// decode returns the answer in a response. It fails on a truncated body, and on a
// number of results that differs from tasks, so that a caller never gets a partial
// answer. If tasks is 0, the number is unknown and not checked.
func decode(status int, body []byte, tasks int) (Answer, error) {
	var d answerDocument
	if err := json.Unmarshal(body, &d); err != nil {
		return Answer{}, errors.Wrapf(err, "decode response with status %d", status)
	}
	switch d.State {
	case Running, Complete, Failed, Refused:
	default:
		return Answer{}, errors.Errorf("response with status %d has state %q, want running, complete, failed or refused", status, d.State)
	}
	if d.State == Complete && tasks > 0 && len(d.Results) != tasks {
		return Answer{}, errors.Errorf("complete answer has %d results, want %d, one for each task", len(d.Results), tasks)
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
