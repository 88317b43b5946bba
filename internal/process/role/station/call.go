package station

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/request/task"
)

// OrderKind tells what an order asks of the target.
type OrderKind int

// The orders.
const (
	OrderStart OrderKind = iota + 1
	OrderStop
)

// Order is one order to the target.
type Order struct {
	kind    OrderKind
	run     task.Run
	spec    string
	address string
	boot    Boot
	fence   int64
	expires time.Duration
	sent    time.Duration
}

// Kind tells what is asked.
func (o Order) Kind() OrderKind {
	return o.kind
}

// Run is the run concerned.
func (o Order) Run() task.Run {
	return o.run
}

// Spec is the payload of a start.
func (o Order) Spec() string {
	return o.spec
}

// Address is where the target takes orders.
func (o Order) Address() string {
	return o.address
}

// Boot is the life of the target that the order is for.
func (o Order) Boot() Boot {
	return o.boot
}

// Fence is the number below which the target refuses orders.
func (o Order) Fence() int64 {
	return o.fence
}

// Expires is the end of the lease on the target's clock.
func (o Order) Expires() time.Duration {
	return o.expires
}

// Verdict is how the target took an order.
type Verdict int

// The verdicts.
const (
	// VerdictDone is an order that was carried out.
	VerdictDone Verdict = iota + 1
	// VerdictUnknown is an order without answer; it may be carried out later.
	VerdictUnknown
	// VerdictFence is an order refused since a higher fence was seen.
	VerdictFence
	// VerdictRoom is a start that does not fit.
	VerdictRoom
	// VerdictOld is a start of a run that the target counts as past.
	VerdictOld
	// VerdictLate is a start whose lease was over on arrival.
	VerdictLate
	// VerdictBusy is an order that an unhealthy target refused.
	VerdictBusy
	// VerdictBoot is an order for another life of the target.
	VerdictBoot
	// VerdictUnsent is an order that certainly did not reach the target.
	VerdictUnsent
	// VerdictGone is an order to an address where no process listens: the target has
	// ended, and all that it ran with it.
	VerdictGone
	// VerdictInvalid is an order that the target does not understand.
	VerdictInvalid
)

var verdictNames = map[Verdict]string{
	VerdictDone:    "done",
	VerdictUnknown: "unknown",
	VerdictFence:   "fence",
	VerdictRoom:    "room",
	VerdictOld:     "old",
	VerdictLate:    "late",
	VerdictBusy:    "busy",
	VerdictBoot:    "other_boot",
	VerdictUnsent:  "unsent",
	VerdictGone:    "gone",
	VerdictInvalid: "invalid",
}

// String is the verdict's name in logs.
func (v Verdict) String() string {
	if n, ok := verdictNames[v]; ok {
		return n
	}
	return "undefined"
}

// answered tells whether the target itself said something.
func (v Verdict) answered() bool {
	return v != VerdictUnknown && v != VerdictUnsent && v != VerdictGone
}

// OrderReply is the target's answer to an order.
type OrderReply struct {
	order   Order
	verdict Verdict
	clock   time.Duration
}

// OrderReplied is the event of an answer, or of none in time; clock is the
// target's clock in it, 0 if it has none.
func OrderReplied(o Order, v Verdict, clock time.Duration) Event {
	return Event{
		orderReply: &OrderReply{
			order:   o,
			verdict: v,
			clock:   clock,
		},
	}
}

// Hold asks the target to extend the lease and for its lists.
type Hold struct {
	number   uint64
	look     bool
	address  string
	boot     Boot
	fence    int64
	expires  time.Duration
	lastSeen int64
	wait     time.Duration
	sent     time.Duration
}

// Address is where the target takes calls.
func (h Hold) Address() string {
	return h.address
}

// Boot is the life of the target that the call is for.
func (h Hold) Boot() Boot {
	return h.boot
}

// Fence is the number below which the target refuses calls.
func (h Hold) Fence() int64 {
	return h.fence
}

// Expires is the end of the lease on the target's clock; 0 extends nothing.
func (h Hold) Expires() time.Duration {
	return h.expires
}

// LastSeen is the number of the last end that was taken note of.
func (h Hold) LastSeen() int64 {
	return h.lastSeen
}

// Wait is how long the target may wait for an end.
func (h Hold) Wait() time.Duration {
	return h.wait
}

// Listed is a run that the target has.
type Listed struct {
	run     task.Run
	percent int64
}

// NewListed is a run in the target's list.
func NewListed(r task.Run, percent int64) Listed {
	return Listed{
		run:     r,
		percent: percent,
	}
}

// Finished is an end in the target's list.
type Finished struct {
	number int64
	run    task.Run
	end    task.End
}

// NewFinished is an end; number counts the ends of a boot.
func NewFinished(number int64, r task.Run, end task.End) Finished {
	return Finished{
		number: number,
		run:    r,
		end:    end,
	}
}

// HoldReply is the target's answer to a hold.
type HoldReply struct {
	hold     Hold
	verdict  Verdict
	started  int64
	clock    time.Duration
	running  []Listed
	finished []Finished
}

// HoldReplied is the event of an answer to a hold; the lists count only with
// VerdictDone. Started is the start of the target as the answer gives it, 0 if
// it does not.
func HoldReplied(h Hold, v Verdict, started int64, clock time.Duration, running []Listed, finished []Finished) Event {
	return Event{
		holdReply: &HoldReply{
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
func (f Finished) Number() int64 {
	return f.number
}
