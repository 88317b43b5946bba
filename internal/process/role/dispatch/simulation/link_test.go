package simulation_test

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
)

// simLink is a connection. Frames delayed by a network partition arrive after it,
// unless the connection was closed.
type simLink struct {
	c           *cluster
	number      uint64
	a           *simAgent
	e           *simEntry
	lastToAgent time.Duration
	lastToEntry time.Duration
	openedAt    time.Duration
	released    bool
	agentOpen   bool
	entryOpen   bool
}

func newSimLink(c *cluster, a *simAgent, e *simEntry) {
	c.session++
	l := &simLink{
		c:         c,
		number:    c.session,
		a:         a,
		e:         e,
		openedAt:  c.now,
		agentOpen: true,
		entryOpen: true,
	}
	a.links[l.number] = l
	e.links[l.number] = l
	e.handle(dispatch.SessionOpened(l.number, frame.NewHello(a.name, a.incarnation, a.zone, "", frame.RoleAgent)))
	a.handle(executor.SessionOpened(l.number, frame.NewHello(e.name, e.incarnation, e.zone, e.name, frame.RoleEntry)))
}

// arrival returns the delay of something that is sent now. Arrivals keep the order
// of sending.
func (l *simLink) arrival(last *time.Duration) time.Duration {
	at := l.c.now + time.Millisecond + l.c.jitter(2)
	at = max(at, l.a.partitionedUntil[l.e.name], *last)
	*last = at
	return at - l.c.now
}

func (l *simLink) toAgent(f frame.Frame) {
	f = l.c.transcode(f)
	deliver := func() {
		if l.agentOpen {
			l.a.handle(executor.FrameReceived(l.number, f))
		}
	}
	if l.c.network != nil {
		l.c.network.sendFrame(l.e.name, l.a.name, l.number, f, func() bool { return l.agentOpen && l.entryOpen }, deliver)
		return
	}
	l.c.after(l.arrival(&l.lastToAgent), deliver)
}

func (l *simLink) toEntry(f frame.Frame) {
	f = l.c.transcode(f)
	if l.c.now < l.c.capacityHiddenUntil {
		f.FreeCapacity = nil
	}
	deliver := func() {
		if l.entryOpen {
			l.e.handle(dispatch.FrameReceived(l.number, f))
		}
	}
	if l.c.network != nil {
		l.c.network.sendFrame(l.a.name, l.e.name, l.number, f, func() bool { return l.agentOpen && l.entryOpen }, deliver)
		return
	}
	l.c.after(l.arrival(&l.lastToEntry), deliver)
}

// close closes one end of the connection. The other end is notified unless a
// partition separates the two.
func (l *simLink) close(byEntry bool) {
	notifyPeer := l.c.now >= l.a.partitionedUntil[l.e.name]
	if byEntry {
		l.entryOpen = false
		delete(l.e.links, l.number)
		l.e.handle(dispatch.SessionClosed(l.number))
	} else {
		l.agentOpen = false
		delete(l.a.links, l.number)
		l.a.handle(executor.SessionClosed(l.number))
	}
	if !notifyPeer {
		return
	}
	l.c.after(2*time.Millisecond, func() {
		if l.agentOpen {
			l.agentOpen = false
			delete(l.a.links, l.number)
			l.a.handle(executor.SessionClosed(l.number))
		}
		if l.entryOpen {
			l.entryOpen = false
			delete(l.e.links, l.number)
			l.e.handle(dispatch.SessionClosed(l.number))
		}
	})
}

// transcode encodes and decodes a frame. The frames that wait in a network would take
// much memory, so they share their contents.
func (c *cluster) transcode(f frame.Frame) frame.Frame {
	if c.network != nil {
		return f
	}
	b := frame.Encode(f)
	c.frames++
	c.frameBytes += len(b)
	x, err := frame.Decode(b)
	if err != nil {
		c.t.Fatal(err)
	}
	return x
}
