// Package message defines the messages about submissions and tasks that entries,
// owners and agents exchange, and the events and effects that carry them.
//
// Messages are plain values without an encoding. State machines take and return
// them, and a codec outside this package maps them to the wire format. The state
// machines therefore do not depend on the transport.
package message

import (
	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/job"
)

// Submit asks the owner to accept a submission. The owner answers with a Reply.
type Submit struct {
	request uint64
	order   job.Order
}

func NewSubmit(request uint64, order job.Order) Submit {
	return Submit{
		request: request,
		order:   order,
	}
}

// Request returns the entry's number for the request; the reply repeats it.
func (m Submit) Request() uint64 {
	return m.request
}

// Order returns the content of the submission.
func (m Submit) Order() job.Order {
	return m.order
}

// Query asks the owner for the answer to a submission.
type Query struct {
	request    uint64
	submission identity.Submission
	wait       bool
}

func NewQuery(request uint64, submission identity.Submission, wait bool) Query {
	return Query{
		request:    request,
		submission: submission,
		wait:       wait,
	}
}

// Request returns the entry's number for the request; the reply repeats it.
func (m Query) Request() uint64 {
	return m.request
}

func (m Query) Submission() identity.Submission {
	return m.submission
}

// Wait reports whether the owner sends a second reply when the job ends.
func (m Query) Wait() bool {
	return m.wait
}

// Cancel asks the owner to end a submission.
type Cancel struct {
	request    uint64
	submission identity.Submission
}

func NewCancel(request uint64, submission identity.Submission) Cancel {
	return Cancel{
		request:    request,
		submission: submission,
	}
}

// Request returns the entry's number for the request; the reply repeats it.
func (m Cancel) Request() uint64 {
	return m.request
}

func (m Cancel) Submission() identity.Submission {
	return m.submission
}

// Reply answers a Submit, Query or Cancel.
type Reply struct {
	request uint64
	answer  answer.Answer
}

func NewReply(request uint64, answer answer.Answer) Reply {
	return Reply{
		request: request,
		answer:  answer,
	}
}

// Request returns the number of the request that this message answers.
func (m Reply) Request() uint64 {
	return m.request
}

func (m Reply) Answer() answer.Answer {
	return m.answer
}

// Grant is a fencing token: the shard and the epoch under which an owner acts for
// it. Agents reject a grant whose epoch is below the highest one seen for the
// shard.
type Grant struct {
	shard identity.Shard
	epoch identity.Epoch
}

func NewGrant(shard identity.Shard, epoch identity.Epoch) Grant {
	return Grant{
		shard: shard,
		epoch: epoch,
	}
}

func (m Grant) Shard() identity.Shard {
	return m.shard
}

func (m Grant) Epoch() identity.Epoch {
	return m.epoch
}
