// Package message holds the typed messages about submissions and tasks that
// entries, owners and agents exchange.
//
// Messages are plain domain values. Decisions receive and return them; the wire
// codec maps them by hand, so that another transport can use the same decisions.
package message

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ledger"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/job"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
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

// Start asks an agent to start a task.
type Start struct {
	task     identity.Task
	grant    Grant
	credit   uint64
	kind     string
	payload  []byte
	deadline time.Time
}

// NewStart returns the message.
func NewStart(task identity.Task, grant Grant, credit uint64, kind string, payload []byte, deadline time.Time) Start {
	return Start{
		task:     task,
		grant:    grant,
		credit:   credit,
		kind:     kind,
		payload:  payload,
		deadline: deadline,
	}
}

// Task names the task.
func (m Start) Task() identity.Task {
	return m.task
}

// Grant is the right of the owner.
func (m Start) Grant() Grant {
	return m.grant
}

// Credit is the newest credit that the agent issued to the owner.
func (m Start) Credit() uint64 {
	return m.credit
}

// Kind is the request kind within the submission's team.
func (m Start) Kind() string {
	return m.kind
}

// Payload is handed to the back end.
func (m Start) Payload() []byte {
	return m.payload
}

// Deadline is the end of the caller's interest, zero for none.
func (m Start) Deadline() time.Time {
	return m.deadline
}

// Finished tells the owner how a start ended.
type Finished struct {
	task   identity.Task
	result outcome.Result
}

// NewFinished returns the message.
func NewFinished(task identity.Task, result outcome.Result) Finished {
	return Finished{
		task:   task,
		result: result,
	}
}

// Task names the task.
func (m Finished) Task() identity.Task {
	return m.task
}

// Result is the end of the start.
func (m Finished) Result() outcome.Result {
	return m.result
}

// Rejected tells the owner that a start did not and will not take effect.
type Rejected struct {
	task  identity.Task
	cause Cause
}

// NewRejected returns the message.
func NewRejected(task identity.Task, cause Cause) Rejected {
	return Rejected{
		task:  task,
		cause: cause,
	}
}

// Task names the task.
func (m Rejected) Task() identity.Task {
	return m.task
}

// Cause is why the agent refused.
func (m Rejected) Cause() Cause {
	return m.cause
}

// Demand is the work of one service and urgency that waits at an owner.
type Demand struct {
	service string
	urgency configuration.Urgency
	long    bool
	count   uint32
	oldest  time.Duration
}

// NewDemand returns the message.
func NewDemand(service string, urgency configuration.Urgency, long bool, count uint32, oldest time.Duration) Demand {
	return Demand{
		service: service,
		urgency: urgency,
		long:    long,
		count:   count,
		oldest:  oldest,
	}
}

// Service names the back ends that run it.
func (m Demand) Service() string {
	return m.service
}

// Urgency is its urgency.
func (m Demand) Urgency() configuration.Urgency {
	return m.urgency
}

// Long marks work under the cap for long work.
func (m Demand) Long() bool {
	return m.long
}

// Count is the number of waiting tasks.
func (m Demand) Count() uint32 {
	return m.count
}

// Oldest is the wait of the oldest task.
func (m Demand) Oldest() time.Duration {
	return m.oldest
}

// Interest tells an agent which work waits at the owner; it replaces the former one.
type Interest struct {
	demands []Demand
}

// NewInterest returns the message.
func NewInterest(demands []Demand) Interest {
	return Interest{
		demands: demands,
	}
}

// Demands has one entry for each service and urgency with waiting work.
func (m Interest) Demands() []Demand {
	return m.demands
}

// Offer invites an owner to send starts.
type Offer struct {
	service string
	slots   uint32
	urgent  bool
}

// NewOffer returns the message.
func NewOffer(service string, slots uint32, urgent bool) Offer {
	return Offer{
		service: service,
		slots:   slots,
		urgent:  urgent,
	}
}

// Service names the back ends with room.
func (m Offer) Service() string {
	return m.service
}

// Slots is the number of starts that the agent keeps room for.
func (m Offer) Slots() uint32 {
	return m.slots
}

// Urgent tells that only the most urgent class may use the room.
func (m Offer) Urgent() bool {
	return m.urgent
}

// Revoke asks an agent to end all tasks of submissions.
type Revoke struct {
	grants      []Grant
	submissions []identity.Submission
}

// NewRevoke returns the message.
func NewRevoke(grants []Grant, submissions []identity.Submission) Revoke {
	return Revoke{
		grants:      grants,
		submissions: submissions,
	}
}

// Grants has the right for each submission.
func (m Revoke) Grants() []Grant {
	return m.grants
}

// Submissions names the submissions.
func (m Revoke) Submissions() []identity.Submission {
	return m.submissions
}

// TaskState is the state of one task at an agent.
type TaskState struct {
	task  identity.Task
	state outcome.State
}

// NewTaskState returns the message.
func NewTaskState(task identity.Task, state outcome.State) TaskState {
	return TaskState{
		task:  task,
		state: state,
	}
}

// Task names the task.
func (m TaskState) Task() identity.Task {
	return m.task
}

// State is what the agent knows.
func (m TaskState) State() outcome.State {
	return m.state
}

// Revoked answers Revoke: what became of the tasks that the agent knew.
type Revoked struct {
	submissions []identity.Submission
	tasks       []TaskState
}

// NewRevoked returns the message.
func NewRevoked(submissions []identity.Submission, tasks []TaskState) Revoked {
	return Revoked{
		submissions: submissions,
		tasks:       tasks,
	}
}

// Submissions names the submissions of the Revoke.
func (m Revoked) Submissions() []identity.Submission {
	return m.submissions
}

// Tasks lists the tasks found; any other task of the submissions can no longer start here.
func (m Revoked) Tasks() []TaskState {
	return m.tasks
}

// Seal asks an agent to refuse former owners and to send its records.
type Seal struct {
	grants []Grant
}

// NewSeal returns the message.
func NewSeal(grants []Grant) Seal {
	return Seal{
		grants: grants,
	}
}

// Grants lists the shards with their new epochs.
func (m Seal) Grants() []Grant {
	return m.grants
}

// Sealed answers Seal.
type Sealed struct {
	grants   []Grant
	records  []ledger.Record
	complete bool
	since    time.Time
}

// NewSealed returns the message.
func NewSealed(grants []Grant, records []ledger.Record, complete bool, since time.Time) Sealed {
	return Sealed{
		grants:   grants,
		records:  records,
		complete: complete,
		since:    since,
	}
}

// Grants lists the shards that are sealed at these epochs.
func (m Sealed) Grants() []Grant {
	return m.grants
}

// Records has the start records of these shards.
func (m Sealed) Records() []ledger.Record {
	return m.records
}

// Complete tells that no further Sealed message follows for these shards.
func (m Sealed) Complete() bool {
	return m.complete
}

// Since is when the agent's ledger began.
func (m Sealed) Since() time.Time {
	return m.since
}
