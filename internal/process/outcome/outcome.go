// Package outcome describes what is known about the start of a task.
//
// The start ledger keeps outcomes for the whole retention, far longer than the
// request lives, so they have the life span of the process. The states separate
// the cases that the guarantees depend on: the start took effect, it did not and
// cannot any more, or it may have.
package outcome

import "time"

// State is what is known about a start.
type State uint8

// The states of a start. Running is the zero value, since a record is written
// before the back end is called.
const (
	Running   State = iota // The back end was called and has not responded.
	Succeeded              // The back end returned a result.
	Failed                 // The back end returned an error.
	Unknown                // The back end may have run the task; no result will arrive.
	Revoked                // The task was not started and can no longer start.
)

var stateNames = [...]string{
	Running:   "running",
	Succeeded: "succeeded",
	Failed:    "failed",
	Unknown:   "unknown",
	Revoked:   "revoked",
}

// String returns the name of the state in dumps and logs.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Ended reports whether the state is final.
func (s State) Ended() bool {
	return s != Running
}

// Result is the outcome of one start. The zero value is a running start.
type Result struct {
	state   State
	body    []byte
	detail  string
	runTime time.Duration
}

// Success returns the result of a task that completed.
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

// Lost returns a result in state Unknown, for a start whose result cannot be obtained.
func Lost(detail string) Result {
	return Result{
		state:  Unknown,
		detail: detail,
	}
}

// Revocation returns the result of a task that was not started and can no longer
// start.
func Revocation(detail string) Result {
	return Result{
		state:  Revoked,
		detail: detail,
	}
}

// Of rebuilds a result from its parts, for decoders.
func Of(state State, body []byte, detail string, runTime time.Duration) Result {
	return Result{
		state:   state,
		body:    body,
		detail:  detail,
		runTime: runTime,
	}
}

func (r Result) State() State {
	return r.state
}

// Body returns the back end's response; only a success has one.
func (r Result) Body() []byte {
	return r.body
}

// Detail returns an explanation of a result other than success.
func (r Result) Detail() string {
	return r.detail
}

// RunTime returns the time that the back end took.
func (r Result) RunTime() time.Duration {
	return r.runTime
}
