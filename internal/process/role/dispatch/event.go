package dispatch

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
	"greengagedoor.example/greengagedoor/internal/version/evacuation"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// Event is one input of the state machine. At most one of its parts is set; the
// zero event only advances the time.
type Event struct {
	submission *Submission
	callerLeft uint64
	cancel     *Cancel
	opened     *opened
	received   *received
	closed     uint64
	query      *Query
	version    *route.Version
	config     frame.Config
	arrival    Arrival
	storeRead  *storeRead
	unusable   int64
	evacuated  *evacuation.Set
	// storeAnswers is whether the store answers this entry.
	storeAnswers *bool
	// shutdown is how long an entry that was told to shut down still answers.
	shutdown *time.Duration
	// queued is when the event was queued for the state machine, 0 if it is not known.
	queued time.Duration
}

// QueuedAt returns the event with the time of the entry's clock at which it was queued.
func (e Event) QueuedAt(t time.Duration) Event {
	e.queued = t
	return e
}

// Submission is a caller's request to run a job.
type Submission struct {
	request   uint64
	trace     string
	host      string
	path      string
	spec      string
	steps     []task.Step
	timeLimit time.Duration
	arrived   time.Duration
}

// NewSubmission returns the submission of a request to a host and path. The trace
// is the caller's identifier of the request in logs. The time limit is how long the
// caller waits, 0 if it is not stated.
func NewSubmission(trace, host, path string, limit time.Duration) Submission {
	return Submission{
		trace:     trace,
		host:      host,
		path:      path,
		timeLimit: limit,
	}
}

// WithWork returns the submission with the job's payload and steps.
func (s Submission) WithWork(spec string, steps []task.Step) Submission {
	s.spec = spec
	s.steps = steps
	return s
}

// ArrivedAt returns the submission of a request that arrived at a time of the entry's
// clock. The caller's time counts from then; without it, from the event's time.
func (s Submission) ArrivedAt(t time.Duration) Submission {
	s.arrived = t
	return s
}

// Submitted is the event of a new submission.
func Submitted(s Submission) Event {
	return Event{
		submission: &s,
	}
}

// CallerLeft is the event of a caller that no longer waits for its answer.
func CallerLeft(request uint64) Event {
	return Event{
		callerLeft: request,
	}
}

// Cancel is a caller's request to cancel a job.
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

// FrameReceived is the event of a frame from another process.
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

// Query is a request for the state of a job, or of the queue if the path names no
// job.
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

// ShutdownRequested is the event of an entry that was told to shut down and has to
// answer all callers within a time.
func ShutdownRequested(answerWithin time.Duration) Event {
	return Event{
		shutdown: &answerWithin,
	}
}

// Tick is the event that only advances the time.
func Tick() Event {
	return Event{}
}

// State is the outcome of a request.
type State int

// The outcomes of a request.
const (
	// StateComplete is a job whose tasks are all done.
	StateComplete State = iota + 1
	// StateFailed is a job with a task that failed as often as its route allows.
	StateFailed
	// StateCancelled is a job that a caller cancelled.
	StateCancelled
	// StateExpired is a job that was abandoned after some of it may have run.
	StateExpired
	// StateRefused is a job that never ran and never will.
	StateRefused
	// StateUnknown is a request for a route that does not exist.
	StateUnknown
	// StateInvalid is a request that is not allowed.
	StateInvalid
	// StateGone is a job that this entry does not know.
	StateGone
	// StateQueued is a job of which no task has started.
	StateQueued
	// StateRunning is a job of which a task has started.
	StateRunning
	// StateCounted is the answer to a query for a queue.
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

// String returns the name of the state in logs.
func (s State) String() string {
	if n, ok := stateNames[s]; ok {
		return n
	}
	return "undefined"
}

// Answer is the response to a request.
type Answer struct {
	request    uint64
	state      State
	reason     string
	retryAfter time.Duration
	pending    int
}

// Refused returns the answer to a request that did not reach the state machine.
func Refused(reason string, retryAfter time.Duration) Answer {
	return Answer{
		state:      StateRefused,
		reason:     reason,
		retryAfter: retryAfter,
	}
}

func (a Answer) Request() uint64 {
	return a.request
}

func (a Answer) State() State {
	return a.state
}

// Reason returns the reason code, or the validation error of an invalid job.
func (a Answer) Reason() string {
	return a.reason
}

// Pending returns the number of jobs in the queue of which no task has started.
func (a Answer) Pending() int {
	return a.pending
}

// RetryAfter returns the time after which a refused caller may retry, 0 for none.
func (a Answer) RetryAfter() time.Duration {
	return a.retryAfter
}

// OutgoingFrame is a frame to send on a session.
type OutgoingFrame struct {
	session uint64
	frame   frame.Frame
}

func (s OutgoingFrame) Session() uint64 {
	return s.session
}

func (s OutgoingFrame) Frame() frame.Frame {
	return s.frame
}

// Output has the actions to perform after an event.
type Output struct {
	answers         []Answer
	frames          []OutgoingFrame
	sessionsToClose []uint64
	configs         []ReceivedConfig
	notes           []event.Note
}

func (o Output) Answers() []Answer {
	return o.answers
}

func (o Output) Frames() []OutgoingFrame {
	return o.frames
}

// SessionsToClose returns the numbers of the sessions to close.
func (o Output) SessionsToClose() []uint64 {
	return o.sessionsToClose
}

// Configs returns the newer configurations that were received from other processes.
func (o Output) Configs() []ReceivedConfig {
	return o.configs
}

// Notes returns the events to log.
func (o Output) Notes() []event.Note {
	return o.notes
}

// WithRequest returns the submission with the number of its request.
func (s Submission) WithRequest(n uint64) Submission {
	s.request = n
	return s
}
