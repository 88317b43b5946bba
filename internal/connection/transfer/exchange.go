package transfer

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/version/freshness"
)

const (
	// announcedAge is the age from which a version counts as known everywhere, so that
	// its age is not sent.
	announcedAge = 10 * time.Second
	// useWait is how long a fetched configuration may take to be in use before it is
	// fetched again.
	useWait = 2 * time.Second
)

// Exchange is what a process has and knows of configurations, and how it exchanges them
// with the processes that it is connected to.
type Exchange struct {
	held      frame.Config
	freshness freshness.Freshness
	fetch     Fetch
	supply    Supply
	// fetched is the version that was fetched last, at fetchedAt. It may not be in use
	// yet.
	fetched   int64
	fetchedAt time.Duration
}

// Held returns the configuration that the process has, with number 0 if it has none.
func (x *Exchange) Held() frame.Config {
	return x.held
}

// Behind returns for how long a newer version than the held one has been known of, and
// from whom it was learned; false if there is none.
func (x *Exchange) Behind(now time.Duration) (age time.Duration, source string, behind bool) {
	return x.freshness.Behind(now)
}

// Hold replaces the held configuration by a newer one, which was confirmed at or before
// a time. It returns for how long the process was behind, and whether it was and is not
// any more.
func (x *Exchange) Hold(now time.Duration, c frame.Config, confirmed time.Duration, source string) (age time.Duration, caughtUp bool) {
	x.held = c
	age, _, behind := x.freshness.Behind(now)
	x.freshness.Heard(c.Number(), confirmed, source)
	return age, x.freshness.Applied(c.Number()) && behind
}

// Refuted records the newest stored version when a read of the store began. A higher
// version that was heard of before does not exist.
func (x *Exchange) Refuted(newest int64, readBegan time.Duration) {
	x.freshness.Refuted(newest, readBegan)
}

// Unusable records a version that the process can't use, so that it does not fetch it
// again and does not count as behind it.
func (x *Exchange) Unusable(number int64) {
	x.freshness.Invalid(number)
}

// Announce adds to a frame which versions the process has and knows of.
func (x *Exchange) Announce(now time.Duration, f frame.Frame) frame.Frame {
	f.ConfigVersion = x.held.Number()
	newest, age := x.freshness.Newest(now)
	if newest > f.ConfigVersion {
		f.NewestVersion = newest
	}
	if newest > 0 && age < announcedAge {
		f.NewestAge = max(age, time.Microsecond)
	}
	return f
}

// Heard records the versions that a frame announces. It returns the newest of them, and
// whether the process is behind from now on and was not before.
func (x *Exchange) Heard(now time.Duration, source string, f frame.Frame) (newest int64, began bool) {
	newest = max(f.ConfigVersion, f.NewestVersion)
	if newest <= 0 {
		return 0, false
	}
	age := f.NewestAge
	if age <= 0 {
		age = announcedAge
	}
	return newest, x.freshness.Heard(newest, now-age, source)
}

// Received processes the request and the piece of a frame. Urgent is set for a process
// that needs the configuration to serve callers. It returns a newer configuration once
// its last piece has arrived.
func (x *Exchange) Received(now time.Duration, session uint64, urgent bool, f frame.Frame) (Fetched, bool) {
	if f.ConfigRequest != nil {
		x.supply.Requested(session, urgent, *f.ConfigRequest)
	}
	if f.ConfigPiece == nil {
		return Fetched{}, false
	}
	done, ok := x.fetch.Receive(now, session, x.held.Number(), *f.ConfigPiece)
	if ok {
		x.fetched = done.config.Number()
		x.fetchedAt = now
	}
	return done, ok
}

// Request returns the request for a piece of a newer configuration that is due, and the
// session that it goes to. It reports false if none is due.
func (x *Exchange) Request(now time.Duration, sources func(yield func(Source) bool)) (uint64, frame.ConfigRequest, bool) {
	above := x.held.Number()
	if now-x.fetchedAt < useWait {
		above = max(above, x.fetched)
	}
	return x.fetch.Request(now, above, sources)
}

// Piece returns the piece of the held configuration that is due, and the session that it
// goes to. It reports false if none is due.
func (x *Exchange) Piece(now time.Duration) (uint64, frame.ConfigPiece, bool) {
	return x.supply.Next(now, x.held)
}

// Closed records that a session has ended.
func (x *Exchange) Closed(session uint64) {
	x.fetch.Closed(session)
	x.supply.Closed(session)
}
