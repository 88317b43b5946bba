package server

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/stream"
	"greengagedoor.example/greengagedoor/internal/process/event"
)

// maxUnsentAge is the age of a frame that waits to be written from which a process
// reports the delay; half of sessionTimeout.
const maxUnsentAge = sessionTimeout / 2

// unsent is what a process has reported about frames that wait to be written.
type unsent struct {
	delayed bool
	highest time.Duration
}

// watchUnsent publishes the age of the oldest frame that waits to be written, and logs
// when it exceeds maxUnsentAge and when no frame waits any more.
func (b *base) watchUnsent(streams map[uint64]*stream.Stream) {
	var oldest time.Duration
	peer := ""
	for _, s := range streams {
		if age := s.UnsentAge(); age > oldest {
			oldest = age
			peer = s.Peer()
		}
	}
	b.observer.unsentAge.Set(oldest.Milliseconds())
	u := &b.unsent
	u.highest = max(u.highest, oldest)
	switch {
	case !u.delayed && oldest > maxUnsentAge:
		u.delayed = true
		b.logEvent(event.SendDelayed, event.F("peer", peer), event.F("age_ms", oldest.Milliseconds()))
	case u.delayed && oldest < maxUnsentAge/2:
		u.delayed = false
		b.logEvent(event.SendResumed, event.F("highest_ms", u.highest.Milliseconds()))
	}
	if !u.delayed {
		u.highest = 0
	}
}
