package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/connection/stream"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/intake"
	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/process/web"
	"greengagedoor.example/greengagedoor/internal/version/evacuation"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// ErrLeaving reports a request without an answer of the dispatcher when the process
// ends. Its job may have run.
var ErrLeaving = errors.New("the entry ends")

// overloadedRetryAfter is the time after which a caller may retry that found the ring
// full.
const overloadedRetryAfter = time.Second

// request is a caller's request with the channel for its answer.
type request struct {
	number uint64
	event  dispatch.Event
	reply  chan dispatch.Answer
}

// streamOpened is the message that a stream to another process has opened.
type streamOpened struct {
	stream *stream.Stream
	hello  frame.Hello
}

// frameReceived is the message that a frame has arrived on a stream.
type frameReceived struct {
	stream *stream.Stream
	frame  frame.Frame
	// at is when the frame was queued.
	at time.Duration
}

// streamClosed is the message that a stream has ended.
type streamClosed struct {
	stream *stream.Stream
}

// callerLeft is the message that the caller of a request no longer waits.
type callerLeft struct {
	number uint64
}

// entriesFound is the message that the list of entries was read from the store.
type entriesFound struct {
	peers []frame.Peer
}

// Entry is the process that accepts callers' requests and assigns tasks to agents.
type Entry struct {
	base     *base
	dispatch *dispatch.Dispatch
	ring     *ring.Ring[any]
	links    *links
	decoder  *decoder
	streams  map[uint64]*stream.Stream
	hellos   map[uint64]frame.Hello
	replies  map[uint64]chan dispatch.Answer
	// peers are the entries that were sent to all agents at peersSent.
	peers     []frame.Peer
	peersSent time.Duration
	// events is reused by takeAll.
	events      []dispatch.Event
	lastRequest atomic.Uint64
	ready       atomic.Bool
	idle        atomic.Bool
	// reread is set while the store has to be read anew.
	reread atomic.Bool
	// waiting is the number of requests without an answer of the dispatcher.
	waiting atomic.Int64
	version atomic.Pointer[route.Version]
}

// NewEntry returns an entry and its cleanup function. Serve adds its HTTP
// interfaces before Run.
func NewEntry(s Settings, deps Dependencies) (*Entry, func(), error) {
	b, err := newBase(s, deps, frame.RoleEntry, s.advertised)
	if err != nil {
		return nil, nil, err
	}
	r, err := ring.New[any]("dispatch", ringSize)
	if err != nil {
		return nil, nil, err
	}
	e := &Entry{
		base:     b,
		dispatch: s.newDispatch(b.hello),
		ring:     r,
		streams:  map[uint64]*stream.Stream{},
		hellos:   map[uint64]frame.Hello{},
		replies:  map[uint64]chan dispatch.Answer{},
	}
	if err := e.assemble(); err != nil {
		b.cleanup()
		return nil, nil, err
	}
	return e, b.cleanup, nil
}

func (e *Entry) assemble() error {
	b := e.base
	h := handlers(e.ring, b)
	if err := b.add("dispatch", "Assigns tasks to targets and answers callers.", func() (int, int, int64) {
		return e.ring.Depth(), e.ring.Size(), e.ring.Rejected()
	}, e.run); err != nil {
		return err
	}
	if err := b.addEvacuationSection(e.ring); err != nil {
		return err
	}
	if err := b.serveStreams(h); err != nil {
		return err
	}
	var err error
	if e.links, err = newLinks(b, h, e.ring); err != nil {
		return err
	}
	if err := b.watchSettings(b.deps.Reload, e.links); err != nil {
		return err
	}
	if e.decoder, err = newDecoder(b, func(ctx context.Context, ev dispatch.Event) {
		_ = e.ring.Push(ctx, ev)
	}); err != nil {
		return err
	}
	w := configurationWatch{
		deps:  b.deps,
		clock: b.clock,
		log:   b.log,
		read: func(ctx context.Context, u undecoded) {
			_ = e.decoder.ring.Push(ctx, u)
		},
		answers: func(ctx context.Context, answers bool) {
			_ = e.ring.Push(ctx, dispatch.StoreAnswers(answers))
		},
		evacuations: newEvacuations(b.deps, b.log, func(ctx context.Context, s evacuation.Set) {
			_ = e.ring.Push(ctx, dispatch.EvacuationsRead(s))
		}),
		reread: e.reread.Load,
	}
	if err := b.add("configuration", "Watches the operators' configuration and their requests to evacuate availability zones.", nil, w.run); err != nil {
		return err
	}
	if err := b.add("registration", "Renews the store key that announces this entry's address.", nil, func(ctx context.Context) error {
		return register(ctx, b.deps.Store, b.settings.peer(), b.lingered, b.logEvent)
	}); err != nil {
		return err
	}
	if err := b.add("entries", "Reads the addresses of the other entries.", nil, func(ctx context.Context) error {
		return watchEntries(ctx, b, func() bool { return true }, func(peers []frame.Peer) {
			e.links.addPeers(peers)
			_ = e.ring.TryPush(entriesFound{
				peers: peers,
			})
		})
	}); err != nil {
		return err
	}
	return b.serveMetrics()
}

