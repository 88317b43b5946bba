package entry

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/job"
)

// Submit is an event: a caller submits a job. Until is when the caller stops
// waiting and takes whatever is known.
type Submit struct {
	request uint64
	order   job.Order
	until   time.Time
}

// NewSubmit returns the event.
func NewSubmit(request uint64, order job.Order, until time.Time) Submit {
	return Submit{
		request: request,
		order:   order,
		until:   until,
	}
}

// Query is an event: a caller asks for a submission's answer.
type Query struct {
	request    uint64
	submission identity.Submission
	until      time.Time
}

// NewQuery returns the event. If until has passed, the first reply is the answer.
func NewQuery(request uint64, s identity.Submission, until time.Time) Query {
	return Query{
		request:    request,
		submission: s,
		until:      until,
	}
}

// Cancel is an event: a caller wants a submission to end.
type Cancel struct {
	request    uint64
	submission identity.Submission
	until      time.Time
}

// NewCancel returns the event.
func NewCancel(request uint64, s identity.Submission, until time.Time) Cancel {
	return Cancel{
		request:    request,
		submission: s,
		until:      until,
	}
}

// Abandon is an event: the caller of a request has gone.
type Abandon struct {
	request uint64
}

// NewAbandon returns the event.
func NewAbandon(request uint64) Abandon {
	return Abandon{
		request: request,
	}
}

// Drain is an event: the process is stopping. The entry takes no new request, and
// answers those it holds with what is known at the given time.
type Drain struct {
	until time.Time
}

// NewDrain returns the event.
func NewDrain(until time.Time) Drain {
	return Drain{
		until: until,
	}
}

// Respond is an effect: answer a caller's request.
type Respond struct {
	request uint64
	answer  answer.Answer
}

// Request is the request's number.
func (r Respond) Request() uint64 {
	return r.request
}

// Answer is what the caller is told.
func (r Respond) Answer() answer.Answer {
	return r.answer
}
