package station

import (
	"strconv"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// Event is one thing that happened; exactly one of its parts is set. The zero
// event only lets time pass.
type Event struct {
	opened     *Opened
	received   *Received
	closed     uint64
	report     *Report
	left       string
	orderReply *OrderReply
	holdReply  *HoldReply
	leave      bool
}

// Opened is a connection to an entry.
type Opened struct {
	session uint64
	hello   frame.Hello
}

// SessionOpened is the event of a new connection to an entry.
func SessionOpened(session uint64, hello frame.Hello) Event {
	return Event{
		opened: &Opened{
			session: session,
			hello:   hello,
		},
	}
}

// Received is a frame of an entry.
type Received struct {
	session uint64
	frame   frame.Frame
}

// FrameReceived is the event of a frame.
func FrameReceived(session uint64, f frame.Frame) Event {
	return Event{
		received: &Received{
			session: session,
			frame:   f,
		},
	}
}

// SessionClosed is the event of a connection that ended.
func SessionClosed(session uint64) Event {
	return Event{
		closed: session,
	}
}

// String names the life for logs and other processes.
func (b Boot) String() string {
	return b.id + "@" + strconv.FormatInt(b.started, 10)
}

// Report is what a target says about itself.
type Report struct {
	boot      Boot
	service   string
	address   string
	zone      string
	labels    []string
	capacity  task.Resources
	draining  bool
	cold      time.Duration
	clock     time.Duration
	sequence  int64
	guards    bool
	remaining time.Duration
}

// Boot is one life of a target.
type Boot struct {
	id      string
	started int64
}

// NewBoot names a life by the target's id and the Unix time in ms of its start.
func NewBoot(id string, started int64) Boot {
	return Boot{
		id:      id,
		started: started,
	}
}

// ID is the target's id.
func (b Boot) ID() string {
	return b.id
}

// Started is the Unix time in ms of the start.
func (b Boot) Started() int64 {
	return b.started
}

// NewReport returns the report with the given sequence number within a boot.
func NewReport(boot Boot, sequence int64, service, address, zone string) Report {
	return Report{
		boot:     boot,
		sequence: sequence,
		service:  service,
		address:  address,
		zone:     zone,
	}
}

// WithCapacity returns the report with the target's labels and whole capacity.
func (r Report) WithCapacity(labels []string, capacity task.Resources) Report {
	r.labels = labels
	r.capacity = capacity
	return r
}

// WithState returns the report with what the target says about its state: that
// it drains and for how long it still serves, how long it is slow after its
// start, and its clock.
func (r Report) WithState(draining bool, remaining, cold, clock time.Duration) Report {
	r.draining = draining
	r.remaining = remaining
	r.cold = cold
	r.clock = clock
	return r
}

// Boot names the life of the target.
func (r Report) Boot() Boot {
	return r.boot
}

// TargetReported is the event of a report.
func TargetReported(r Report) Event {
	return Event{
		report: &r,
	}
}

// TargetLeft is the event of a target that ends; id is its id.
func TargetLeft(id string) Event {
	return Event{
		left: id,
	}
}

// Leave is the event that the agent was told to end.
func Leave() Event {
	return Event{
		leave: true,
	}
}

// Tick is the event that time has passed.
func Tick() Event {
	return Event{}
}

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

// Send is a frame for a session.
type Send struct {
	session uint64
	frame   frame.Frame
}

// NewSend is a frame for a session.
func NewSend(session uint64, f frame.Frame) Send {
	return Send{
		session: session,
		frame:   f,
	}
}

// Session is the connection to send on.
func (s Send) Session() uint64 {
	return s.session
}

// Frame is what to send.
func (s Send) Frame() frame.Frame {
	return s.frame
}

// Output is what is to be done after an event.
type Output struct {
	frames []Send
	orders []Order
	holds  []Hold
	closes []uint64
	peers  []frame.Peer
	notes  []event.Note
}

// Frames lists the frames to send.
func (o Output) Frames() []Send {
	return o.frames
}

// Orders lists the orders to give.
func (o Output) Orders() []Order {
	return o.orders
}

// Holds lists the lists to ask for.
func (o Output) Holds() []Hold {
	return o.holds
}

// Closes lists the sessions to close.
func (o Output) Closes() []uint64 {
	return o.closes
}

// Peers lists entries that were named by another process.
func (o Output) Peers() []frame.Peer {
	return o.peers
}

// Notes lists what to log.
func (o Output) Notes() []event.Note {
	return o.notes
}

// Number counts the ends of a boot.
func (f Finished) Number() int64 {
	return f.number
}
