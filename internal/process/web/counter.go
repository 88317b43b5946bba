package web

import (
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
)

// Counter is the name of a counter of a server.
type Counter string

// The counters.
const (
	RequestsTaken      Counter = "requests_taken_leaving"
	RequestsRefused    Counter = "requests_refused_leaving"
	RequestsUnanswered Counter = "requests_unanswered"
)

var counterMeanings = map[Counter]string{
	RequestsTaken:      "Requests that were read whole after the stop signal.",
	RequestsRefused:    "Requests that were answered with 503 after the stop signal.",
	RequestsUnanswered: "Requests that were read whole and whose connection this process closed without their answer.",
}

// Meaning returns a one-sentence description for operators.
func (c Counter) Meaning() string {
	return counterMeanings[c]
}

// Counters returns all counters in alphabetical order.
func Counters() []Counter {
	var list []Counter
	for c := range counterMeanings {
		list = append(list, c)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

// The stages of a server whose process ends.
const (
	stageLeaving  = "leaving"
	stageLingered = "lingered"
	stageStopping = "stopping"
	stageCut      = "cut"
	stageStopped  = "stopped"
)

func (s *server) count(c Counter) {
	if s.ending.Count != nil {
		s.ending.Count(c)
	}
}

// requestRead counts a request that was read whole.
func (s *server) requestRead() {
	if !s.leaving() {
		return
	}
	s.taken.Add(1)
	s.lastTaken.Store(time.Since(s.began).Nanoseconds())
	s.count(RequestsTaken)
}

func (s *server) refused() {
	s.refusals.Add(1)
	s.count(RequestsRefused)
}

// countUnanswered counts the requests of a connection that has ended, once.
func (s *server) countUnanswered(c *connection) {
	n := c.unanswered()
	if n == 0 || c.counted {
		return
	}
	c.counted = true
	s.unanswered.Add(n)
	for range n {
		s.count(RequestsUnanswered)
	}
}

// noteStage logs how many connections and requests the server has at a stage of its
// end.
func (s *server) noteStage(stage string) {
	if s.ending.Note == nil {
		return
	}
	since, last := int64(0), int64(0)
	if at := s.leftAt.Load(); at > 0 {
		since = (time.Since(s.began) - time.Duration(at)).Milliseconds()
		if t := s.lastTaken.Load(); t > 0 {
			last = time.Duration(t - at).Milliseconds()
		}
	}
	s.ending.Note(event.New(event.ServerEnding, event.F("server", s.name), event.F("stage", stage), event.F("since_stop_ms", since),
		event.F("connections", len(s.connections)), event.F("in_flight", s.inFlight()), event.F("taken", s.taken.Load()),
		event.F("last_taken_ms", last), event.F("refused", s.refusals.Load()), event.F("unanswered", s.unanswered.Load())))
}
