package station

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/request/task"
)

// CommandKind tells what an order asks of the target.
type CommandKind int

// The orders.
const (
	CommandStart CommandKind = iota + 1
	CommandStop
)

// Command is one order to the target.
type Command struct {
	kind    CommandKind
	run     task.Run
	spec    string
	address string
	boot    Incarnation
	fence   int64
	expires time.Duration
	sent    time.Duration
}

// Kind tells what is asked.
func (o Command) Kind() CommandKind {
	return o.kind
}

// Run is the run concerned.
func (o Command) Run() task.Run {
	return o.run
}

// Spec is the payload of a start.
func (o Command) Spec() string {
	return o.spec
}

// Address is where the target takes orders.
func (o Command) Address() string {
	return o.address
}

// Incarnation is the life of the target that the order is for.
func (o Command) Incarnation() Incarnation {
	return o.boot
}

// Fence is the number below which the target refuses orders.
func (o Command) Fence() int64 {
	return o.fence
}

// Expires is the end of the lease on the target's clock.
func (o Command) Expires() time.Duration {
	return o.expires
}

// Result is how the target took an order.
type Result int

// The verdicts.
const (
	// ResultDone is an order that was carried out.
	ResultDone Result = iota + 1
	// ResultUnknown is an order without answer; it may be carried out later.
	ResultUnknown
	// ResultStaleFence is an order refused since a higher fence was seen.
	ResultStaleFence
	// ResultNoCapacity is a start that does not fit.
	ResultNoCapacity
	// ResultStaleRun is a start of a run that the target counts as past.
	ResultStaleRun
	// ResultLeaseExpired is a start whose lease was over on arrival.
	ResultLeaseExpired
	// ResultBusy is an order that an unhealthy target refused.
	ResultBusy
	// ResultOtherIncarnation is an order for another life of the target.
	ResultOtherIncarnation
	// ResultNotSent is an order that certainly did not reach the target.
	ResultNotSent
	// ResultNoProcess is an order to an address where no process listens: the target has
	// ended, and all that it ran with it.
	ResultNoProcess
	// ResultInvalid is an order that the target does not understand.
	ResultInvalid
)

var verdictNames = map[Result]string{
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

// String is the verdict's name in logs.
func (v Result) String() string {
	if n, ok := verdictNames[v]; ok {
		return n
	}
	return "undefined"
}

// answered tells whether the target itself said something.
func (v Result) answered() bool {
	return v != ResultUnknown && v != ResultNotSent && v != ResultNoProcess
}

// CommandReply is the target's answer to an order.
type CommandReply struct {
	order   Command
	verdict Result
	clock   time.Duration
}

// CommandReplied is the event of an answer, or of none in time; clock is the
// target's clock in it, 0 if it has none.
func CommandReplied(o Command, v Result, clock time.Duration) Event {
	return Event{
		orderReply: &CommandReply{
			order:   o,
			verdict: v,
			clock:   clock,
		},
	}
}

// Renewal asks the target to extend the lease and for its lists.
type Renewal struct {
	number   uint64
	look     bool
	address  string
	boot     Incarnation
	fence    int64
	expires  time.Duration
	lastSeen int64
	wait     time.Duration
	sent     time.Duration
}

// Address is where the target takes calls.
func (h Renewal) Address() string {
	return h.address
}

// Incarnation is the life of the target that the call is for.
func (h Renewal) Incarnation() Incarnation {
	return h.boot
}

// Fence is the number below which the target refuses calls.
func (h Renewal) Fence() int64 {
	return h.fence
}

// Expires is the end of the lease on the target's clock; 0 extends nothing.
func (h Renewal) Expires() time.Duration {
	return h.expires
}

// LastEndSeen is the number of the last end that was taken note of.
func (h Renewal) LastEndSeen() int64 {
	return h.lastSeen
}

// Wait is how long the target may wait for an end.
func (h Renewal) Wait() time.Duration {
	return h.wait
}

// ActiveRun is a run that the target has.
type ActiveRun struct {
	run     task.Run
	percent int64
}

// NewActiveRun is a run in the target's list.
func NewActiveRun(r task.Run, percent int64) ActiveRun {
	return ActiveRun{
		run:     r,
		percent: percent,
	}
}

// FinishedRun is an end in the target's list.
type FinishedRun struct {
	number int64
	run    task.Run
	end    task.End
}

// NewFinishedRun is an end; number counts the ends of a boot.
func NewFinishedRun(number int64, r task.Run, end task.End) FinishedRun {
	return FinishedRun{
		number: number,
		run:    r,
		end:    end,
	}
}

// RenewalReply is the target's answer to a hold.
type RenewalReply struct {
	hold     Renewal
	verdict  Result
	started  int64
	clock    time.Duration
	running  []ActiveRun
	finished []FinishedRun
}

// RenewalReplied is the event of an answer to a hold; the lists count only with
// VerdictDone. Started is the start of the target as the answer gives it, 0 if
// it does not.
func RenewalReplied(h Renewal, v Result, started int64, clock time.Duration, running []ActiveRun, finished []FinishedRun) Event {
	return Event{
		holdReply: &RenewalReply{
			hold:     h,
			verdict:  v,
			started:  started,
			clock:    clock,
			running:  running,
			finished: finished,
		},
	}
}

// Number counts the ends of a boot.
func (f FinishedRun) Number() int64 {
	return f.number
}
