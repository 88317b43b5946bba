package executor

import (
	"maps"
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/version/evacuation"
)

// session is one connection to an entry.
type session struct {
	number uint64
	entry  string
	// echo is the latest time of the agent's clock that the entry has echoed.
	echo        time.Duration
	sent        time.Duration
	capacityDue bool
	// reportInterval is the minimum time between two frames that report only free
	// capacity and progress. The entry asks for a longer one if it has many agents.
	reportInterval time.Duration
	started        []frame.RunID
	ended          []frame.Ended
	// progress is what the next frame reports about active runs.
	progress   []frame.Progress
	lastStart  uint64
	targetSent bool
	// describedAfter is the time of the last frame before the one that told the entry the
	// target's present incarnation, service and labels.
	describedAfter time.Duration
	// knownConfig is the version of the configuration that the entry has, and keepConfig
	// whether it asked this agent to keep a copy.
	knownConfig int64
	// serviceAgents is how many agents of the target's service the entry has, 0 if it has
	// not said so.
	serviceAgents int
	keepConfig    bool
	// knownEvacuations is the newest set of evacuated zones that the entry is known to have.
	knownEvacuations evacuation.Set
	sendNow          bool
	// releasing is set once the connection is not needed any more.
	releasing bool
	// reported is when the last frame was sent that the entry must have processed before
	// a releasing session is closed, 0 if the end of the session was not announced yet.
	reported time.Duration
}

func (s *StateMachine) openSession(now time.Duration, o Opened) {
	s.sessions[o.session] = &session{
		number:         o.session,
		entry:          o.hello.Name(),
		echo:           now,
		reportInterval: capacityInterval,
		sendNow:        true,
	}
	s.logEvent(event.SessionOpened, event.F("entry", o.hello.Name()), event.F("session", o.session))
}

// sessionNumbers returns the numbers of the sessions in ascending order.
func (s *StateMachine) sessionNumbers() []uint64 {
	return slices.Sorted(maps.Keys(s.sessions))
}

// expireSessions ends the sessions whose last echo is older than the session
// timeout.
func (s *StateMachine) expireSessions(now time.Duration) {
	for _, n := range s.sessionNumbers() {
		if sess := s.sessions[n]; now-sess.echo > s.timing.sessionTimeout {
			s.out.sessionsToClose = append(s.out.sessionsToClose, n)
			s.closeSession(now, n, "silent")
		}
	}
}

// closeSession removes a session and stops its runs.
func (s *StateMachine) closeSession(now time.Duration, number uint64, cause string) {
	sess, ok := s.sessions[number]
	if !ok {
		return
	}
	delete(s.sessions, number)
	s.configuration.Closed(number)
	stopped := 0
	for _, r := range s.sortedRuns() {
		if r.session == number {
			s.stop(now, r, "session_"+cause)
			stopped++
		}
	}
	s.logEvent(event.SessionLost, event.F("entry", sess.entry), event.F("session", number), event.F("cause", cause),
		event.F("silent_ms", (now-sess.echo).Milliseconds()), event.F("runs_stopped", stopped))
}

func (s *StateMachine) handleFrame(now time.Duration, received Received) {
	sess, ok := s.sessions[received.session]
	if !ok {
		return
	}
	f := received.frame
	sess.echo = max(sess.echo, f.Echo)
	if now-sess.echo > s.timing.sessionTimeout {
		// The frame itself is too old: it was delayed on its way.
		s.out.sessionsToClose = append(s.out.sessionsToClose, sess.number)
		s.closeSession(now, sess.number, "silent")
		return
	}
	s.receiveConfiguration(now, sess, f)
	s.receiveEvacuations(sess, f.Evacuated)
	if f.ReportInterval > 0 {
		sess.reportInterval = min(max(f.ReportInterval, capacityInterval), s.timing.heartbeatInterval)
	}
	if f.ServiceAgents > 0 {
		sess.serviceAgents = f.ServiceAgents
	}
	for _, st := range f.Starts {
		s.handleStart(now, sess, f.Echo, st)
	}
	for _, id := range f.Stops {
		if r, ok := s.runs[taskRun(id)]; ok && r.session == sess.number {
			s.stop(now, r, "asked")
		}
	}
	for _, job := range f.Cancels {
		s.cancel(now, job)
	}
	s.out.peers = append(s.out.peers, f.Peers...)
}

