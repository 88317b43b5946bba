package dispatch

import (
	"slices"
	"strings"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/connection/transfer"
	"greengagedoor.example/greengagedoor/internal/process/event"
)

const (
	// storeAdvantage is how long an entry that is behind waits for its own read of the
	// store before it asks another process, and startAdvantage the same for an entry
	// without a configuration.
	storeAdvantage = 400 * time.Millisecond
	startAdvantage = 100 * time.Millisecond
	// refusalDivisor divides the time in which a configuration must be in force. An entry
	// that lacks it for longer than the result refuses new jobs. The rest is for the way of
	// the number from the store to this entry.
	refusalDivisor = 2
	// rereadAge is from when on an entry that is behind reads the store anew: the watch
	// that was open when it learned of the version has ended without it.
	rereadAge = 1200 * time.Millisecond
	// configKeepers is the number of agents that an entry asks to keep a copy of the
	// configuration, for entries that start while the store is unreachable.
	configKeepers = 2
)

func (d *Dispatch) updateVersion(now time.Duration, ev Event) {
	v := ev.version
	if d.version != nil && v.Number() <= d.version.Number() {
		return
	}
	d.version = v
	waited := time.Duration(0)
	if ev.queued > 0 {
		waited = now - ev.queued
	}
	d.logEvent(event.ConfigChanged, event.F("version", v.Number()), event.F("routes", v.Len()), event.F("bytes", len(ev.config.Body())),
		event.F("source", ev.arrival.source), event.F("read_ms", ev.arrival.read.Milliseconds()),
		event.F("decode_ms", ev.arrival.decoded.Milliseconds()), event.F("waited_ms", waited.Milliseconds()))
	if age, caughtUp := d.configuration.Hold(now, ev.config, now-waited, ev.arrival.source); caughtUp {
		d.logEvent(event.ConfigCaughtUp, event.F("version", v.Number()), event.F("behind_ms", age.Milliseconds()))
	}
}

// receiveConfiguration processes what a frame says of configurations.
func (d *Dispatch) receiveConfiguration(now time.Duration, m received, source string) {
	if newest, began := d.configuration.Heard(now, source, m.frame); began {
		d.logEvent(event.ConfigBehind, event.F("version", d.configuration.Held().Number()), event.F("newest", newest),
			event.F("source", source), event.F("age_ms", m.frame.NewestAge.Milliseconds()))
	}
	_, fromEntry := d.peers[m.session]
	if x, done := d.configuration.Received(now, m.session, fromEntry, m.frame); done {
		d.out.configs = append(d.out.configs, ReceivedConfig{
			config:  x.Config(),
			arrival: NewArrival(x.Source(), x.Took(), 0),
		})
	}
}

// sendConfiguration asks another process for a newer configuration, and sends the piece
// of the active one that is due.
func (d *Dispatch) sendConfiguration(now time.Duration) {
	if d.wantsFetch(now) {
		if session, r, due := d.configuration.Request(now, d.configurationSources); due {
			d.sendConfigurationFrame(now, session, frame.Frame{
				ConfigRequest: &r,
			})
		}
	}
	if session, p, due := d.configuration.Piece(now); due {
		d.sendConfigurationFrame(now, session, frame.Frame{
			ConfigPiece: &p,
		})
	}
}

// wantsFetch reports whether the entry has waited long enough for its own read of the
// store.
func (d *Dispatch) wantsFetch(now time.Duration) bool {
	if d.version == nil {
		return now >= d.startup.until-startupWait+startAdvantage
	}
	age, _, behind := d.configuration.Behind(now)
	return behind && age >= storeAdvantage
}

// reasonBehind is the reason while the entry lacks a configuration that must be in force.
const reasonBehind = "configuration_behind"

// updateRefusing decides whether new jobs are refused, since a version that must be in
// force is not. An entry that can get the version from nowhere serves by the one that it
// has: the store and all that have the version are lost, and waiting helps no caller.
func (d *Dispatch) updateRefusing(now time.Duration) {
	age, source, behind := d.configuration.Behind(now)
	refusing := behind && d.version != nil && age >= d.timing.configApply/refusalDivisor && d.newerAvailable()
	if refusing == d.refusing {
		return
	}
	d.refusing = refusing
	d.logEvent(event.ConfigRefusing, event.F("refusing", refusing), event.F("version", d.configuration.Held().Number()),
		event.F("behind_ms", age.Milliseconds()), event.F("source", source))
}

// newerAvailable reports whether a newer version can be had: from the store, or from a
// connected process.
func (d *Dispatch) newerAvailable() bool {
	if d.storeAnswers {
		return true
	}
	for s := range d.configurationSources {
		if s.Number() > d.configuration.Held().Number() {
			return true
		}
	}
	return false
}

// RereadStore reports whether the entry needs a new read of the store, since its watch
// has not shown a version that others know of.
func (d *Dispatch) RereadStore(now time.Duration) bool {
	age, _, behind := d.configuration.Behind(now)
	return behind && age >= rereadAge
}

// unknownRoute returns the answer to a request for a route that this entry does not know. While it is
// behind, the route may be new, so the caller is told to come back.
func (d *Dispatch) unknownRoute(now time.Duration) (State, string, time.Duration) {
	if _, _, behind := d.configuration.Behind(now); behind {
		return StateRefused, reasonBehind, defaultRetryAfter
	}
	return StateUnknown, "no_route", 0
}

// configurationSources lists the processes with their versions.
func (d *Dispatch) configurationSources(yield func(transfer.Source) bool) {
	for _, n := range d.peersWhere(func(*peer) bool { return true }) {
		p := d.peers[n]
		if !yield(transfer.NewSource(n, p.name, p.knownConfig, p.zone == d.hello.Zone())) {
			return
		}
	}
	for _, a := range d.connected {
		if !yield(transfer.NewSource(a.session, a.name, a.knownConfig, a.zone == d.hello.Zone())) {
			return
		}
	}
}

func (d *Dispatch) sendConfigurationFrame(now time.Duration, session uint64, f frame.Frame) {
	f = d.configuration.Announce(now, f)
	if a, ok := d.sessions[session]; ok {
		f.Echo = a.clock
		f.KeepConfig = a.keepsConfig
		f.Leaving = d.leaving
	} else {
		f.Clock = now
	}
	d.out.frames = append(d.out.frames, OutgoingFrame{
		session: session,
		frame:   f,
	})
}

// chooseKeepers selects the agents that keep a copy of the configuration: those of the
// own availability zone first, by name, so that the entries of a zone choose the same.
func (d *Dispatch) chooseKeepers() {
	order := func(a, b *agent) int {
		if x, y := a.zone == d.hello.Zone(), b.zone == d.hello.Zone(); x != y {
			if x {
				return -1
			}
			return 1
		}
		return strings.Compare(a.name, b.name)
	}
	var keepers []*agent
	for _, a := range d.connected {
		a.keepsConfig = false
		at, _ := slices.BinarySearchFunc(keepers, a, order)
		if at < configKeepers {
			keepers = slices.Insert(keepers, at, a)
			keepers = keepers[:min(len(keepers), configKeepers)]
		}
	}
	for _, a := range keepers {
		a.keepsConfig = true
	}
}
