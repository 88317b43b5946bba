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

// Target is the target's name.
func (c Call) Target() string {
	return c.target
}

// URL is where the target takes tasks.
func (c Call) URL() string {
	return c.url
}

// Task names the task.
func (c Call) Task() identity.Task {
	return c.task
}

// Kind is the request kind.
func (c Call) Kind() string {
	return c.kind
}

// Payload is handed to the target.
func (c Call) Payload() []byte {
	return c.payload
}

// Deadline is the end of the caller's interest, zero for none.
func (c Call) Deadline() time.Time {
	return c.deadline
}

// Timeout is how long the target may take.
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

// Worker is the worker's name.
func (p Place) Worker() string {
	return p.worker
}

// Task names the task.
func (p Place) Task() identity.Task {
	return p.task
}

// Kind is the request kind.
func (p Place) Kind() string {
	return p.kind
}

// Payload is handed to the worker.
func (p Place) Payload() []byte {
	return p.payload
}

// Resources is what the task takes.
func (p Place) Resources() configuration.Resources {
	return p.resources
}

// Timeout is how long the task may take.
func (p Place) Timeout() time.Duration {
	return p.timeout
}

// Action is what is done to a task on a worker.
type Action uint8

// The means, from the mildest to the strongest.
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

// String is the name in the worker pool's interface and in logs.
func (m Action) String() string {
	if m == 0 || int(m) >= len(actionNames) {
		return "invalid"
	}
	return actionNames[m]
}

// Control is an effect: do something to a task that runs on the worker.
type Control struct {
	task   identity.Task
	action Action
}

// Task names the task.
func (c Control) Task() identity.Task {
	return c.task
}

// Action is what to do.
func (c Control) Action() Action {
	return c.action
}

// CapacityHint is an effect: the new capacity hint.
type CapacityHint struct {
	capacities []message.Capacity
	inline     [inlineCapacities]message.Capacity
}

// inlineCapacities is how many rooms a hint holds without a second allocation.
const inlineCapacities = 4

// Capacities is the capacity by service.
func (f *CapacityHint) Capacities() []message.Capacity {
	return f.capacities
}

// Barrier is a message of the agent to itself. It comes back after the reports
// on all messages sent before it, so that the agent knows whether they left.
type Barrier struct {
	number uint64
}

// Drained is an effect: no task runs any more and no end waits to be reported.
type Drained struct{}

// Drain is an event: the process is leaving and takes no new work.
type Drain struct{}

// Ended is an event: a back end's answer to a Call or a Place.
type Ended struct {
	task      identity.Task
	result    outcome.Result
	notCalled bool
}

// NewEnded returns the event.
func NewEnded(task identity.Task, result outcome.Result) Ended {
	return Ended{
		task:   task,
		result: result,
	}
}

// NewNotCalled returns the event that this process could not carry out a Call or a
// Place, which says nothing about the back end.
func NewNotCalled(task identity.Task, detail string) Ended {
	return Ended{
		task:      task,
		result:    outcome.Revocation(detail),
		notCalled: true,
	}
}

// HintUndelivered is an event: a capacity hint was lost on its way.
type HintUndelivered struct{}

// UsageReport is an event: what the pool reports a task of a kind to have taken. The
// report comes late, often after the task's end.
type UsageReport struct {
	team      string
	kind      string
	resources configuration.Resources
}

// NewUsageReport returns the event.
func NewUsageReport(team, kind string, resources configuration.Resources) UsageReport {
	return UsageReport{
		team:      team,
		kind:      kind,
		resources: resources,
	}
}

// Worker is an event: what the worker beside this process has.
type Worker struct {
	name      string
	rack      string
	resources configuration.Resources
}

// Name is the worker's name.
func (w Worker) Name() string {
	return w.name
}

// NewWorker returns the event.
func NewWorker(name, rack string, resources configuration.Resources) Worker {
	return Worker{
		name:      name,
		rack:      rack,
		resources: resources,
	}
}
