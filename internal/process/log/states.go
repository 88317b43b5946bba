package log

import (
	"fmt"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
)

// The limits of the notes about states that are observed again and again.
const (
	// maxSubjects bounds the subjects whose last state is kept.
	maxSubjects = 1024
	// stateRetention is how long a state is kept after it was last observed. A state
	// that comes back later is logged again.
	stateRetention = time.Minute
	// changeInterval is the minimum time between two lines about one subject.
	changeInterval = 10 * time.Second
)

// states keeps the last logged state of each subject.
type states struct {
	bySubject map[string]*state
	forgotten time.Time
}

type state struct {
	text   string
	logged time.Time
	seen   time.Time
}

func newStates() *states {
	return &states{
		bySubject: map[string]*state{},
	}
}

// changed reports whether a note is to be logged: its subject is new, or has changed
// and was not logged within changeInterval.
func (x *states) changed(at time.Time, n event.Note) bool {
	key := string(n.Name()) + " " + n.Subject()
	if len(key) > maxTextBytes {
		key = key[:maxTextBytes]
	}
	text := fmt.Sprint(n.Fields())
	if len(text) > maxTextBytes {
		text = text[:maxTextBytes]
	}
	s, ok := x.bySubject[key]
	if !ok {
		if x.forget(at); len(x.bySubject) >= maxSubjects {
			return false
		}
		s = &state{}
		x.bySubject[key] = s
	}
	if at.Sub(s.seen) > stateRetention {
		*s = state{}
	}
	s.seen = at
	if s.text == text || at.Sub(s.logged) < changeInterval {
		return false
	}
	s.text = text
	s.logged = at
	return true
}

// forget removes the states that were not observed lately.
func (x *states) forget(at time.Time) {
	if len(x.bySubject) < maxSubjects && at.Sub(x.forgotten) < stateRetention {
		return
	}
	x.forgotten = at
	for key, s := range x.bySubject {
		if at.Sub(s.seen) > stateRetention {
			delete(x.bySubject, key)
		}
	}
}
