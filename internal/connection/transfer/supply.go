package transfer

import (
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
)

const (
	// pieceBytes and pieceInterval are the size of a piece and the shortest time between
	// two that a process sends: 0.7 MB/s in all, less than a third of a link of 19 Mbit/s.
	pieceBytes    = 7 << 10
	pieceInterval = 10 * time.Millisecond
	// maxWaiting bounds the requests that wait. The process of a further one asks another.
	maxWaiting = 256
)

// Supply sends pieces of a process's configuration to the processes that ask for them.
type Supply struct {
	waiting []request
	sent    time.Duration
}

type request struct {
	session uint64
	urgent  bool
	request frame.ConfigRequest
}

// Requested adds a request of a session. It replaces an earlier one, which the session
// has given up. Urgent requests are served before others.
func (s *Supply) Requested(session uint64, urgent bool, r frame.ConfigRequest) {
	s.Closed(session)
	if len(s.waiting) >= maxWaiting {
		return
	}
	at := len(s.waiting)
	if urgent {
		at = 0
		for at < len(s.waiting) && s.waiting[at].urgent {
			at++
		}
	}
	s.waiting = slices.Insert(s.waiting, at, request{
		session: session,
		urgent:  urgent,
		request: r,
	})
}

// Closed records that a session has ended.
func (s *Supply) Closed(session uint64) {
	s.waiting = slices.DeleteFunc(s.waiting, func(r request) bool { return r.session == session })
}

// Waiting reports whether a process waits for a piece.
func (s *Supply) Waiting() bool {
	return len(s.waiting) > 0
}

// Next returns the piece of c that is due and the session that it goes to. It reports
// false if none is due.
func (s *Supply) Next(now time.Duration, c frame.Config) (uint64, frame.ConfigPiece, bool) {
	if len(s.waiting) == 0 || c.Number() == 0 || now-s.sent < pieceInterval {
		return 0, frame.ConfigPiece{}, false
	}
	r := s.waiting[0]
	s.waiting = s.waiting[1:]
	s.sent = now
	offset := r.request.Offset()
	if r.request.Checksum() != c.Checksum() {
		offset = 0
	}
	return r.session, c.Piece(offset, pieceBytes), true
}
