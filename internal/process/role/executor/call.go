package executor

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/request/task"
)

// CommandKind is what a command asks of the target.
type CommandKind int

// The kinds of commands.
const (
	CommandStart CommandKind = iota + 1
	CommandStop
)

// Command is a start or stop command to the target.
type Command struct {
	kind        CommandKind
	run         task.Run
	spec        string
	address     string
	incarnation Incarnation
	fence       int64
	expires     time.Duration
	sent        time.Duration
}

func (c Command) Kind() CommandKind {
	return c.kind
}

func (c Command) Run() task.Run {
	return c.run
}

// Spec returns the payload of a start.
func (c Command) Spec() string {
	return c.spec
}

// Address returns the address at which the target takes commands.
func (c Command) Address() string {
	return c.address
}

// Incarnation returns the incarnation of the target for which the command is valid.
func (c Command) Incarnation() Incarnation {
	return c.incarnation
}

// Fence returns the fencing token; the target refuses commands with a lower token
// than the highest it has seen.
func (c Command) Fence() int64 {
	return c.fence
}

// Expires returns the end of the lease on the target's clock.
func (c Command) Expires() time.Duration {
	return c.expires
}

// Result is the outcome of a call to the target.
type Result int

// The results of a call.
const (
	// ResultDone is a call that was carried out.
	ResultDone Result = iota + 1
	// ResultUnknown is a call without an answer; it may be carried out later.
	ResultUnknown
	// ResultStaleFence is a call refused because the target has seen a higher
	// fence.
	ResultStaleFence
	// ResultNoCapacity is a start that does not fit.
	ResultNoCapacity
	// ResultStaleRun is a start of a run that the target treats as past.
	ResultStaleRun
	// ResultLeaseExpired is a start whose lease had expired on arrival.
	ResultLeaseExpired
	// ResultBusy is a call that an unhealthy target refused.
	ResultBusy
	// ResultOtherIncarnation is a call for another incarnation of the target.
	ResultOtherIncarnation
	// ResultNotSent is a call that did not reach the target.
	ResultNotSent
	// ResultNoProcess is a call to an address where no process listens: the target
	// has ended, and all its runs with it.
	ResultNoProcess
	// ResultInvalid is a call that the target does not understand.
	ResultInvalid
)

var resultNames = map[Result]string{
	ResultDone:             "done",
	ResultUnknown:          "unknown",
	ResultStaleFence:       "fence",
	ResultNoCapacity:       "room",
	ResultStaleRun:         "old",
	ResultLeaseExpired:     "late",
	ResultBusy:             "busy",
	ResultOtherIncarnation: "other_boot",
	ResultNotSent:          "unsent",
	ResultNoProcess:        "gone",
	ResultInvalid:          "invalid",
}

// String returns the name for logs.
func (r Result) String() string {
	if n, ok := resultNames[r]; ok {
		return n
	}
	return "undefined"
}

// answered reports whether the target itself answered.
func (r Result) answered() bool {
	return r != ResultUnknown && r != ResultNotSent && r != ResultNoProcess
}

// CommandReply is the target's answer to a command.
type CommandReply struct {
	command Command
	result  Result
	clock   time.Duration
}

// CommandReplied returns the event of an answer, or of a missing one. Clock is the
// target's clock in the answer, 0 if it has none.
func CommandReplied(c Command, r Result, clock time.Duration) Event {
	return Event{
		commandReply: &CommandReply{
			command: c,
			result:  r,
			clock:   clock,
		},
	}
}

// Renewal is a call that renews the lease and requests the target's lists of runs.
type Renewal struct {
	number      uint64
	poll        bool
	address     string
	incarnation Incarnation
	fence       int64
	expires     time.Duration
	lastEndSeen int64
	wait        time.Duration
	sent        time.Duration
}

// Address returns the address at which the target takes calls.
func (r Renewal) Address() string {
	return r.address
}

// Incarnation returns the incarnation of the target for which the call is valid.
func (r Renewal) Incarnation() Incarnation {
	return r.incarnation
}

// Fence returns the fencing token; the target refuses calls with a lower token than
// the highest it has seen.
func (r Renewal) Fence() int64 {
	return r.fence
}

// Expires returns the end of the lease on the target's clock; 0 renews nothing.
func (r Renewal) Expires() time.Duration {
	return r.expires
}

// LastEndSeen returns the number of the last end that the agent has processed.
func (r Renewal) LastEndSeen() int64 {
	return r.lastEndSeen
}

// Wait returns how long the target may wait for an end before it answers.
func (r Renewal) Wait() time.Duration {
	return r.wait
}

// ActiveRun is a run in the target's list of active runs.
type ActiveRun struct {
	run     task.Run
	percent int64
}

// UnknownPercent is the progress of a run whose progress can't be read.
const UnknownPercent = -1

// NewActiveRun returns a run that has done the given percent of its work.
func NewActiveRun(r task.Run, percent int64) ActiveRun {
	return ActiveRun{
		run:     r,
		percent: percent,
	}
}

func (a ActiveRun) Run() task.Run {
	return a.run
}

// Percent returns the percent of the work that is done, UnknownPercent if it can't be
// read.
func (a ActiveRun) Percent() int64 {
	return a.percent
}

// FinishedRun is a run in the target's list of ended runs.
type FinishedRun struct {
	number int64
	run    task.Run
	end    task.End
}

// NewFinishedRun returns an ended run; number counts the ends of an incarnation.
func NewFinishedRun(number int64, r task.Run, end task.End) FinishedRun {
	return FinishedRun{
		number: number,
		run:    r,
		end:    end,
	}
}

func (f FinishedRun) Run() task.Run {
	return f.run
}

// Number returns the number of the end; it counts the ends of an incarnation.
func (f FinishedRun) Number() int64 {
	return f.number
}

// RenewalReply is the target's answer to a renewal.
type RenewalReply struct {
	renewal  Renewal
	result   Result
	started  int64
	clock    time.Duration
	running  []ActiveRun
	finished []FinishedRun
	omitted  Omitted
}

// RenewalReplied returns the event of an answer to a renewal. The lists are valid
// only with ResultDone. Started is the start of the target according to the answer,
// 0 if the answer does not contain it.
func RenewalReplied(sent Renewal, r Result, started int64, clock time.Duration, running []ActiveRun, finished []FinishedRun) Event {
	return Event{
		renewalReply: &RenewalReply{
			renewal:  sent,
			result:   r,
			started:  started,
			clock:    clock,
			running:  running,
			finished: finished,
		},
	}
}
