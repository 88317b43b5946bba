package message

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ledger"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// Start asks an agent to start a task. The agent answers with Rejected, or with
// Finished when the task has ended.
type Start struct {
	task     identity.Task
	grant    Grant
	credit   uint64
	kind     string
	payload  []byte
	deadline time.Time
}

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

func (m Start) Task() identity.Task {
	return m.task
}

// Grant returns the fencing token of the owner.
func (m Start) Grant() Grant {
	return m.grant
}

// Credit returns the newest credit that the agent has issued to the owner. It
// shows how old the start can be at most.
func (m Start) Credit() uint64 {
	return m.credit
}

// Kind returns the name of the request kind; names are unique within the
// submission's team.
func (m Start) Kind() string {
	return m.kind
}

// Payload returns the bytes for the back end.
func (m Start) Payload() []byte {
	return m.payload
}

// Deadline returns the time after which the caller does not need the result, or
// zero for none.
func (m Start) Deadline() time.Time {
	return m.deadline
}

// Finished reports the result of a start to the owner.
type Finished struct {
	task   identity.Task
	result outcome.Result
}

func NewFinished(task identity.Task, result outcome.Result) Finished {
	return Finished{
		task:   task,
		result: result,
	}
}

func (m Finished) Task() identity.Task {
	return m.task
}

func (m Finished) Result() outcome.Result {
	return m.result
}

// Rejected reports to the owner that a start had no effect and will have none.
type Rejected struct {
	task  identity.Task
	cause Cause
}

func NewRejected(task identity.Task, cause Cause) Rejected {
	return Rejected{
		task:  task,
		cause: cause,
	}
}

func (m Rejected) Task() identity.Task {
	return m.task
}

func (m Rejected) Cause() Cause {
	return m.cause
}

// Demand counts the tasks of one service, urgency and length that are queued at
// an owner.
type Demand struct {
	service string
	urgency configuration.Urgency
	long    bool
	count   uint32
	oldest  time.Duration
}

func NewDemand(service string, urgency configuration.Urgency, long bool, count uint32, oldest time.Duration) Demand {
	return Demand{
		service: service,
		urgency: urgency,
		long:    long,
		count:   count,
		oldest:  oldest,
	}
}

func (m Demand) Service() string {
	return m.service
}

func (m Demand) Urgency() configuration.Urgency {
	return m.urgency
}

// Long reports whether the limit on slots for long tasks applies.
func (m Demand) Long() bool {
	return m.long
}

// Count returns the number of queued tasks.
func (m Demand) Count() uint32 {
	return m.count
}

// Oldest returns how long the oldest task has been queued.
func (m Demand) Oldest() time.Duration {
	return m.oldest
}

// Interest lists the owner's queued work to an agent. It replaces the owner's
// previous list.
type Interest struct {
	demands []Demand
}

func NewInterest(demands []Demand) Interest {
	return Interest{
		demands: demands,
	}
}

// Demands returns an entry for each combination of service, urgency and length
// that has queued tasks. It is empty if the owner has none.
func (m Interest) Demands() []Demand {
	return m.demands
}

// Offer invites an owner to send starts.
type Offer struct {
	service      string
	slots        uint32
	criticalOnly bool
}

func NewOffer(service string, slots uint32, criticalOnly bool) Offer {
	return Offer{
		service:      service,
		slots:        slots,
		criticalOnly: criticalOnly,
	}
}

func (m Offer) Service() string {
	return m.service
}

// Slots returns the number of slots that the agent reserves for the owner.
func (m Offer) Slots() uint32 {
	return m.slots
}

// CriticalOnly reports whether only critical tasks may use the slots.
func (m Offer) CriticalOnly() bool {
	return m.criticalOnly
}

// Revoke asks an agent to stop the tasks of submissions and to reject further
// starts of them.
type Revoke struct {
	grants      []Grant
	submissions []identity.Submission
}

func NewRevoke(grants []Grant, submissions []identity.Submission) Revoke {
	return Revoke{
		grants:      grants,
		submissions: submissions,
	}
}

// Grants returns the fencing token for each submission, in the same order.
func (m Revoke) Grants() []Grant {
	return m.grants
}

func (m Revoke) Submissions() []identity.Submission {
	return m.submissions
}

// TaskState is the state of one task at an agent.
type TaskState struct {
	task  identity.Task
	state outcome.State
}

func NewTaskState(task identity.Task, state outcome.State) TaskState {
	return TaskState{
		task:  task,
		state: state,
	}
}

func (m TaskState) Task() identity.Task {
	return m.task
}

func (m TaskState) State() outcome.State {
	return m.state
}

// Revoked answers Revoke with the state of the tasks that the agent has records
// of.
type Revoked struct {
	submissions []identity.Submission
	tasks       []TaskState
}

func NewRevoked(submissions []identity.Submission, tasks []TaskState) Revoked {
	return Revoked{
		submissions: submissions,
		tasks:       tasks,
	}
}

// Submissions returns the revoked submissions. One whose grant was stale is
// absent.
func (m Revoked) Submissions() []identity.Submission {
	return m.submissions
}

// Tasks returns the recorded tasks of the submissions. Any other task of them
// cannot start at this agent any more.
func (m Revoked) Tasks() []TaskState {
	return m.tasks
}

// Fence asks an agent to reject the shards' previous owners and to return its
// start records.
type Fence struct {
	grants []Grant
}

func NewFence(grants []Grant) Fence {
	return Fence{
		grants: grants,
	}
}

// Grants returns the shards with their new epochs.
func (m Fence) Grants() []Grant {
	return m.grants
}

// FenceReply answers Fence. Large answers are split into several messages.
type FenceReply struct {
	grants   []Grant
	records  []ledger.Record
	complete bool
	since    time.Time
}

func NewFenceReply(grants []Grant, records []ledger.Record, complete bool, since time.Time) FenceReply {
	return FenceReply{
		grants:   grants,
		records:  records,
		complete: complete,
		since:    since,
	}
}

// Grants returns the shards that are fenced, with their epochs. A shard that has
// a newer owner is absent.
func (m FenceReply) Grants() []Grant {
	return m.grants
}

// Records returns start records of these shards.
func (m FenceReply) Records() []ledger.Record {
	return m.records
}

// Complete reports whether this is the last FenceReply for these shards.
func (m FenceReply) Complete() bool {
	return m.complete
}

// Since returns the time at which the agent's ledger started.
func (m FenceReply) Since() time.Time {
	return m.since
}
