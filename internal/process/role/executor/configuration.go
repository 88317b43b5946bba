package executor

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/connection/transfer"
	"greengagedoor.example/greengagedoor/internal/process/event"
)

const (
	// copyDelay is how long an agent waits before it fetches a newer version, so that
	// entries read theirs first.
	copyDelay = 500 * time.Millisecond
)

// receiveConfiguration processes what a frame says of configurations. A frame without
// a version says nothing.
func (s *StateMachine) receiveConfiguration(now time.Duration, sess *session, f frame.Frame) {
	if f.ConfigVersion > 0 {
		sess.knownConfig = max(sess.knownConfig, f.ConfigVersion)
		sess.keepConfig = f.KeepConfig
	}
	s.configuration.Heard(now, sess.entry, f)
	if x, done := s.configuration.Received(now, sess.number, true, f); done {
		c := x.Config()
		s.configuration.Hold(now, c, now, x.Source())
		s.logEvent(event.ConfigKept, event.F("version", c.Number()), event.F("bytes", len(c.Body())),
			event.F("source", x.Source()), event.F("read_ms", x.Took().Milliseconds()))
	}
}

// sendConfiguration asks an entry for a newer configuration if one wants this agent to
// keep it, and sends the piece of the kept one that is due.
func (s *StateMachine) sendConfiguration(now time.Duration) {
	if age, _, behind := s.configuration.Behind(now); behind && age >= copyDelay {
		if session, r, due := s.configuration.Request(now, s.configurationSources); due {
			s.sendConfigurationFrame(now, session, frame.Frame{
				ConfigRequest: &r,
			})
		}
	}
	if session, p, due := s.configuration.Piece(now); due {
		s.sendConfigurationFrame(now, session, frame.Frame{
			ConfigPiece: &p,
		})
	}
}

// configurationSources lists the entries that ask for a copy, with their versions.
func (s *StateMachine) configurationSources(yield func(transfer.Source) bool) {
	for _, n := range s.sessionNumbers() {
		sess := s.sessions[n]
		if sess.keepConfig && !yield(transfer.NewSource(n, sess.entry, sess.knownConfig, true)) {
			return
		}
	}
}

func (s *StateMachine) sendConfigurationFrame(now time.Duration, session uint64, f frame.Frame) {
	sess, ok := s.sessions[session]
	if !ok {
		return
	}
	f = s.configuration.Announce(now, f)
	f.Clock = now
	f.Leaving = s.leaving || sess.releasing
	s.out.frames = append(s.out.frames, NewOutgoingFrame(session, f))
}
