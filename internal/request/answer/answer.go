// Package answer defines the answer that a caller gets for its submission.
//
// An answer has one of four states: running, complete with every result, failed
// with the reason and what is known about the tasks that ran, or refused. An answer
// is never partial: the constructor of a complete answer takes all results, and no
// other answer has results. Among refusals, only one built by NotRun states that
// nothing ran.
package answer

import "time"

// State is the state of a submission in an answer.
type State uint8

// The states of an answer.
const (
	Running State = iota
	Complete
	Failed
	Refused
)

var stateNames = [...]string{
	Running:  "running",
	Complete: "complete",
	Failed:   "failed",
	Refused:  "refused",
}

// String returns the name of the state in answers to callers, or "invalid".
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Ran says what is known about whether tasks of a failed or refused job started.
type Ran uint8

// The values of Ran.
const (
	RanUnknown Ran = iota
	RanNothing
	RanSomething
)

var ranNames = [...]string{
	RanUnknown:   "unknown",
	RanNothing:   "nothing",
	RanSomething: "something",
}

// String returns the name of the value in answers to callers, or "invalid".
func (r Ran) String() string {
	if int(r) >= len(ranNames) {
		return "invalid"
	}
	return ranNames[r]
}

// Answer is the answer for one submission. The zero value is a running job.
type Answer struct {
	state      State
	reason     Reason
	detail     string
	ran        Ran
	results    [][]byte
	retryAfter time.Duration
}

// Pending returns the answer for an accepted job that has not ended.
func Pending() Answer {
	return Answer{
		state: Running,
	}
}

// Completion returns the answer for a complete job, with one result for each task
// in order.
func Completion(results [][]byte) Answer {
	return Answer{
		state:   Complete,
		ran:     RanSomething,
		results: results,
	}
}

// Failure returns the answer for a job that ended without all results.
func Failure(reason Reason, detail string, ran Ran) Answer {
	return Answer{
		state:  Failed,
		reason: reason,
		detail: detail,
		ran:    ran,
	}
}

// NotRun returns a refusal which states that no task of the submission has
// started or will start. Only the owner of the shard may give it.
func NotRun(reason Reason, detail string, retryAfter time.Duration) Answer {
	return Answer{
		state:      Refused,
		reason:     reason,
		detail:     detail,
		ran:        RanNothing,
		retryAfter: retryAfter,
	}
}

// NotForwarded returns a refusal which states only that this attempt was not
// forwarded to an owner. An earlier attempt under the same key may have run.
func NotForwarded(reason Reason, detail string, retryAfter time.Duration) Answer {
	return Answer{
		state:      Refused,
		reason:     reason,
		detail:     detail,
		retryAfter: retryAfter,
	}
}

// FromParts rebuilds an answer from its fields, for decoders.
func FromParts(state State, reason Reason, detail string, ran Ran, results [][]byte, retryAfter time.Duration) Answer {
	return Answer{
		state:      state,
		reason:     reason,
		detail:     detail,
		ran:        ran,
		results:    results,
		retryAfter: retryAfter,
	}
}

func (a Answer) State() State {
	return a.state
}

// Ended reports whether the answer is final.
func (a Answer) Ended() bool {
	return a.state != Running
}

// Reason returns why the job failed or was refused; NoReason if neither.
func (a Answer) Reason() Reason {
	return a.reason
}

// Detail returns the explanation of the reason in this case.
func (a Answer) Detail() string {
	return a.detail
}

func (a Answer) Ran() Ran {
	return a.ran
}

// NotRun reports whether the answer is a refusal which states that nothing has
// run or will run.
func (a Answer) NotRun() bool {
	return a.state == Refused && a.ran == RanNothing
}

// Results returns one result for each task of a complete job, in order; nil for
// any other answer.
func (a Answer) Results() [][]byte {
	return a.results
}

// RetryAfter returns how long a refused caller should wait before the next
// attempt.
func (a Answer) RetryAfter() time.Duration {
	return a.retryAfter
}