func (s *StateMachine) cancel(now time.Duration, job string) {
	for _, r := range s.sortedRuns() {
		if r.id.Job() == job {
			s.stop(now, r, "cancelled")
		}
	}
}

// releaseSession announces to an entry that it gets no more capacity on this connection.
func (s *StateMachine) releaseSession(number uint64) {
	if sess, ok := s.sessions[number]; ok && !sess.releasing {
		sess.releasing = true
		sess.sendNow = true
	}
}

// closeReleased closes the released sessions that nothing depends on any more: no run is
// left, and the entry has echoed a later time than that of the announcement and of the
// last end, so that it has processed both and its starts from before have all arrived.
func (s *StateMachine) closeReleased(now time.Duration) {
	for _, n := range s.sessionNumbers() {
		sess := s.sessions[n]
		if !sess.releasing || sess.reported == 0 || sess.echo <= sess.reported || len(sess.ended) > 0 || s.hasRuns(n) {
			continue
		}
		s.out.sessionsToClose = append(s.out.sessionsToClose, n)
		s.closeSession(now, n, "released")
	}
}

func (s *StateMachine) hasRuns(session uint64) bool {
	for _, r := range s.runs {
		if r.session == session {
			return true
		}
	}
	return false
}

// flush sends a frame to each entry for which one is due.
func (s *StateMachine) flush(now time.Duration) {
	s.closeReleased(now)
	for _, n := range s.sessionNumbers() {
		sess := s.sessions[n]
		sinceSent := now - sess.sent
		if sess.sendNow || !sess.targetSent || len(sess.ended)+len(sess.started) > 0 || sinceSent >= s.timing.heartbeatInterval || sess.capacityDue && sinceSent >= sess.reportInterval {
			s.sendFrame(now, sess)
		}
	}
	s.sendConfiguration(now)
}

func (s *StateMachine) sendFrame(now time.Duration, sess *session) {
	free := s.target.capacity.Sub(s.inUse).Sub(s.queuedResources)
	freeCapacity := frame.NewFreeCapacity(free.MilliCores(), free.MemoryMB(), free.Accelerators(), len(s.queue), sess.lastStart)
	f := s.configuration.Announce(now, frame.Frame{
		Clock:            now,
		EarlierRunsEnded: s.earlierRunsEnded(sess),
		Leaving:          s.leaving || sess.releasing,
		FreeCapacity:     &freeCapacity,
		Started:          sess.started,
		Ended:            sess.ended,
		Progress:         sess.progress,
	})
	if sess.releasing && (sess.reported == 0 || len(sess.started)+len(sess.ended) > 0) {
		sess.reported = now
	}
	if !sess.targetSent {
		t := s.target.describe(now, s.leaving || s.inEvacuatedZone())
		f.Target = &t
	}
	if s.evacuated.News(sess.knownEvacuations) {
		f.Evacuated = s.evacuated
		sess.knownEvacuations = s.evacuated
	}
	sess.targetSent = true
	sess.started = nil
	sess.ended = nil
	sess.progress = nil
	sess.capacityDue = false
	sess.sendNow = false
	sess.sent = now
	s.out.frames = append(s.out.frames, NewOutgoingFrame(sess.number, f))
}

// earlierRunsEnded reports whether all runs of earlier sessions of the same entry
// have ended.
func (s *StateMachine) earlierRunsEnded(sess *session) bool {
	if !s.target.synced {
		return false
	}
	for _, r := range s.runs {
		if r.entry == sess.entry && r.session != sess.number {
			return false
		}
	}
	return true
}

func (s *StateMachine) capacityChanged() {
	for _, sess := range s.sessions {
		sess.capacityDue = true
	}
}
