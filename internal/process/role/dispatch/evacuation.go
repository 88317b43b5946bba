package dispatch

import (
	"fmt"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/version/evacuation"
)

// evacuatedZone is what an entry tells operators about an evacuated zone.
type evacuatedZone struct {
	// since is when the entry learned of it.
	since time.Duration
	// starts counts the tasks that were placed there since.
	starts int
}

// EvacuationsRead is the event of the evacuated zones that a read of the store showed.
func EvacuationsRead(s evacuation.Set) Event {
	return Event{
		evacuated: &s,
	}
}

// Evacuated returns the evacuated availability zones that the entry knows of.
func (d *Dispatch) Evacuated() evacuation.Set {
	return d.evacuated
}

// DescribeEvacuations returns a line for each evacuated zone.
func (d *Dispatch) DescribeEvacuations(now time.Duration) []string {
	lines := []string{fmt.Sprintf("revision=%d zones=%d", d.evacuated.Revision(), len(d.evacuated.Zones()))}
	for _, z := range d.evacuated.Zones() {
		e := d.evacuatedZones[z]
		agents, runs := d.countIn(z)
		lines = append(lines, fmt.Sprintf("zone=%s since_ms=%d agents=%d runs=%d starts_since=%d", z, (now-e.since).Milliseconds(), agents, runs, e.starts))
	}
	return lines
}

// receiveEvacuations processes the set that another process sent, and returns the newest
// one that it is known to have.
func (d *Dispatch) receiveEvacuations(now time.Duration, known, received evacuation.Set, source string) evacuation.Set {
	d.updateEvacuated(now, received, source)
	if received.Newer(known) {
		return received
	}
	return known
}

// updateEvacuated takes over a newer set of evacuated zones. Runs there go on; jobs that
// have not started and have no other target are refused.
func (d *Dispatch) updateEvacuated(now time.Duration, s evacuation.Set, source string) {
	if !s.Newer(d.evacuated) {
		return
	}
	previous := d.evacuated
	d.evacuated = s
	if s.SameZones(previous) {
		return
	}
	for _, z := range previous.Without(s) {
		e := d.evacuatedZones[z]
		delete(d.evacuatedZones, z)
		d.logEvent(event.EvacuationEnded, event.F("zone", z), event.F("revision", s.Revision()), event.F("source", source),
			event.F("lasted_ms", (now-e.since).Milliseconds()), event.F("starts", e.starts))
	}
	began := s.Without(previous)
	for _, z := range began {
		d.evacuatedZones[z] = &evacuatedZone{
			since: now,
		}
		agents, runs := d.countIn(z)
		d.logEvent(event.EvacuationBegan, event.F("zone", z), event.F("revision", s.Revision()), event.F("source", source),
			event.F("agents", agents), event.F("runs", runs))
	}
	for _, a := range d.agents {
		d.reviewEvacuated(a)
	}
	d.countAgents()
	d.loadMeasured = false
	if len(began) > 0 {
		d.refuseEvacuated(now)
	}
}

// reviewEvacuated decides whether an agent is in an evacuated zone.
func (d *Dispatch) reviewEvacuated(a *agent) {
	a.evacuated = d.evacuated.Has(a.zone) || d.evacuated.Has(a.target.Zone())
}

// inZone reports whether an agent or its target is in a zone. Both are on one host.
func (a *agent) inZone(zone string) bool {
	return a.zone == zone || a.target.Zone() == zone
}

// countIn counts the connected agents in a zone and their runs.
func (d *Dispatch) countIn(zone string) (agents, runs int) {
	for _, a := range d.connected {
		if a.inZone(zone) {
			agents++
			runs += len(a.runs)
		}
	}
	return agents, runs
}

// countStart counts a start in an evacuated zone, of which there must be none.
func (d *Dispatch) countStart(a *agent) {
	if !a.evacuated {
		return
	}
	for z, e := range d.evacuatedZones {
		if a.inZone(z) {
			e.starts++
		}
	}
}

// allEvacuated reports whether a service has connected targets, and all of them are in
// evacuated zones.
func (d *Dispatch) allEvacuated(service string) bool {
	found := false
	for _, a := range d.connected {
		if a.target.Service() != service {
			continue
		}
		if !a.evacuated {
			return false
		}
		found = true
	}
	return found
}

// refuseEvacuated refuses the queued jobs that have not started and whose targets are all
// in evacuated zones. Their callers may find another entry with targets.
func (d *Dispatch) refuseEvacuated(now time.Duration) {
	for _, j := range append([]*job(nil), d.queue...) {
		if !j.started && d.allEvacuated(j.route.Service()) {
			d.finish(now, j, StateRefused, event.ReasonEvacuated)
		}
	}
}
