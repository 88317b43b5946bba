package dispatch

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// Event is one thing that happened; exactly one of its parts is set. The zero
// event only lets time pass.
type Event struct {
	submit   *Submission
	left     uint64
	cancel   *Cancel
	opened   *opened
	received *received
	closed   uint64
	query    *Query
	version  *route.Version
	config   frame.Config
	leave    bool
}

// Submission hands in a job.
type Submission struct {
	request uint64
	trace   string
	host    string
	path    string
	spec    string
	steps   []task.Step
	limit   time.Duration
}

// NewSubmission hands in the job of a request that was sent to a host and path. The
// trace is the caller's name for the request in logs; the limit is how long the
// caller waits, 0 if it does not say.
func NewSubmission(trace, host, path string, limit time.Duration) Submission {
	return Submission{
		trace: trace,
		host:  host,
		path:  path,
		limit: limit,
	}
}

// WithWork returns the submission with the job's payload and steps.
func (s Submission) WithWork(spec string, steps []task.Step) Submission {
	s.spec = spec
	s.steps = steps
	return s
}

// Submitted is the event of a submission.
func Submitted(s Submission) Event {
	return Event{
		submit: &s,
	}
}

// CallerLeft is the event of a caller that no longer waits.
func CallerLeft(request uint64) Event {
	return Event{
		left: request,
	}
}

// Cancel asks to end a job.
type Cancel struct {
	request uint64
	host    string
	path    string
}

// CancelRequested is the event of a caller that cancels a job.
func CancelRequested(request uint64, host, path string) Event {
	return Event{
		cancel: &Cancel{
			request: request,
			host:    host,
			path:    path,
		},
	}
}

type opened struct {
	session uint64
	hello   frame.Hello
}

// SessionOpened is the event of a new connection to an agent or entry.
func SessionOpened(session uint64, hello frame.Hello) Event {
	return Event{
		opened: &opened{
			session: session,
			hello:   hello,
		},
	}
}

type received struct {
	session uint64
	frame   frame.Frame
}

// FrameReceived is the event of a frame of another process.
func FrameReceived(session uint64, f frame.Frame) Event {
	return Event{
		received: &received{
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

// VersionReceived is the event of a configuration with the bytes that it was stored
// as; it is taken if it is newer.
func VersionReceived(v *route.Version, c frame.Config) Event {
	return Event{
		version: v,
		config:  c,
	}
}

// Query asks for the state of a job, or of the queue if the path names none.
type Query struct {
	request uint64
	host    string
	path    string
}

// QueryRequested is the event of a caller that asks for a state.
func QueryRequested(request uint64, host, path string) Event {
	return Event{
		query: &Query{
			request: request,
			host:    host,
			path:    path,
		},
	}
}

// ShutdownRequested is the event that the entry was told to end.
func ShutdownRequested() Event {
	return Event{
		leave: true,
	}
}

// Tick is the event that time has passed.
func Tick() Event {
	return Event{}
}

// State is how a request was answered.
type State int

// The answers.
const (
	// StateComplete is a job all of whose tasks are done.
	StateComplete State = iota + 1
	// StateFailed is a job of which a task failed as often as the route allows.
	StateFailed
	// StateCancelled is a job that a caller cancelled.
	StateCancelled
	// StateExpired is a job that was given up although some of it may have run.
	StateExpired
	// StateRefused is a job that never ran and will not.
	StateRefused
	// StateUnknown is a request for a route or a job that does not exist.
	StateUnknown
	// StateInvalid is a request that is not allowed.
	StateInvalid
	// StateGone is a job that this entry does not know.
	StateGone
	// StateQueued is a job of which nothing has started.
	StateQueued
	// StateRunning is a job of which something has started.
	StateRunning
	// StateCounted answers a query for a queue.
	StateCounted
)

var stateNames = map[State]string{
	StateComplete:  "complete",
	StateFailed:    "failed",
	StateCancelled: "cancelled",
	StateExpired:   "expired",
	StateRefused:   "refused",
	StateUnknown:   "unknown",
	StateInvalid:   "invalid",
	StateGone:      "gone",
	StateQueued:    "queued",
	StateRunning:   "running",
	StateCounted:   "counted",
}

// String is the state's name in logs.
func (s State) String() string {
	if n, ok := stateNames[s]; ok {
		return n
	}
	return "undefined"
}

// Answer is the final word on a request.
type Answer struct {
	request    uint64
	state      State
	reason     string
	retryAfter time.Duration
	pending    int
}

// Request is the request's number.
func (a Answer) Request() uint64 {
	return a.request
}

// State is how the request was answered.
func (a Answer) State() State {
	return a.state
}

// Reason says why, in a few words.
func (a Answer) Reason() string {
	return a.reason
}

// Pending is the number of jobs of the queue of which nothing has started.
func (a Answer) Pending() int {
	return a.pending
}

// RetryAfter is when a refused caller may come again.
func (a Answer) RetryAfter() time.Duration {
	return a.retryAfter
}

// OutgoingFrame is a frame for a session.
type OutgoingFrame struct {
	session uint64
	frame   frame.Frame
}

// Session is the connection to send on.
func (s OutgoingFrame) Session() uint64 {
	return s.session
}

// Frame is what to send.
func (s OutgoingFrame) Frame() frame.Frame {
	return s.frame
}

// Output is what is to be done after an event.
type Output struct {
	answers []Answer
	frames  []OutgoingFrame
	closes  []uint64
	configs []frame.Config
	notes   []event.Note
}

// Answers lists the requests to answer.
func (o Output) Answers() []Answer {
	return o.answers
}

// Frames lists the frames to send.
func (o Output) Frames() []OutgoingFrame {
	return o.frames
}

// Closes lists the sessions to close.
func (o Output) Closes() []uint64 {
	return o.closes
}

// Configs lists newer configurations that other processes know.
func (o Output) Configs() []frame.Config {
	return o.configs
}

// Notes lists what to log.
func (o Output) Notes() []event.Note {
	return o.notes
}

// WithRequest returns the submission with the number of its request.
func (s Submission) WithRequest(n uint64) Submission {
	s.request = n
	return s
}
