// Package answer holds what a caller is told about its submission.
//
// An answer is one of four: running, complete with every result, failed with the
// reason and what is known about the tasks that ran, or refused. It is never
// partial: a constructor for a complete answer takes all results, and no other
// answer carries results. Only an answer built by NotRun claims that nothing ran.
package answer

import "time"

// State is the kind of an answer.
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

// String is the state's name towards callers.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Ran says what is known about the start of a failed job's tasks.
type Ran uint8

// What is known about starts.
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

// String is the name towards callers.
func (r Ran) String() string {
	if int(r) >= len(ranNames) {
		return "invalid"
	}
	return ranNames[r]
}

// Answer is what a caller is told about its submission.
type Answer struct {
	state      State
	reason     Reason
	detail     string
	ran        Ran
	results    [][]byte
	retryAfter time.Duration
}

// Pending is the answer for an accepted job that has not ended.
func Pending() Answer {
	return Answer{
		state: Running,
	}
}

// Completion is the whole answer: one result for each task, in order.
func Completion(results [][]byte) Answer {
	return Answer{
		state:   Complete,
		ran:     RanSomething,
		results: results,
	}
}

// Failure is the answer for a job that ended without all results.
func Failure(reason Reason, detail string, ran Ran) Answer {
	return Answer{
		state:  Failed,
		reason: reason,
		detail: detail,
		ran:    ran,
	}
}

// NotRun is a refusal that claims that no task of the submission started or
// will start. Only the owner of the shard may give it.
func NotRun(reason Reason, detail string, retryAfter time.Duration) Answer {
	return Answer{
		state:      Refused,
		reason:     reason,
		detail:     detail,
		ran:        RanNothing,
		retryAfter: retryAfter,
	}
}

// NotForwarded is a refusal that claims only that this attempt was not passed on;
// an earlier attempt under the same key may have run.
func NotForwarded(reason Reason, detail string, retryAfter time.Duration) Answer {
	return Answer{
		state:      Refused,
		reason:     reason,
		detail:     detail,
		retryAfter: retryAfter,
	}
}

// FromParts rebuilds an answer from its parts, for codecs.
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

// State is the kind of the answer.
func (a Answer) State() State {
	return a.state
}

// Ended tells whether the answer is final.
func (a Answer) Ended() bool {
	return a.state != Running
}

// Reason is why the job failed or was refused.
func (a Answer) Reason() Reason {
	return a.reason
}

// Detail explains the reason in this case.
func (a Answer) Detail() string {
	return a.detail
}

// Ran is what is known about starts.
func (a Answer) Ran() Ran {
	return a.ran
}

// NotRun tells whether a refusal claims that nothing ran or will run.
func (a Answer) NotRun() bool {
	return a.state == Refused && a.ran == RanNothing
}

// Results has one result for each task of a complete job, in order.
func (a Answer) Results() [][]byte {
	return a.results
}

// RetryAfter is how long a refused caller should wait before the next attempt.
func (a Answer) RetryAfter() time.Duration {
	return a.retryAfter
}
