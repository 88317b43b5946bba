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
	orderReply *CommandReply
	holdReply  *RenewalReply
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
func (b Incarnation) String() string {
	return b.id + "@" + strconv.FormatInt(b.started, 10)
}

// Report is what a target says about itself.
type Report struct {
	boot      Incarnation
	service   string
	address   string
	zone      string
	labels    []string
	capacity  task.Resources
	draining  bool
	cold      time.Duration
	clock     time.Duration
	sequence  int64
	remaining time.Duration
}

// Incarnation is one life of a target.
type Incarnation struct {
	id      string
	started int64
}

// NewIncarnation names a life by the target's id and the Unix time in ms of its start.
func NewIncarnation(id string, started int64) Incarnation {
	return Incarnation{
		id:      id,
		started: started,
	}
}

// ID is the target's id.
func (b Incarnation) ID() string {
	return b.id
}

// Started is the Unix time in ms of the start.
func (b Incarnation) Started() int64 {
	return b.started
}

// NewReport returns the report with the given sequence number within a boot.
func NewReport(boot Incarnation, sequence int64, service, address, zone string) Report {
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

// Incarnation names the life of the target.
func (r Report) Incarnation() Incarnation {
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
	orders []Command
	holds  []Renewal
	closes []uint64
	peers  []frame.Peer
	notes  []event.Note
}

// Frames lists the frames to send.
func (o Output) Frames() []Send {
	return o.frames
}

// Commands lists the orders to give.
func (o Output) Commands() []Command {
	return o.orders
}

// Renewals lists the lists to ask for.
func (o Output) Renewals() []Renewal {
	return o.holds
}

// SessionsToClose lists the sessions to close.
func (o Output) SessionsToClose() []uint64 {
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
