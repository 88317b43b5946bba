package web

import (
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/intake"
)

// Counter is the name of a counter of a server.
type Counter string

// The counters.
const (
	RequestsTaken      Counter = "requests_taken_leaving"
	RequestsRefused    Counter = "requests_refused_leaving"
	RequestsUnanswered Counter = "requests_unanswered"

	RefusedHead     Counter = "refused_head"
	RefusedMemory   Counter = "refused_memory"
	ClosedSlowHead  Counter = "closed_slow_head"
	ClosedStalled   Counter = "closed_stalled_body"
	ClosedIdle      Counter = "closed_idle"
	ClosedMemory    Counter = "closed_memory_full"
	ClosedForOthers Counter = "closed_connections_full"
	// RefusedConnection is counted for listeners that do not wait for room.
	RefusedConnection Counter = "refused_connections"
)

// closedFor has the counter for each reason to close a connection.
var closedFor = map[intake.Reason]Counter{
	intake.SlowHead:       ClosedSlowHead,
	intake.StalledBody:    ClosedStalled,
	intake.Idle:           ClosedIdle,
	intake.MemoryFull:     ClosedMemory,
	intake.ConnectionFull: ClosedForOthers,
}

var counterMeanings = map[Counter]string{
	RequestsTaken:      "Requests that were read whole after the stop signal.",
	RequestsRefused:    "Requests that were answered with 503 after the stop signal.",
	RequestsUnanswered: "Requests that were read whole and whose connection this process closed without their answer.",
	RefusedHead:        "Requests whose head exceeds the limit, answered with 431.",
	RefusedMemory:      "Requests that were not read to their end or not decoded because the listener held too much; nothing of them has run.",
	ClosedSlowHead:     "Connections that were closed because no whole head arrived in time.",
	ClosedStalled:      "Connections that were closed because no byte of a body arrived for a time.",
	ClosedIdle:         "Connections that were closed because no further request arrived in time.",
	ClosedMemory:       "Connections with part of a request that were closed because the listener held too much.",
	ClosedForOthers:    "Connections without a whole request that were closed because a client waited for room.",

	RefusedConnection: "Connections of other processes that were closed at once because the listener had as many as it may.",
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
