// Package message holds the typed messages about submissions and tasks that
// entries, owners and agents exchange.
//
// Messages are plain domain values. Decisions receive and return them; the wire
// codec maps them by hand, so that another transport can use the same decisions.
package message

import (
	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/job"
)

// Submit asks the owner to accept a submission.
type Submit struct {
	request uint64
	order   job.Order
}

// NewSubmit returns the message.
func NewSubmit(request uint64, order job.Order) Submit {
	return Submit{
		request: request,
		order:   order,
	}
}

// Request is the entry's number for the reply.
func (m Submit) Request() uint64 {
	return m.request
}

// Order is the content of the submission.
func (m Submit) Order() job.Order {
	return m.order
}

// Query asks the owner for a submission's answer.
type Query struct {
	request    uint64
	submission identity.Submission
	wait       bool
}

// NewQuery returns the message.
func NewQuery(request uint64, submission identity.Submission, wait bool) Query {
	return Query{
		request:    request,
		submission: submission,
		wait:       wait,
	}
}

// Request is the entry's number for the reply.
func (m Query) Request() uint64 {
	return m.request
}

// Submission names the submission.
func (m Query) Submission() identity.Submission {
	return m.submission
}

// Wait asks for a second reply when the job ends.
func (m Query) Wait() bool {
	return m.wait
}

// Cancel asks the owner to end a submission.
type Cancel struct {
	request    uint64
	submission identity.Submission
}

// NewCancel returns the message.
func NewCancel(request uint64, submission identity.Submission) Cancel {
	return Cancel{
		request:    request,
		submission: submission,
	}
}

// Request is the entry's number for the reply.
func (m Cancel) Request() uint64 {
	return m.request
}

// Submission names the submission.
func (m Cancel) Submission() identity.Submission {
	return m.submission
}

// Reply answers a Submit, Query or Cancel.
type Reply struct {
	request uint64
	answer  answer.Answer
}

// NewReply returns the message.
func NewReply(request uint64, answer answer.Answer) Reply {
	return Reply{
		request: request,
		answer:  answer,
	}
}

// Request is the number from the entry's message.
func (m Reply) Request() uint64 {
	return m.request
}

// Answer is what is known of the submission.
func (m Reply) Answer() answer.Answer {
	return m.answer
}

// Grant is the right under which an owner acts for a shard.
type Grant struct {
	shard identity.Shard
	epoch identity.Epoch
}

// NewGrant returns the message.
func NewGrant(shard identity.Shard, epoch identity.Epoch) Grant {
	return Grant{
		shard: shard,
		epoch: epoch,
	}
}

// Shard is the shard.
func (m Grant) Shard() identity.Shard {
	return m.shard
}

// Epoch is the owner's epoch.
func (m Grant) Epoch() identity.Epoch {
	return m.epoch
}
