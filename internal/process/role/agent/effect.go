package agent

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// Call is an effect: send a task to a target.
type Call struct {
	target   string
	url      string
	task     identity.Task
	kind     string
	payload  []byte
	deadline time.Time
	timeout  time.Duration
}

func (c Call) Target() string {
	return c.target
}

// URL returns the address to which the task is sent.
func (c Call) URL() string {
	return c.url
}

func (c Call) Task() identity.Task {
	return c.task
}

func (c Call) Kind() string {
	return c.kind
}

// Payload returns the bytes for the target.
func (c Call) Payload() []byte {
	return c.payload
}

// Deadline returns the time after which the caller does not need the result, or
// zero for none.
func (c Call) Deadline() time.Time {
	return c.deadline
}

// Timeout returns the longest time that the target may take.
func (c Call) Timeout() time.Duration {
	return c.timeout
}

// Place is an effect: start a task on the worker under a lease.
type Place struct {
	worker    string
	task      identity.Task
	kind      string
	payload   []byte
	resources configuration.Resources
	timeout   time.Duration
}

func (p Place) Worker() string {
	return p.worker
}

func (p Place) Task() identity.Task {
	return p.task
}

func (p Place) Kind() string {
	return p.kind
}

// Payload returns the bytes for the worker.
func (p Place) Payload() []byte {
	return p.payload
}

// Resources returns the size of the lease.
func (p Place) Resources() configuration.Resources {
	return p.resources
}

// Timeout returns the longest time that the task may take.
func (p Place) Timeout() time.Duration {
	return p.timeout
}

// Action is an operation on a task that runs on a worker.
type Action uint8

// The actions. The first three are in the order in which preemption tries them, the
// least disruptive first.
const (
	Checkpoint Action = iota + 1
	Throttle
	Stop
	Resume
)

var actionNames = [...]string{
	Checkpoint: "checkpoint",
	Throttle:   "throttle",
	Stop:       "stop",
	Resume:     "resume",
}

// String returns the action's name in the worker pool's API and in logs.
func (a Action) String() string {
	if a == 0 || int(a) >= len(actionNames) {
		return "invalid"
	}
	return actionNames[a]
}

// Control is an effect: apply an action to a task that runs on the worker.
type Control struct {
	task   identity.Task
	action Action
}

func (c Control) Task() identity.Task {
	return c.task
}

func (c Control) Action() Action {
	return c.action
}

// CapacityHint is an effect: publish the free capacity of each service.
type CapacityHint struct {
	capacities []message.Capacity
	inline     [inlineCapacities]message.Capacity
}

// inlineCapacities is the number of services for which a hint needs no second
// allocation.
const inlineCapacities = 4

// Capacities returns an entry for each service with targets; it is empty if the
// agent takes no work.
func (h *CapacityHint) Capacities() []message.Capacity {
	return h.capacities
}

// Barrier is a message of the agent to itself. It arrives after the reports on
// all messages sent before it, so the agent then knows which of them were not
// sent.
type Barrier struct {
	number uint64
}

// Drained is an effect: no task runs any more and every result has been reported.
type Drained struct{}

// Drain is an event: the process is leaving and takes no new work.
type Drain struct{}

// Ended is an event: the result of a Call or a Place.
type Ended struct {
	task      identity.Task
	result    outcome.Result
	notCalled bool
}

// NewEnded returns the event that a back end has returned a result.
func NewEnded(task identity.Task, result outcome.Result) Ended {
	return Ended{
		task:   task,
		result: result,
	}
}

// NewNotCalled returns the event that this process did not carry out a Call or a
// Place. It does not affect the statistics of the back end.
func NewNotCalled(task identity.Task, detail string) Ended {
	return Ended{
		task:      task,
		result:    outcome.Revocation(detail),
		notCalled: true,
	}
}

// HintUndelivered is an event: a capacity hint was lost before it was sent.
type HintUndelivered struct{}

// UsageReport is an event: the resources that a task of a kind has used, as
// reported by the worker pool. It often arrives after the task has ended.
type UsageReport struct {
	team      string
	kind      string
	resources configuration.Resources
}

func NewUsageReport(team, kind string, resources configuration.Resources) UsageReport {
	return UsageReport{
		team:      team,
		kind:      kind,
		resources: resources,
	}
}

// Worker is an event: the name, rack and resources of the worker of this process.
type Worker struct {
	name      string
	rack      string
	resources configuration.Resources
}

func (w Worker) Name() string {
	return w.name
}

func NewWorker(name, rack string, resources configuration.Resources) Worker {
	return Worker{
		name:      name,
		rack:      rack,
		resources: resources,
	}
}
