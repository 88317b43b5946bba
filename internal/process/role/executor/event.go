package executor

import (
	"strconv"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// Event is an input of the state machine; at most one of its fields is set. The
// zero Event only lets time pass.
type Event struct {
	opened       *Opened
	received     *Received
	closed       uint64
	released     uint64
	report       *Report
	left         string
	commandReply *CommandReply
	renewalReply *RenewalReply
	// shutdown is how long runs may continue after a request to shut down.
	shutdown *time.Duration
}

// Opened is a new connection to an entry.
type Opened struct {
	session uint64
	hello   frame.Hello
}

// SessionOpened returns the event of a new connection to an entry.
func SessionOpened(session uint64, hello frame.Hello) Event {
	return Event{
		opened: &Opened{
			session: session,
			hello:   hello,
		},
	}
}

// Received is a frame from an entry.
type Received struct {
	session uint64
	frame   frame.Frame
}

// FrameReceived returns the event of a frame from an entry.
func FrameReceived(session uint64, f frame.Frame) Event {
	return Event{
		received: &Received{
			session: session,
			frame:   f,
		},
	}
}

// SessionClosed returns the event of a connection that ended.
func SessionClosed(session uint64) Event {
	return Event{
		closed: session,
	}
}

// SessionReleased returns the event that a connection is not needed any more.
func SessionReleased(session uint64) Event {
	return Event{
		released: session,
	}
}

// String returns the incarnation as ID@STARTED, for logs and other processes.
func (i Incarnation) String() string {
	return i.id + "@" + strconv.FormatInt(i.started, 10)
}

// Report is a target's report of its own state.
type Report struct {
	incarnation Incarnation
	service     string
	address     string
	zone        string
	labels      []string
	capacity    task.Resources
	draining    bool
	warmUp      time.Duration
	clock       time.Duration
	sequence    int64
	remaining   time.Duration
}

// Incarnation identifies one start of a target.
type Incarnation struct {
	id      string
	started int64
}

// NewIncarnation returns the incarnation of a target's id that started at a Unix
// time in ms.
func NewIncarnation(id string, started int64) Incarnation {
	return Incarnation{
		id:      id,
		started: started,
	}
}

// ID returns the target's id.
func (i Incarnation) ID() string {
	return i.id
}

// Started returns the Unix time in ms of the start.
func (i Incarnation) Started() int64 {
	return i.started
}

// NewReport returns a report with the given sequence number within the incarnation.
func NewReport(incarnation Incarnation, sequence int64, service, address, zone string) Report {
	return Report{
		incarnation: incarnation,
		sequence:    sequence,
		service:     service,
		address:     address,
		zone:        zone,
	}
}

// WithCapacity returns the report with the target's labels and total capacity.
func (r Report) WithCapacity(labels []string, capacity task.Resources) Report {
	r.labels = labels
	r.capacity = capacity
	return r
}

// WithState returns the report with the target's state: whether it drains, how long
// it still serves, how long it is slow after its start, and its clock.
func (r Report) WithState(draining bool, remaining, warmUp, clock time.Duration) Report {
	r.draining = draining
	r.remaining = remaining
	r.warmUp = warmUp
	r.clock = clock
	return r
}

func (r Report) Incarnation() Incarnation {
	return r.incarnation
}

// TargetReported returns the event of a report.
func TargetReported(r Report) Event {
	return Event{
		report: &r,
	}
}

// TargetLeft returns the event of the shutdown of the target with the given id.
func TargetLeft(id string) Event {
	return Event{
		left: id,
	}
}

// ShutdownRequested returns the event of a request to shut down the agent, whose runs
// may continue for a time.
func ShutdownRequested(runsWithin time.Duration) Event {
	return Event{
		shutdown: &runsWithin,
	}
}

// Tick returns the event that only lets time pass.
func Tick() Event {
	return Event{}
}

// OutgoingFrame is a frame to send on a session.
type OutgoingFrame struct {
	session uint64
	frame   frame.Frame
}

func NewOutgoingFrame(session uint64, f frame.Frame) OutgoingFrame {
	return OutgoingFrame{
		session: session,
		frame:   f,
	}
}

func (s OutgoingFrame) Session() uint64 {
	return s.session
}

func (s OutgoingFrame) Frame() frame.Frame {
	return s.frame
}

// Output is the list of actions to perform after an event.
type Output struct {
	frames          []OutgoingFrame
	commands        []Command
	renewals        []Renewal
	sessionsToClose []uint64
	peers           []frame.Peer
	links           int
	notes           []event.Note
}

// Frames returns the frames to send.
func (o Output) Frames() []OutgoingFrame {
	return o.frames
}

// Commands returns the commands to send to the target.
func (o Output) Commands() []Command {
	return o.commands
}

// Renewals returns the renewals to send to the target.
func (o Output) Renewals() []Renewal {
	return o.renewals
}

func (o Output) SessionsToClose() []uint64 {
	return o.sessionsToClose
}

// Peers returns the entries that other processes named.
func (o Output) Peers() []frame.Peer {
	return o.peers
}

// Links returns the number of entries that the agent is to be connected to, 0 if that was
// not examined.
func (o Output) Links() int {
	return o.links
}

// Notes returns the events to log.
func (o Output) Notes() []event.Note {
	return o.notes
}
