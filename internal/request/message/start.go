package message

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ledger"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

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

// CriticalOnly tells that only the most urgent class may use the room.
func (m Offer) CriticalOnly() bool {
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

// Fence asks an agent to refuse former owners and to send its records.
type Fence struct {
	grants []Grant
}

// NewFence returns the message.
func NewFence(grants []Grant) Fence {
	return Fence{
		grants: grants,
	}
}

// Grants lists the shards with their new epochs.
func (m Fence) Grants() []Grant {
	return m.grants
}

// FenceReply answers Seal.
type FenceReply struct {
	grants   []Grant
	records  []ledger.Record
	complete bool
	since    time.Time
}

// NewFenceReply returns the message.
func NewFenceReply(grants []Grant, records []ledger.Record, complete bool, since time.Time) FenceReply {
	return FenceReply{
		grants:   grants,
		records:  records,
		complete: complete,
		since:    since,
	}
}

// Grants lists the shards that are sealed at these epochs.
func (m FenceReply) Grants() []Grant {
	return m.grants
}

// Records has the start records of these shards.
func (m FenceReply) Records() []ledger.Record {
	return m.records
}

// Complete tells that no further Sealed message follows for these shards.
func (m FenceReply) Complete() bool {
	return m.complete
}

// Since is when the agent's ledger began.
func (m FenceReply) Since() time.Time {
	return m.since
}
