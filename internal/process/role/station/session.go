package station

import (
	"sort"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
)

// session is one connection to an entry.
type session struct {
	number  uint64
	entry   string
	echo    time.Duration
	sent    time.Duration
	roomDue bool
	began   []frame.RunID
	ended   []frame.Ended
	// progress is what the next frame reports of runs.
	progress []frame.Progress
	seen     uint64
	target   bool
	// config is the number of the version that was sent to or had from the entry.
	config int64
	urgent bool
}

func (s *Station) open(now time.Duration, o Opened) {
	s.sessions[o.session] = &session{
		number: o.session,
		entry:  o.hello.Name(),
		echo:   now,
		urgent: true,
	}
	s.note(event.SessionOpened, event.F("entry", o.hello.Name()), event.F("session", o.session))
}

// expire ends the sessions of silent entries.
func (s *Station) expire(now time.Duration) {
	for n, x := range s.sessions {
		if now-x.echo > s.timing.silence {
			s.out.closes = append(s.out.closes, n)
			s.closeSession(now, n, "silent")
		}
	}
}

// closeSession stops what runs for a session that has ended.
func (s *Station) closeSession(now time.Duration, number uint64, cause string) {
	x, ok := s.sessions[number]
	if !ok {
		return
	}
	delete(s.sessions, number)
	stopped := 0
	for _, r := range s.ordered() {
		if r.session == number {
			s.stop(now, r, "session_"+cause)
			stopped++
		}
	}
	s.note(event.SessionLost, event.F("entry", x.entry), event.F("session", number), event.F("cause", cause),
		event.F("silent_ms", (now-x.echo).Milliseconds()), event.F("runs_stopped", stopped))
}

func (s *Station) receive(now time.Duration, in Received) {
	x, ok := s.sessions[in.session]
	if !ok {
		return
	}
	f := in.frame
	x.echo = max(x.echo, f.Echo)
	if now-x.echo > s.timing.silence {
		// The frame itself is old: it was held up on its way.
		s.out.closes = append(s.out.closes, x.number)
		s.closeSession(now, x.number, "silent")
		return
	}
	s.learnConfig(x, f)
	for _, st := range f.Starts {
		s.start(now, x, st)
	}
	for _, id := range f.Stops {
		if r, ok := s.runs[runOf(id)]; ok && r.session == x.number {
			s.stop(now, r, "asked")
		}
	}
	for _, job := range f.Cancels {
		s.cancel(now, job)
	}
	s.out.peers = append(s.out.peers, f.Peers...)
}

// learnConfig keeps the newest configuration, so that entries that can't reach
// the store or each other have it from the agents.
func (s *Station) learnConfig(x *session, f frame.Frame) {
	x.config = max(x.config, f.ConfigVersion)
	if f.Config != nil && f.Config.Number() > s.config.Number() {
		s.config = *f.Config
	}
}

func (s *Station) cancel(now time.Duration, job string) {
	for _, r := range s.ordered() {
		if r.id.Job() == job {
			s.stop(now, r, "cancelled")
		}
	}
}

// flush sends each entry what it has to know.
func (s *Station) flush(now time.Duration) {
	numbers := make([]uint64, 0, len(s.sessions))
	for n := range s.sessions {
		numbers = append(numbers, n)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	for _, n := range numbers {
		x := s.sessions[n]
		quiet := now - x.sent
		if x.urgent || !x.target || len(x.ended)+len(x.began) > 0 || quiet >= s.timing.status || x.roomDue && quiet >= roomInterval {
			s.send(now, x)
		}
	}
}

func (s *Station) send(now time.Duration, x *session) {
	free := s.target.capacity.Sub(s.used).Sub(s.queued)
	room := frame.NewFreeCapacity(free.MilliCores(), free.MemoryMB(), free.Accelerators(), len(s.waiting), x.seen)
	f := frame.Frame{
		Clock:            now,
		ConfigVersion:    s.config.Number(),
		EarlierRunsEnded: s.cleared(x),
		Leaving:          s.leaving,
		FreeCapacity:     &room,
		Started:          x.began,
		Ended:            x.ended,

		Progress: x.progress,
	}
	if !x.target {
		t := s.target.describe(s.leaving)
		f.Target = &t
	}
	if s.config.Number() > x.config {
		c := s.config
		f.Config = &c
		x.config = c.Number()
	}
	x.target = true
	x.began = nil
	x.ended = nil
	x.progress = nil
	x.roomDue = false
	x.urgent = false
	x.sent = now
	s.out.frames = append(s.out.frames, NewSend(x.number, f))
}

// cleared tells whether no run of earlier sessions with the same entry is left.
func (s *Station) cleared(x *session) bool {
	if !s.target.synced {
		return false
	}
	for _, r := range s.runs {
		if r.entry == x.entry && r.session != x.number {
			return false
		}
	}
	return true
}

func (s *Station) roomChanged() {
	for _, x := range s.sessions {
		x.roomDue = true
	}
}
