package server

import (
	"context"
	"runtime"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/connection/stream"
	"greengagedoor.example/greengagedoor/internal/connection/transfer"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// maxBatch bounds the events of one pass of the dispatcher, so that answers and
// starts are not held up by a long queue.
const maxBatch = 128

// run is the duty that owns the dispatcher.
func (e *Entry) run(ctx context.Context) error {
	interval := idleTickInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	leaving := e.base.leaving
	for {
		wanted := tickInterval
		if e.dispatch.Idle() {
			wanted = idleTickInterval
		}
		if interval != wanted {
			interval = wanted
			ticker.Reset(interval)
		}
		select {
		case <-leaving:
			leaving = nil
			e.handle(dispatch.ShutdownRequested(e.base.untilLastAnswer()))
		case m := <-e.ring.Out():
			e.handle(e.takeAll(m)...)
		case <-ticker.C:
			e.handle(dispatch.Tick())
			e.base.watchUnsent(e.streams)
		case <-ctx.Done():
			return nil
		}
	}
}

// takeAll returns the events of a message and of those that wait behind it. The
// readers of streams that have a frame push it first, so that one pass of the
// dispatcher decides on all of them.
func (e *Entry) takeAll(m any) []dispatch.Event {
	runtime.Gosched()
	events := append(e.events[:0], e.receive(m)...)
	for len(events) < maxBatch {
		select {
		case m := <-e.ring.Out():
			events = append(events, e.receive(m)...)
			continue
		default:
		}
		break
	}
	e.events = events
	return events
}

// receive returns the events of a message.
func (e *Entry) receive(m any) []dispatch.Event {
	switch m := m.(type) {
	case request:
		e.replies[m.number] = m.reply
		return []dispatch.Event{m.event}
	case callerLeft:
		delete(e.replies, m.number)
		return []dispatch.Event{dispatch.CallerLeft(m.number)}
	case dispatch.Event:
		return []dispatch.Event{m}
	case streamOpened:
		e.streams[m.stream.Number()] = m.stream
		e.roles[m.stream.Number()] = m.hello.Role()
		e.sendPeers(m.stream)
		return []dispatch.Event{dispatch.SessionOpened(m.stream.Number(), m.hello)}
	case frameReceived:
		return []dispatch.Event{dispatch.FrameReceived(m.stream.Number(), m.frame).QueuedAt(m.at)}
	case streamClosed:
		delete(e.streams, m.stream.Number())
		delete(e.roles, m.stream.Number())
		return []dispatch.Event{dispatch.SessionClosed(m.stream.Number())}
	case configurationRead:
		return e.decodeConfiguration(m.body, nil, dispatch.NewArrival(dispatch.StoreSource, m.took, 0), m.at)
	case entriesFound:
		e.peers = m.peers
		for _, s := range e.streams {
			e.sendPeers(s)
		}
	}
	return nil
}

// sendPeers sends the addresses of the known entries to an agent.
func (e *Entry) sendPeers(s *stream.Stream) {
	if len(e.peers) == 0 || e.roles[s.Number()] != frame.RoleAgent {
		return
	}
	_ = s.Send(frame.Frame{
		Peers: e.peers,
	})
}

// decodeConfiguration returns the event of a stored configuration, which is given in its
// stored form or packed. An invalid one is logged and ignored.
func (e *Entry) decodeConfiguration(body, packed []byte, a dispatch.Arrival, received time.Duration) []dispatch.Event {
	began := e.base.clock()
	v, packed, err := decodeVersion(e.base.deps.Decode, body, packed)
	if err != nil {
		e.base.log(event.New(event.ConfigInvalid, event.F("error", err.Error()), event.F("bytes", len(body))).About("configuration"))
		return nil
	}
	for _, err := range v.LeftOut() {
		e.base.log(event.New(event.ValueInvalid, event.F("version", v.Number()), event.F("error", err.Error())).About(err.Error()))
	}
	a = dispatch.NewArrival(a.Source(), a.Read(), e.base.clock()-began)
	return []dispatch.Event{dispatch.VersionReceived(v, frame.NewConfig(v.Number(), packed)).Arrived(a).QueuedAt(received)}
}

// decodeVersion returns the version with its packed form, from its stored form or, if
// that is nil, from its packed form.
func decodeVersion(decode Decode, body, packed []byte) (*route.Version, []byte, error) {
	var err error
	if body == nil {
		if body, err = transfer.Unpack(packed); err != nil {
			return nil, nil, err
		}
	}
	v, err := decode(body)
	if err != nil {
		return nil, nil, err
	}
	if packed == nil {
		packed, err = transfer.Pack(body)
	}
	return v, packed, err
}

// handle passes events to the dispatcher and carries out its output.
func (e *Entry) handle(events ...dispatch.Event) {
	out := e.dispatch.Handle(e.base.clock(), events...)
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
			// A stream whose queue is full closes itself. The dispatcher learns of it by
			// the stream's closed event.
			_ = s.Send(f.Frame())
		}
	}
	for _, n := range out.SessionsToClose() {
		if s, ok := e.streams[n]; ok {
			s.Close()
		}
	}
	for _, c := range out.Configs() {
		e.handle(e.decodeConfiguration(nil, c.Config().Body(), c.Arrival(), e.base.clock())...)
	}
	e.ready.Store(e.dispatch.Ready())
	e.idle.Store(e.dispatch.Idle())
	e.version.Store(e.dispatch.Version())
}
