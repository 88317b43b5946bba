// Package outcome says what is known about the start of one task.
//
// The start ledger keeps outcomes for the whole retention, far longer than the
// request, so they are facts of the process. The states tell apart what the
// promises need: whether a start took effect, did not and cannot, or may have.
package outcome

import "time"

// State is what is known about a start.
type State uint8

// The states of a start. Running is the zero value: a record is written before
// the back end is called.
const (
	Running   State = iota // The back end was called and has not answered.
	Succeeded              // The back end answered with a result.
	Failed                 // The back end answered with an error.
	Unknown                // The back end may have run the task; nothing more will be heard.
	Revoked                // The task was not started and can no longer start.
)

var stateNames = [...]string{
	Running:   "running",
	Succeeded: "succeeded",
	Failed:    "failed",
	Unknown:   "unknown",
	Revoked:   "revoked",
}

// String is the state's name in dumps and logs.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Ended tells whether the state is final.
func (s State) Ended() bool {
	return s != Running
}

// Result is the end of one start.
type Result struct {
	state   State
	body    []byte
	detail  string
	runTime time.Duration
}

// Success returns the result of a task that ran to its end.
func Success(body []byte, runTime time.Duration) Result {
	return Result{
		state:   Succeeded,
		body:    body,
		runTime: runTime,
	}
}

// Failure returns the result of a task that ran and failed.
func Failure(detail string, runTime time.Duration) Result {
	return Result{
		state:   Failed,
		detail:  detail,
		runTime: runTime,
	}
}

// Lost returns the result of a start of which nothing more can be learned.
func Lost(detail string) Result {
	return Result{
		state:  Unknown,
		detail: detail,
	}
}

// Revocation returns the result of a task that was revoked before its start.
func Revocation(detail string) Result {
	return Result{
		state:  Revoked,
		detail: detail,
	}
}

// Of rebuilds a result from its parts, for codecs.
func Of(state State, body []byte, detail string, runTime time.Duration) Result {
	return Result{
		state:   state,
		body:    body,
		detail:  detail,
		runTime: runTime,
	}
}

// State is what is known about the start.
func (r Result) State() State {
	return r.state
}

// Body is the back end's answer; only a success has one.
func (r Result) Body() []byte {
	return r.body
}

// Detail explains a result other than success.
func (r Result) Detail() string {
	return r.detail
}

// RunTime is the time that the back end took.
func (r Result) RunTime() time.Duration {
	return r.runTime
}
