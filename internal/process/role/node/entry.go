package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/connection/stream"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// ErrOverloaded reports a request for which the ring has no room.
var ErrOverloaded = errors.New("entry is overloaded")

// asked is a request with the place for its answer.
type asked struct {
	number uint64
	event  dispatch.Event
	reply  chan dispatch.Answer
}

// opened and arrived bring streams and frames to the duty.
type opened struct {
	stream *stream.Stream
	hello  frame.Hello
}

type arrived struct {
	stream *stream.Stream
	frame  frame.Frame
}

type closed struct {
	stream *stream.Stream
}

// gone is a request whose caller no longer waits.
type gone struct {
	number uint64
}

type entriesFound struct {
	peers []frame.Peer
}

// Entry is the process that callers reach.
type Entry struct {
	base     *base
	dispatch *dispatch.Dispatch
	ring     *ring.Ring[any]
	links    *links
	streams  map[uint64]*stream.Stream
	roles    map[uint64]frame.Role
	replies  map[uint64]chan dispatch.Answer
	peers    []frame.Peer
	numbers  atomic.Uint64
	ready    atomic.Bool
	idle     atomic.Bool
	leaving  atomic.Bool
	version  atomic.Pointer[route.Version]
}

// NewEntry assembles an entry. Serve adds its front ends before Run.
func NewEntry(s Settings, seams Dependencies) (*Entry, func(), error) {
	b, err := newBase(s, seams, frame.RoleEntry, s.advertised)
	if err != nil {
		return nil, nil, err
	}
	r, err := ring.New[any]("dispatch", ringSize)
	if err != nil {
		return nil, nil, err
	}
	e := &Entry{
		base:     b,
		dispatch: dispatch.New(b.hello, s.dispatchTiming()),
		ring:     r,
		streams:  map[uint64]*stream.Stream{},
		roles:    map[uint64]frame.Role{},
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
	h := handlers(e.ring)
	if err := b.add("dispatch", "Decides where tasks run and answers callers.", func() (int, int, int64) {
		return e.ring.Depth(), e.ring.Size(), e.ring.Rejected()
	}, e.run); err != nil {
		return err
	}
	if err := b.serveStreams(h); err != nil {
		return err
	}
	var err error
	// Of two entries the one with the lower address opens the connection.
	if e.links, err = newLinks(b, h, func(address string) bool { return address > b.settings.advertised }); err != nil {
		return err
	}
	if err := b.follow(b.seams.Reload, e.links); err != nil {
		return err
	}
	if err := b.add("configuration", "Follows the operators' configuration.", nil, func(ctx context.Context) error {
		return watchConfiguration(ctx, b.seams, b.note, e.found)
	}); err != nil {
		return err
	}
	if err := b.add("registration", "Keeps the key under which others find this entry.", nil, func(ctx context.Context) error {
		return register(ctx, b.seams.Store, b.settings.name, b.settings.advertised, b.note)
	}); err != nil {
		return err
	}
	return b.add("entries", "Reads where other entries are.", nil, func(ctx context.Context) error {
		return watchEntries(ctx, b.seams.Store, func() bool { return true }, b.note, func(peers []frame.Peer) {
			e.links.know(peers)
			_ = e.ring.TryPush(entriesFound{
				peers: peers,
			})
		})
	})
}

// handlers push what happens on streams into a ring. Frames may wait for room,
// which holds up only their own stream.
func handlers(r *ring.Ring[any]) stream.Handlers {
	ctx := context.Background()
	return stream.Handlers{
		Opened: func(s *stream.Stream, hello frame.Hello) {
			_ = r.Push(ctx, opened{
				stream: s,
				hello:  hello,
			})
		},
		Received: func(s *stream.Stream, f frame.Frame) {
			_ = r.Push(ctx, arrived{
				stream: s,
				frame:  f,
			})
		},
		Closed: func(s *stream.Stream) {
			_ = r.Push(ctx, closed{
				stream: s,
			})
		},
	}
}

// Serve adds a front end of the entry.
func (e *Entry) Serve(address, name, purpose string, h http.Handler) error {
	return e.base.serveHTTP(address, name, purpose, h)
}

// Run serves until ctx ends and all that was accepted is answered.
func (e *Entry) Run(ctx context.Context) error {
	return e.base.run(ctx, e.leave, e.idle.Load, lingerTime)
}

func (e *Entry) leave() {
	e.leaving.Store(true)
	_ = e.ring.Push(context.Background(), dispatch.ShutdownRequested())
}

// Ready tells whether the entry can serve new callers.
func (e *Entry) Ready() bool {
	return e.ready.Load()
}

// Leaving tells whether the entry was told to end.
func (e *Entry) Leaving() bool {
	return e.leaving.Load()
}

// Version is the configuration in force, nil for none.
func (e *Entry) Version() *route.Version {
	return e.version.Load()
}

// Log logs an event.
func (e *Entry) Log(n event.Note) {
	e.base.log(n)
}

// Submit hands in a job and waits for its answer or the end of ctx.
func (e *Entry) Submit(ctx context.Context, s dispatch.Submission) (dispatch.Answer, error) {
	return e.ask(ctx, func(n uint64) dispatch.Event { return dispatch.Submitted(s.WithRequest(n)) })
}

// Cancel ends a job.
func (e *Entry) Cancel(ctx context.Context, host, path string) (dispatch.Answer, error) {
	return e.ask(ctx, func(n uint64) dispatch.Event { return dispatch.CancelRequested(n, host, path) })
}

// Query returns the state of a job or a queue.
func (e *Entry) Query(ctx context.Context, host, path string) (dispatch.Answer, error) {
	return e.ask(ctx, func(n uint64) dispatch.Event { return dispatch.QueryRequested(n, host, path) })
}

func (e *Entry) ask(ctx context.Context, ev func(uint64) dispatch.Event) (dispatch.Answer, error) {
	n := e.numbers.Add(1)
	reply := make(chan dispatch.Answer, 1)
	err := e.ring.TryPush(asked{
		number: n,
		event:  ev(n),
		reply:  reply,
	})
	if err != nil {
		return dispatch.Answer{}, errors.Wrap(ErrOverloaded, err.Error())
	}
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
		_ = e.ring.Push(context.WithoutCancel(ctx), gone{
			number: n,
		})
		return dispatch.Answer{}, errors.Wrap(ctx.Err(), "caller left")
	}
}

