package executor

import (
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// The starts without an answer that are remembered for the log.
const (
	// unansweredSpan is how long a start is remembered. Targets carry calls out up to 12 s
	// late.
	unansweredSpan = 15 * time.Second
	// maxUnansweredStarts bounds the remembered starts.
	maxUnansweredStarts = 64
)

// unansweredStart is a start whose answer was given up. Its target may still carry it out.
type unansweredStart struct {
	run         task.Run
	entry       string
	incarnation Incarnation
	sent        time.Duration
}

// rememberUnanswered remembers the start of a run whose answer was given up.
func (s *StateMachine) rememberUnanswered(now time.Duration, r *run) {
	s.unansweredStarts = slices.DeleteFunc(s.unansweredStarts, func(u unansweredStart) bool { return now-u.sent > unansweredSpan })
	if len(s.unansweredStarts) == maxUnansweredStarts {
		s.unansweredStarts = slices.Delete(s.unansweredStarts, 0, 1)
	}
	s.unansweredStarts = append(s.unansweredStarts, unansweredStart{
		run:         r.id,
		entry:       r.entry,
		incarnation: r.incarnation,
		sent:        r.startSent,
	})
}

// logFencedStarts logs the unanswered starts that another incarnation under the same id
// refuses because of its fence. A run of one of them there began before its first call.
func (s *StateMachine) logFencedStarts(now time.Duration, previous, next Incarnation, fence int64) {
	for _, u := range s.unansweredStarts {
		if u.incarnation.id == next.id && now-u.sent <= unansweredSpan {
			s.logEvent(event.StartFenced, event.F("run", u.run.String()), event.F("entry", u.entry), event.F("previous", previous.String()),
				event.F("target", next.String()), event.F("fence", fence), event.F("sent_ms_ago", (now-u.sent).Milliseconds()))
		}
	}
}
