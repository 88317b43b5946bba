package simulation_test

import (
	"testing"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/process/role/station"
)

// simLink is a connection; what is held back by a cut arrives after it, unless
// the connection was closed.
type simLink struct {
	w      *world
	number uint64
	a      *simAgent
	e      *simEntry
	lastA  time.Duration
	lastE  time.Duration
	openA  bool
	openE  bool
}

func newSimLink(w *world, a *simAgent, e *simEntry) {
	w.session++
	l := &simLink{
		w:      w,
		number: w.session,
		a:      a,
		e:      e,
		openA:  true,
		openE:  true,
	}
	a.links[l.number] = l
	e.links[l.number] = l
	e.take(dispatch.SessionOpened(l.number, frame.NewHello(a.name, a.boot, "zone", "", frame.RoleAgent)))
	a.take(station.SessionOpened(l.number, frame.NewHello(e.name, e.boot, "zone", e.name, frame.RoleEntry)))
}

// arrival is when something that is sent now arrives, in order.
func (l *simLink) arrival(last *time.Duration) time.Duration {
	at := l.w.now + time.Millisecond + l.w.jitter(2)
	at = max(at, l.a.cut[l.e.name], *last)
	*last = at
	return at - l.w.now
}

func (l *simLink) toAgent(f frame.Frame) {
	f = transcode(l.w.t, f)
	l.w.after(l.arrival(&l.lastA), func() {
		if l.openA {
			l.a.take(station.FrameReceived(l.number, f))
		}
	})
}

func (l *simLink) toEntry(f frame.Frame) {
	f = transcode(l.w.t, f)
	l.w.after(l.arrival(&l.lastE), func() {
		if l.openE {
			l.e.take(dispatch.FrameReceived(l.number, f))
		}
	})
}

// close ends one end of the connection; the other learns of it unless the two are
// cut off from each other.
func (l *simLink) close(byEntry bool) {
	tell := l.w.now >= l.a.cut[l.e.name]
	if byEntry {
		l.openE = false
		delete(l.e.links, l.number)
		l.e.take(dispatch.SessionClosed(l.number))
	} else {
		l.openA = false
		delete(l.a.links, l.number)
		l.a.take(station.SessionClosed(l.number))
	}
	if !tell {
		return
	}
	l.w.after(2*time.Millisecond, func() {
		if l.openA {
			l.openA = false
			delete(l.a.links, l.number)
			l.a.take(station.SessionClosed(l.number))
		}
		if l.openE {
			l.openE = false
			delete(l.e.links, l.number)
			l.e.take(dispatch.SessionClosed(l.number))
		}
	})
}

// transcode sends a frame through its codec.
func transcode(t *testing.T, f frame.Frame) frame.Frame {
	x, err := frame.Decode(frame.Encode(f))
	if err != nil {
		t.Fatal(err)
	}
	return x
}
