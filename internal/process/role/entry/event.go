package entry

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/job"
)

// Submit is the event of a caller that submits a job. until is the time at which
// the caller stops waiting and gets the last known answer.
type Submit struct {
	request uint64
	order   job.Order
	until   time.Time
}

// NewSubmit returns a submission event. The caller stops waiting at until.
func NewSubmit(request uint64, order job.Order, until time.Time) Submit {
	return Submit{
		request: request,
		order:   order,
		until:   until,
	}
}

// Query is the event of a caller that asks for the state of a submission.
type Query struct {
	request    uint64
	submission identity.Submission
	until      time.Time
}

// NewQuery returns a query event. If until has passed, the first reply of the
// owner is the answer.
func NewQuery(request uint64, s identity.Submission, until time.Time) Query {
	return Query{
		request:    request,
		submission: s,
		until:      until,
	}
}

// Cancel is the event of a caller that cancels a submission.
type Cancel struct {
	request    uint64
	submission identity.Submission
	until      time.Time
}

// NewCancel returns a cancellation event. The caller stops waiting at until.
func NewCancel(request uint64, s identity.Submission, until time.Time) Cancel {
	return Cancel{
		request:    request,
		submission: s,
		until:      until,
	}
}

// Abandon is the event of a caller that disconnected before its answer.
type Abandon struct {
	request uint64
}

// NewAbandon returns an event that discards a pending request.
func NewAbandon(request uint64) Abandon {
	return Abandon{
		request: request,
	}
}

// Drain is the event of a process that shuts down. The entry accepts no new
// request, and answers each pending one with its last known answer at until.
type Drain struct {
	until time.Time
}

// NewDrain returns a drain event that ends all waiting at until.
func NewDrain(until time.Time) Drain {
	return Drain{
		until: until,
	}
}

// Respond is the effect that answers a caller's request.
type Respond struct {
	request uint64
	answer  answer.Answer
}

// Request returns the request number.
func (r Respond) Request() uint64 {
	return r.request
}

// Answer returns the answer for the caller.
func (r Respond) Answer() answer.Answer {
	return r.answer
}
