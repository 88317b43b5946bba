package executor

import (
	"fmt"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/version/evacuation"
)

// zoneEvacuation is what the agent tells operators about the evacuation of its zone.
type zoneEvacuation struct {
	zone  string
	since time.Duration
	// source is the entry that sent the set.
	source string
	// rejected counts the starts that were rejected, and starts those that were sent to the
	// target, of which there must be none.
	rejected int
	starts   int
}

// inEvacuatedZone reports whether the target must not get new work, since its zone is
// evacuated. What it runs may end.
func (s *StateMachine) inEvacuatedZone() bool {
	return s.evacuated.Has(s.target.zone)
}

// Evacuated returns the evacuated availability zones that the agent knows of.
func (s *StateMachine) Evacuated() evacuation.Set {
	return s.evacuated
}

// DescribeEvacuations returns a line on the known zones, and one on the target's zone while
// it is evacuated.
func (s *StateMachine) DescribeEvacuations(now time.Duration) []string {
	lines := []string{fmt.Sprintf("revision=%d zones=%v", s.evacuated.Revision(), s.evacuated.Zones())}
	if e := s.evacuation; s.inEvacuatedZone() {
		lines = append(lines, fmt.Sprintf("zone=%s since_ms=%d runs=%d rejected=%d starts_since=%d", e.zone, (now-e.since).Milliseconds(), len(s.runs), e.rejected, e.starts))
	}
	return lines
}

// receiveEvacuations takes over a newer set of evacuated zones from an entry. The agent tells
// its other entries in their next frames.
func (s *StateMachine) receiveEvacuations(sess *session, received evacuation.Set) {
	if received.Newer(sess.knownEvacuations) {
		sess.knownEvacuations = received
	}
	if received.Newer(s.evacuated) {
		s.evacuated = received
		s.evacuation.source = sess.entry
	}
}

// evacuationChanged rejects the queued starts when the target's zone is evacuated, and tells
// the entries that the target takes no work, or takes it again.
func (s *StateMachine) evacuationChanged(now time.Duration) {
	s.resendTarget()
	e := &s.evacuation
	if !s.inEvacuatedZone() {
		s.logEvent(event.EvacuationEnded, event.F("zone", e.zone), event.F("revision", s.evacuated.Revision()), event.F("source", e.source),
			event.F("lasted_ms", (now-e.since).Milliseconds()), event.F("rejected", e.rejected), event.F("starts", e.starts))
		*e = zoneEvacuation{}
		return
	}
	e.zone = s.target.zone
	e.since = now
	e.rejected += len(s.queue)
	s.logEvent(event.EvacuationBegan, event.F("zone", e.zone), event.F("revision", s.evacuated.Revision()), event.F("source", e.source),
		event.F("runs", len(s.runs)-len(s.queue)), event.F("queued", len(s.queue)))
	s.rejectQueued(event.CauseEvacuated)
}