// handlers returns stream handlers that push each event into a ring. A push blocks
// while the ring is full, which delays only its own stream.
func handlers(r *ring.Ring[any], b *base) stream.Handlers {
	ctx := context.Background()
	return stream.Handlers{
		Opened: func(s *stream.Stream, hello frame.Hello) {
			_ = r.Push(ctx, streamOpened{
				stream: s,
				hello:  hello,
			})
		},
		Received: func(s *stream.Stream, f frame.Frame) {
			_ = r.Push(ctx, frameReceived{
				stream: s,
				frame:  f,
				at:     b.clock(),
			})
		},
		Closed: func(s *stream.Stream) {
			_ = r.Push(ctx, streamClosed{
				stream: s,
			})
		},
		Sent: b.observer.countSent,
	}
}

// Serve adds a duty that serves an HTTP interface of the entry at an address.
func (e *Entry) Serve(address, name, purpose string, h http.Handler) error {
	return e.base.serveHTTP(address, web.Limits{
		Account: e.base.account(name, e.base.settings.resources.Main()),
		Request: e.requestLimits,
	}, name, purpose, h)
}

// ServeSide is Serve for a listener with a small part of the process's resources.
func (e *Entry) ServeSide(address, name, purpose string, h http.Handler) error {
	return e.base.serveHTTP(address, web.Limits{
		Account: e.base.account(name, e.base.settings.resources.Side()),
		Request: smallHeads,
	}, name, purpose, h)
}

// requestLimits returns the limits of requests in the configuration.
func (e *Entry) requestLimits() web.RequestLimits {
	v := e.Version()
	if v == nil {
		return web.RequestLimits{}
	}
	l := v.Limits()
	return web.RequestLimits{
		HeadBytes: l.HeaderBytes(),
		Times: intake.Times{
			Head: l.HeaderTimeout(),
			Idle: l.IdleTimeout(),
		},
	}
}

// Run serves until ctx ends and all accepted requests are answered, or the grace
// period is over.
func (e *Entry) Run(ctx context.Context) error {
	return e.base.run(ctx, func() bool { return e.waiting.Load() == 0 && e.idle.Load() }, lingerTime)
}

// Ready reports whether the entry can serve new callers. It turns false with the stop
// signal, also while the dispatcher is busy.
func (e *Entry) Ready() bool {
	return e.ready.Load() && !closed(e.base.leaving)
}

// Version returns the active configuration, or nil if there is none.
func (e *Entry) Version() *route.Version {
	return e.version.Load()
}

// Log writes and counts an event.
func (e *Entry) Log(n event.Note) {
	e.base.log(n)
}

// Now returns the time of the clock that decisions use.
func (e *Entry) Now() time.Duration {
	return e.base.clock()
}

// Submit submits a job and waits for its answer or the end of ctx.
func (e *Entry) Submit(ctx context.Context, s dispatch.Submission) (dispatch.Answer, error) {
	return e.call(ctx, func(n uint64) dispatch.Event { return dispatch.Submitted(s.WithRequest(n)) })
}

// Cancel cancels a job.
func (e *Entry) Cancel(ctx context.Context, host, path string) (dispatch.Answer, error) {
	return e.call(ctx, func(n uint64) dispatch.Event { return dispatch.CancelRequested(n, host, path) })
}

// Query returns the state of a job or a queue.
func (e *Entry) Query(ctx context.Context, host, path string) (dispatch.Answer, error) {
	return e.call(ctx, func(n uint64) dispatch.Event { return dispatch.QueryRequested(n, host, path) })
}

func (e *Entry) call(ctx context.Context, ev func(uint64) dispatch.Event) (dispatch.Answer, error) {
	if closed(e.base.replyDeadline) {
		return e.refuse(dispatch.ReasonLeaving, 0), nil
	}
	e.waiting.Add(1)
	defer e.waiting.Add(-1)
	n := e.lastRequest.Add(1)
	reply := make(chan dispatch.Answer, 1)
	if e.ring.TryPush(request{
		number: n,
		event:  ev(n).QueuedAt(e.base.clock()),
		reply:  reply,
	}) != nil {
		return e.refuse(dispatch.ReasonOverloaded, overloadedRetryAfter), nil
	}
	select {
	case a := <-reply:
		return a, nil
	case <-e.base.replyDeadline:
		select {
		case a := <-reply:
			return a, nil
		default:
		}
		// The dispatcher is too busy to answer by itself.
		_ = e.ring.TryPush(callerLeft{
			number: n,
		})
		return dispatch.Answer{}, ErrLeaving
	case <-ctx.Done():
		_ = e.ring.Push(context.WithoutCancel(ctx), callerLeft{
			number: n,
		})
		return dispatch.Answer{}, errors.Wrap(ctx.Err(), "caller left")
	}
}

// refuse answers a request that did not reach the dispatcher.
func (e *Entry) refuse(reason string, retryAfter time.Duration) dispatch.Answer {
	e.base.logEvent(event.JobRefused, event.F("reason", reason), event.F("retry_after_ms", retryAfter.Milliseconds()))
	return dispatch.Refused(reason, retryAfter)
}
