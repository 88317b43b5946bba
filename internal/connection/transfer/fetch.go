// Package transfer carries the packed form of a configuration from a process that has
// it to one that lacks it.
//
// A configuration may be larger than all other messages of a second, and a host's link
// small. So nothing is sent unasked: frames carry version numbers, and a process that
// lacks a version asks one other process for it, piece by piece. The next piece is
// requested when the last one has arrived, so that at most one is on the way to a
// process, and the sender serves the requests of all processes at one pace, whatever
// their number. Starts, ends and heartbeats wait for one piece at most.
package transfer

import (
	"hash/crc32"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
)

const (
	// pieceTimeout is how long a requested piece may take before another process is
	// asked. A piece takes 4 ms on a link of 19 Mbit/s, and waits for the other
	// processes that are served.
	pieceTimeout = 300 * time.Millisecond
	// avoidTime is how long a process is not asked again that did not answer.
	avoidTime = time.Second
	// maxPackedBytes bounds a packed configuration, above the largest value that a store
	// takes.
	maxPackedBytes = 8 << 20
)

// Source is a process that can be asked for its configuration.
type Source struct {
	session uint64
	name    string
	number  int64
	near    bool
}

// NewSource returns the process of a session that has a version; near reports that it
// is in the same availability zone.
func NewSource(session uint64, name string, number int64, near bool) Source {
	return Source{
		session: session,
		name:    name,
		number:  number,
		near:    near,
	}
}

// Number returns the number of the version that the process has.
func (s Source) Number() int64 {
	return s.number
}

// before reports whether a source is asked rather than another one: the one in the same
// availability zone, then the one with the newer version.
func (s Source) before(o Source) bool {
	switch {
	case s.near != o.near:
		return s.near
	case s.number != o.number:
		return s.number > o.number
	}
	return s.session < o.session
}

// Fetched is a configuration that was received whole.
type Fetched struct {
	config frame.Config
	source string
	took   time.Duration
}

// Config returns the configuration in packed form.
func (f Fetched) Config() frame.Config {
	return f.config
}

// Source returns the name of the process that sent the last piece.
func (f Fetched) Source() string {
	return f.source
}

// Took returns the time from the first request to the last piece.
func (f Fetched) Took() time.Duration {
	return f.took
}

// Fetch receives one configuration at a time.
type Fetch struct {
	// source is the process that is asked, with session 0 while none is.
	source Source
	// waiting is set while a request is not answered that was sent at asked.
	waiting bool
	asked   time.Duration
	began   time.Duration
	// number, checksum, total and data describe what has been received.
	number   int64
	checksum uint32
	total    int
	data     []byte
	// avoided has the time until which a session is not asked.
	avoided map[uint64]time.Duration
}

// Request returns the request that is due to one of the sources with a version above a
// number, and its session. It reports false if none is due.
func (f *Fetch) Request(now time.Duration, above int64, sources func(yield func(Source) bool)) (uint64, frame.ConfigRequest, bool) {
	if f.waiting && now-f.asked < pieceTimeout {
		return 0, frame.ConfigRequest{}, false
	}
	if f.waiting {
		f.avoid(now)
	}
	if f.source.session == 0 && !f.choose(now, above, sources) {
		return 0, frame.ConfigRequest{}, false
	}
	f.waiting = true
	f.asked = now
	return f.source.session, frame.NewConfigRequest(f.checksum, len(f.data)), true
}

// choose selects the source that is asked from now on.
func (f *Fetch) choose(now time.Duration, above int64, sources func(yield func(Source) bool)) bool {
	var best Source
	for s := range sources {
		if s.number > above && now >= f.avoided[s.session] && (best.session == 0 || s.before(best)) {
			best = s
		}
	}
	f.source = best
	if best.session != 0 && len(f.data) == 0 {
		f.began = now
	}
	return best.session != 0
}

// avoid gives the current source up for some time. What was received of a version may be
// completed by another process that has packed the same.
func (f *Fetch) avoid(now time.Duration) {
	if f.avoided == nil || len(f.avoided) > maxWaiting {
		f.avoided = map[uint64]time.Duration{}
	}
	f.avoided[f.source.session] = now + avoidTime
	f.source = Source{}
	f.waiting = false
}

// Closed records that a session has ended.
func (f *Fetch) Closed(session uint64) {
	delete(f.avoided, session)
	if f.source.session == session {
		f.source = Source{}
		f.waiting = false
	}
}

// Receive adds a piece. It returns the configuration once it is whole and its version is
// above a number.
func (f *Fetch) Receive(now time.Duration, session uint64, above int64, p frame.ConfigPiece) (Fetched, bool) {
	if session != f.source.session || !f.waiting {
		return Fetched{}, false
	}
	f.waiting = false
	if p.Number() <= above || p.Total() > maxPackedBytes || len(p.Data()) == 0 {
		f.avoid(now)
		return Fetched{}, false
	}
	if p.Checksum() != f.checksum || p.Number() != f.number || p.Total() != f.total {
		f.number = p.Number()
		f.checksum = p.Checksum()
		f.total = p.Total()
		f.data = nil
	}
	if p.Offset() != len(f.data) || len(f.data)+len(p.Data()) > f.total {
		f.avoid(now)
		return Fetched{}, false
	}
	f.data = append(f.data, p.Data()...)
	if len(f.data) < f.total {
		return Fetched{}, false
	}
	return f.finish(now)
}

// finish returns the received configuration and is ready for the next one.
func (f *Fetch) finish(now time.Duration) (Fetched, bool) {
	data, source := f.data, f.source
	valid := crc32.ChecksumIEEE(data) == f.checksum
	if !valid {
		f.avoid(now)
	}
	done := Fetched{
		config: frame.NewConfig(f.number, data),
		source: source.name,
		took:   now - f.began,
	}
	f.source = Source{}
	f.number, f.checksum, f.total, f.data = 0, 0, 0, nil
	return done, valid
}
