package directory

import (
	"math"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

// The times of the exchange between directories.
const (
	// DigestInterval is the period of digests while the store answers.
	DigestInterval = time.Second
	// outageInterval is the period of the digests that go straight to all
	// directories while the store does not answer.
	outageInterval = 250 * time.Millisecond
	// DigestFanout bounds the directories that get a digest while the store answers.
	DigestFanout = 8
	// downAge and handleGap together are the age of 1 s that a report of an outage
	// may have when a member is confirmed because of it.
	downAge = 700 * time.Millisecond
	// answersAge is two hops of digests.
	answersAge = 2*DigestInterval + outageInterval
	// MinStoreUptime is the age of a report of an outage (1 s), a lease (1.5 s) and a
	// credit (0.5 s): how long the store must have answered before shards of a
	// process that is not heard may move.
	MinStoreUptime = 3 * time.Second
	// quorumAge is the age of the heartbeats that give weight to a report.
	quorumAge = time.Second
	// minCells is the number of cells from which two majorities mean something.
	minCells = 3
	// slowAfter is the age of a lease call after which the store counts as down.
	slowAfter = 700 * time.Millisecond
	// sinceLimit keeps the encoding of old reports short.
	sinceLimit = 10 * time.Second
)

// report is what a cell says about the store, by the own clock.
type report struct {
	answers bool
	stated  time.Time
	since   time.Time
}

// peer is what another directory says of its cell.
type peer struct {
	process identity.Process
	digest  membership.Digest
	at      time.Time
}

// storeState notes whether the store answers this directory.
func (d *Directory) storeState(now time.Time, answers bool) {
	if answers != d.answers || d.answersSince.IsZero() {
		d.answers = answers
		d.answersSince = now
		d.digestAt = time.Time{}
	}
}

// observe brings the own report and the right to confirm up to date. The right
// survives an outage of the store only without a gap: once it has ended, only
// the store can give it back.
func (d *Directory) observe(now time.Time) {
	if d.lease != nil && now.Sub(d.lease.sent) >= slowAfter {
		d.storeState(now, false)
	}
	d.ownReport(now)
	d.entitledNow = d.until.After(now) || (now.Sub(d.entitledAt) <= handleGap && d.outage(now))
	if d.entitledNow {
		d.entitledAt = now
	}
}

// ownReport states what this directory sees while more than half of its cell
// beats to it. It begins one quorumAge after that, when a predecessor of the
// same cell can no longer count the same heartbeats.
func (d *Directory) ownReport(now time.Time) {
	for _, h := range d.ordered() {
		if !h.own {
			continue
		}
		if !h.written || !d.quorum(now, h) {
			h.quorumSince = time.Time{}
			delete(d.reports, membership.KeyOf(h.name))
			continue
		}
		if h.quorumSince.IsZero() {
			h.quorumSince = now
		}
		since := d.answersSince
		if from := h.quorumSince.Add(quorumAge); from.After(since) {
			since = from
		}
		if since.After(now) {
			continue
		}
		d.reports[membership.KeyOf(h.name)] = report{
			answers: d.answers,
			stated:  now,
			since:   since,
		}
	}
}

// quorum counts names, not runs: after a whole cell was restarted its roster
// lists as many former runs as new ones until the former are declared lost, which
// needs the quorum.
func (d *Directory) quorum(now time.Time, h *held) bool {
	cell, _ := d.fleet.Cell(h.name)
	names := map[string]bool{}
	for _, m := range cell.ActiveMembers() {
		s, ok := h.members[m.Process()]
		names[m.Process().Name()] = names[m.Process().Name()] || (ok && now.Sub(s.last) <= quorumAge)
	}
	n := 0
	for _, beats := range names {
		if beats {
			n++
		}
	}
	return 2*n > len(names)
}

// outage tells whether most cells, the own one included, report now that the
// store does not answer.
func (d *Directory) outage(now time.Time) bool {
	cells := d.voters
	if len(cells) < minCells {
		return false
	}
	n, own := 0, false
	for _, c := range cells {
		r, ok := d.reports[membership.KeyOf(c.Name())]
		if !ok || r.answers || now.Sub(r.stated) > downAge {
			continue
		}
		n++
		if h, ok := d.cells[c.Name()]; ok && h.own {
			own = true
		}
	}
	return own && 2*n > len(cells)
}

// available tells whether most cells have reported for AnswersFor that the store
// answers, so that no directory can be confirming members without it.
func (d *Directory) available(now time.Time) bool {
	cells := d.voters
	if len(cells) < minCells {
		return true
	}
	n := 0
	for _, c := range cells {
		r, ok := d.reports[membership.KeyOf(c.Name())]
		if ok && r.answers && now.Sub(r.stated) <= answersAge && now.Sub(r.since) >= MinStoreUptime {
			n++
		}
	}
	return 2*n > len(cells)
}

// OutageMode tells operators whether the region has enough cells to go on
// without the store.
func (d *Directory) OutageMode() bool {
	return len(d.voters) >= minCells
}

// keepDigests sends the digest when it is due.
func (d *Directory) keepDigests(now time.Time) {
	interval := DigestInterval
	if !d.answers {
		interval = outageInterval
	}
	if now.Sub(d.digestAt) < interval {
		return
	}
	d.digestAt = now
	for _, m := range d.neighbours(d.answers) {
		d.sendDigest(now, m)
	}
}

func (d *Directory) sendDigest(now time.Time, to membership.Member) {
	for _, h := range d.ordered() {
		if h.own {
			d.emit(PeerAddress{
				member: to,
			})
			d.send(to.Process(), d.digest(now, h))
		}
	}
}

func (d *Directory) digest(now time.Time, h *held) membership.Digest {
	var reports []membership.StoreReport
	for _, c := range d.voters {
		r, ok := d.reports[membership.KeyOf(c.Name())]
		if age := now.Sub(r.stated); ok && age <= answersAge {
			reports = append(reports, membership.NewStoreReport(membership.KeyOf(c.Name()), r.answers, age, min(now.Sub(r.since), sinceLimit)))
		}
	}
	var members, inForce, free uint32
	for _, m := range h.members {
		if now.Sub(m.last) > quorumAge {
			continue
		}
		members++
		free += m.beat.Free()
		if m.beat.Versions().Configuration() >= d.version {
			inForce++
		}
	}
	return membership.NewDigest(h.name, d.versions(), reports, members, inForce, free)
}

// neighbours are the directories that get a digest: all while the store does
// not answer, else those that follow from this one's place in a de Bruijn graph,
// the graph with the fewest links by which a report reaches all directories in
// two hops. With DigestLinks it does so for up to 64 cells.
func (d *Directory) neighbours(few bool) []membership.Member {
	var holders []membership.Member
	own := -1
	for _, c := range d.fleet.Region(d.set.region) {
		p := c.Holder().Process()
		if p == d.set.self.Process() {
			if own >= 0 {
				continue
			}
			own = len(holders)
		}
		if !p.IsZero() {
			holders = append(holders, c.Holder())
		}
	}
	n := len(holders)
	links := min(int(math.Ceil(math.Sqrt(float64(n)))), DigestFanout)
	var out []membership.Member
	for i, m := range holders {
		// The graph leads from own to links*own, …, links*own+links-1, modulo n.
		step := (i - links*max(own, 0)%n + n) % n
		if i != own && (!few || n <= DigestFanout || step < links) {
			out = append(out, m)
		}
	}
	return out
}

func (d *Directory) ownCell(c membership.CellKey) bool {
	for _, h := range d.cells {
		if h.own && membership.KeyOf(h.name) == c {
			return true
		}
	}
	return false
}

// digested takes the digest of another directory. A directory that is new to
// this one gets an answer at once.
func (d *Directory) digested(now time.Time, from identity.Process, g membership.Digest) {
	for _, r := range g.Reports() {
		if d.ownCell(r.Cell()) {
			continue
		}
		stated := now.Add(-r.Stated())
		if known, ok := d.reports[r.Cell()]; ok && !stated.After(known.stated) {
			continue
		}
		d.reports[r.Cell()] = report{
			answers: r.Answers(),
			stated:  stated,
			since:   now.Add(-r.Since()),
		}
	}
	known, ok := d.peers[g.Cell()]
	d.peers[g.Cell()] = peer{
		process: from,
		digest:  g,
		at:      now,
	}
	if (!ok || known.process != from) && len(d.cells) > 0 {
		d.sendDigest(now, membership.NewMember(from, "", "", time.Time{}))
	}
	if g.Versions().Configuration() > d.version && !d.answers {
		// The store cannot give it now, but the other directory has it.
		d.send(from, membership.NewFetch(membership.ConfigurationPart, g.Versions().Configuration()))
	}
}

// spread counts the members of the region that have this directory's
// configuration version in force. A cell whose directory has another version has
// none of them counted.
func (d *Directory) spread(now time.Time) membership.Rollout {
	var inForce, members uint32
	for _, h := range d.ordered() {
		g := d.digest(now, h)
		inForce += g.InForce()
		members += g.Members()
	}
	for _, c := range d.voters {
		p, ok := d.peers[c.Name()]
		if !ok || d.claimed(c.Name()) {
			continue
		}
		members += p.digest.Members()
		if p.digest.Versions().Configuration() >= d.version {
			inForce += p.digest.InForce()
		}
	}
	return membership.NewRollout(d.version, inForce, members)
}
