package server

import (
	"context"
	"runtime"
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/connection/stream"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/process/subset"
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
		e.hellos[m.stream.Number()] = m.hello
		e.sendPeers(m.stream)
		return []dispatch.Event{dispatch.SessionOpened(m.stream.Number(), m.hello)}
	case frameReceived:
		return []dispatch.Event{dispatch.FrameReceived(m.stream.Number(), m.frame).QueuedAt(m.at)}
	case streamClosed:
		delete(e.streams, m.stream.Number())
		delete(e.hellos, m.stream.Number())
		return []dispatch.Event{dispatch.SessionClosed(m.stream.Number())}
	case entriesFound:
		e.entriesFound(m.peers)
	case linesAsked:
		m.reply <- e.dispatch.DescribeEvacuations(e.base.clock())
	case connectionReleased:
		// A connection to another entry holds no runs.
		if s, ok := e.streams[m.stream]; ok {
			s.Close()
		}
	}
	return nil
}

// refreshers is the number of entries that send an unchanged list to an agent.
const refreshers = 3

// entriesFound sends a changed list of entries to all agents. An unchanged one is sent
// often enough that agents do not forget the addresses, but by few of an agent's entries.
func (e *Entry) entriesFound(peers []frame.Peer) {
	now := e.base.clock()
	changed := !slices.Equal(peers, e.peers)
	if !changed && now-e.peersSent < peersInterval {
		return
	}
	e.peers = peers
	e.peersSent = now
	members := make([]subset.Member, 0, len(peers))
	for _, p := range peers {
		members = append(members, subset.NewMember(p.Address(), p.Zone()))
	}
	for n, s := range e.streams {
		if changed || e.refreshes(e.hellos[n], members) {
			e.sendPeers(s)
		}
	}
}

// refreshes reports whether this entry is one of those that repeat the list of entries
// to an agent.
func (e *Entry) refreshes(agent frame.Hello, members []subset.Member) bool {
	s := e.base.settings
	return subset.Rank(subset.NewMember(agent.Name(), agent.Zone()), subset.NewMember(s.advertised, s.zone), members) < refreshers
}

// sendPeers sends the addresses of the known entries to an agent.
func (e *Entry) sendPeers(s *stream.Stream) {
	if len(e.peers) == 0 || e.hellos[s.Number()].Role() != frame.RoleAgent {
		return
	}
	_ = s.Send(frame.Frame{
		Peers: e.peers,
	})
}

// handle passes events to the dispatcher and carries out its output.
func (e *Entry) handle(events ...dispatch.Event) {
	if e.base.deps.OnPass != nil {
		e.base.deps.OnPass()
	}
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
		// If the ring is full, the configuration is fetched again unless a newer one is
		// active by then.
		_ = e.decoder.ring.TryPush(undecoded{
			packed:  c.Config(),
			arrival: c.Arrival(),
			at:      e.base.clock(),
		})
	}
	e.base.observer.evacuatedZones.Set(int64(len(e.dispatch.Evacuated().Zones())))
	e.ready.Store(e.dispatch.Ready())
	e.idle.Store(e.dispatch.Idle())
	e.reread.Store(e.dispatch.RereadStore(e.base.clock()))
	e.version.Store(e.dispatch.Version())
}