// found hands a stored configuration to the duty.
func (e *Entry) found(ctx context.Context, body []byte) {
	_ = e.ring.Push(ctx, frame.NewConfig(0, body))
}

func (e *Entry) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-e.ring.Out():
			e.take(m)
		case <-ticker.C:
			e.handle(dispatch.Tick())
		case <-ctx.Done():
			return nil
		}
	}
}

func (e *Entry) take(m any) {
	switch m := m.(type) {
	case asked:
		e.replies[m.number] = m.reply
		e.handle(m.event)
	case gone:
		delete(e.replies, m.number)
		e.handle(dispatch.CallerLeft(m.number))
	case dispatch.Event:
		e.handle(m)
	case opened:
		e.streams[m.stream.Number()] = m.stream
		e.roles[m.stream.Number()] = m.hello.Role()
		e.handle(dispatch.SessionOpened(m.stream.Number(), m.hello))
		e.tellPeers(m.stream)
	case arrived:
		e.handle(dispatch.FrameReceived(m.stream.Number(), m.frame))
	case closed:
		delete(e.streams, m.stream.Number())
		delete(e.roles, m.stream.Number())
		e.handle(dispatch.SessionClosed(m.stream.Number()))
	case frame.Config:
		e.learn(m)
	case entriesFound:
		e.peers = m.peers
		for _, s := range e.streams {
			e.tellPeers(s)
		}
	}
}

// tellPeers names the known entries to another process.
func (e *Entry) tellPeers(s *stream.Stream) {
	if len(e.peers) == 0 || e.roles[s.Number()] != frame.RoleAgent {
		return
	}
	_ = s.Send(frame.Frame{
		Peers: e.peers,
	})
}

// learn takes a configuration as it was stored.
func (e *Entry) learn(c frame.Config) {
	v, err := e.base.seams.Decode(c.Body())
	if err != nil {
		e.base.note(event.ConfigInvalid, event.F("error", err.Error()), event.F("bytes", len(c.Body())))
		return
	}
	e.handle(dispatch.VersionReceived(v, frame.NewConfig(v.Number(), c.Body())))
}

// handle lets the decision take an event and carries out what it returns.
func (e *Entry) handle(ev dispatch.Event) {
	out := e.dispatch.Handle(e.base.clock(), ev)
	for _, n := range out.Notes() {
		e.base.log(n)
	}
	for _, a := range out.Answers() {
		if reply, ok := e.replies[a.Request()]; ok {
			reply <- a
			delete(e.replies, a.Request())
		}
	}
	for _, f := range out.Frames() {
		if s, ok := e.streams[f.Session()]; ok {
			// A stream without room closes, which the decision is told.
			_ = s.Send(f.Frame())
		}
	}
	for _, n := range out.SessionsToClose() {
		if s, ok := e.streams[n]; ok {
			s.Close()
		}
	}
	for _, c := range out.Configs() {
		e.learn(c)
	}
	e.ready.Store(e.dispatch.Ready())
	e.idle.Store(e.dispatch.Idle())
	e.version.Store(e.dispatch.Version())
}
