package directory

import (
	"math"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

// Parameters of the exchange of digests between directories.
const (
	// DigestInterval is the interval of digests while the store responds.
	DigestInterval = time.Second
	// outageInterval is the interval of digests while the store does not respond.
	// They are then sent to all directories.
	outageInterval = 250 * time.Millisecond
	// DigestFanout bounds the directories that get a digest while the store answers.
	DigestFanout = 8
	// outageReportAge is the maximum age of a report of an outage. Together with
	// pauseThreshold it makes 1 s, the maximum age of a report on which a member is
	// confirmed.
	outageReportAge = 700 * time.Millisecond
	// answersReportAge is the maximum age of a report that the store responds. It
	// allows for two hops of digests.
	answersReportAge = 2*DigestInterval + outageInterval
	// MinStoreUptime is how long the store must have responded before shards of a
	// silent process may move. It is the sum of the age of an outage report (1 s), a
	// lease (1.5 s) and the credit time (0.5 s).
	MinStoreUptime = 3 * time.Second
	// quorumWindow is the maximum age of a heartbeat that contributes to the quorum.
	quorumWindow = time.Second
	// minCells is the number of cells from which majorities are meaningful.
	minCells = 3
	// slowCallAge is the age at which an unanswered session or lease call means that
	// the store does not respond.
	slowCallAge = 700 * time.Millisecond
	// maxSince limits the reported time, which keeps the encoding of old reports short.
	maxSince = 10 * time.Second
)

// report is a cell's observation of the store, with times of the local clock.
type report struct {
	answers bool
	stated  time.Time
	since   time.Time
}

// peer is the last digest of another directory.
type peer struct {
	process    identity.Process
	digest     membership.Digest
	receivedAt time.Time
}

// setStoreState records whether the store responds to this directory.
func (d *Directory) setStoreState(now time.Time, answers bool) {
	if answers != d.answers || d.answersSince.IsZero() {
		d.answers = answers
		d.answersSince = now
		d.digestSentAt = time.Time{}
	}
}

// observe updates the report of this directory and its permission to confirm leases.
// During an outage of the store the permission continues only without interruption.
// Once it has ended, only a new store session restores it.
func (d *Directory) observe(now time.Time) {
	if d.leaseCall != nil && now.Sub(d.leaseCall.sent) >= slowCallAge {
		d.setStoreState(now, false)
	}
	d.updateOwnReport(now)
	d.mayConfirm = d.validUntil.After(now) || (now.Sub(d.mayConfirmAt) <= pauseThreshold && d.outageReported(now))
	if d.mayConfirm {
		d.mayConfirmAt = now
	}
}

// updateOwnReport updates the report of this directory's own cell while more than half
// of the cell sends heartbeats to it. The report begins quorumWindow after that, when a
// predecessor in the same cell can no longer count the same heartbeats.
func (d *Directory) updateOwnReport(now time.Time) {
	for _, h := range d.sortedCells() {
		if !h.own {
			continue
		}
		if !h.termWritten || !d.hasQuorum(now, h) {
			h.quorumSince = time.Time{}
			delete(d.reports, membership.KeyOf(h.name))
			continue
		}
		if h.quorumSince.IsZero() {
			h.quorumSince = now
		}
		since := d.answersSince
		if from := h.quorumSince.Add(quorumWindow); from.After(since) {
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

// hasQuorum reports whether more than half of the cell has sent a heartbeat within
// quorumWindow. It counts names, not runs: after a restart of the whole cell, the
// member list has as many previous runs as new ones until the previous ones are
// declared lost, which requires the quorum.
func (d *Directory) hasQuorum(now time.Time, h *heldCell) bool {
	cell, _ := d.fleet.Cell(h.name)
	names := map[string]bool{}
	for _, m := range cell.ActiveMembers() {
		s, ok := h.members[m.Process()]
		names[m.Process().Name()] = names[m.Process().Name()] || (ok && now.Sub(s.lastHeartbeat) <= quorumWindow)
	}
	n := 0
	for _, recent := range names {
		if recent {
			n++
		}
	}
	return 2*n > len(names)
}

// outageReported reports whether a majority of cells, including the directory's own,
// currently reports that the store does not respond.
func (d *Directory) outageReported(now time.Time) bool {
	cells := d.voters
	if len(cells) < minCells {
		return false
	}
	n, own := 0, false
	for _, c := range cells {
		r, ok := d.reports[membership.KeyOf(c.Name())]
		if !ok || r.answers || now.Sub(r.stated) > outageReportAge {
			continue
		}
		n++
		if h, ok := d.cells[c.Name()]; ok && h.own {
			own = true
		}
	}
	return own && 2*n > len(cells)
}

// storeAvailable reports whether a majority of cells has reported for MinStoreUptime
// that the store responds, so that no directory can be confirming members without it.
func (d *Directory) storeAvailable(now time.Time) bool {
	cells := d.voters
	if len(cells) < minCells {
		return true
	}
	n := 0
	for _, c := range cells {
		r, ok := d.reports[membership.KeyOf(c.Name())]
		if ok && r.answers && now.Sub(r.stated) <= answersReportAge && now.Sub(r.since) >= MinStoreUptime {
			n++
		}
	}
	return 2*n > len(cells)
}

// OutageMode reports whether the region has enough cells to continue without the store.
func (d *Directory) OutageMode() bool {
	return len(d.voters) >= minCells
}

// sendDigests sends the digests when they are due.
func (d *Directory) sendDigests(now time.Time) {
	interval := DigestInterval
	if !d.answers {
		interval = outageInterval
	}
	if now.Sub(d.digestSentAt) < interval {
		return
	}
	d.digestSentAt = now
	for _, m := range d.digestPeers(d.answers) {
		d.sendDigest(now, m)
	}
}

func (d *Directory) sendDigest(now time.Time, to membership.Member) {
	for _, h := range d.sortedCells() {
		if h.own {
			d.emit(PeerAddress{
				member: to,
			})
			d.send(to.Process(), d.digest(now, h))
		}
	}
}

func (d *Directory) digest(now time.Time, h *heldCell) membership.Digest {
	var reports []membership.StoreReport
	for _, c := range d.voters {
		r, ok := d.reports[membership.KeyOf(c.Name())]
		if age := now.Sub(r.stated); ok && age <= answersReportAge {
			reports = append(reports, membership.NewStoreReport(membership.KeyOf(c.Name()), r.answers, age, min(now.Sub(r.since), maxSince)))
		}
	}
	var members, inForce, free uint32
	for _, m := range h.members {
		if now.Sub(m.lastHeartbeat) > quorumWindow {
			continue
		}
		members++
		free += m.heartbeat.Free()
		if m.heartbeat.Versions().Configuration() >= d.version {
			inForce++
		}
	}
	return membership.NewDigest(h.name, d.versions(), reports, members, inForce, free)
}

// digestPeers returns the directories that get a digest. If sparse is false, these are
// all directories. Otherwise they are the successors of this directory in a de Bruijn
// graph, which has the fewest links by which a report reaches all directories in two
// hops. DigestFanout allows this for up to 64 cells.
func (d *Directory) digestPeers(sparse bool) []membership.Member {
	var holders []membership.Member
	own := -1
	for _, c := range d.fleet.Region(d.settings.region) {
		p := c.Holder().Process()
		if p == d.settings.self.Process() {
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
	fanout := min(int(math.Ceil(math.Sqrt(float64(n)))), DigestFanout)
	var out []membership.Member
	for i, m := range holders {
		// The successors of own are fanout*own, …, fanout*own+fanout-1, modulo n.
		step := (i - fanout*max(own, 0)%n + n) % n
		if i != own && (!sparse || n <= DigestFanout || step < fanout) {
			out = append(out, m)
		}
	}
	return out
}

func (d *Directory) isOwnCell(c membership.CellKey) bool {
	for _, h := range d.cells {
		if h.own && membership.KeyOf(h.name) == c {
			return true
		}
	}
	return false
}

// handleDigest merges the digest of another directory. It immediately sends a digest to
// a directory that it did not know before.
func (d *Directory) handleDigest(now time.Time, from identity.Process, g membership.Digest) {
	for _, r := range g.Reports() {
		if d.isOwnCell(r.Cell()) {
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
		process:    from,
		digest:     g,
		receivedAt: now,
	}
	if (!ok || known.process != from) && len(d.cells) > 0 {
		d.sendDigest(now, membership.NewMember(from, "", "", time.Time{}))
	}
	if g.Versions().Configuration() > d.version && !d.answers {
		// The store does not respond, but the other directory has the version.
		d.send(from, membership.NewFetch(membership.ConfigurationPart, g.Versions().Configuration()))
	}
}

// rollout counts the members of the region that have this directory's configuration
// version or a newer one. Members of a cell whose directory has an older version are
// not counted.
func (d *Directory) rollout(now time.Time) membership.Rollout {
	var inForce, members uint32
	for _, h := range d.sortedCells() {
		g := d.digest(now, h)
		inForce += g.InForce()
		members += g.Members()
	}
	for _, c := range d.voters {
		p, ok := d.peers[c.Name()]
		if !ok || d.heldOrPending(c.Name()) {
			continue
		}
		members += p.digest.Members()
		if p.digest.Versions().Configuration() >= d.version {
			inForce += p.digest.InForce()
		}
	}
	return membership.NewRollout(d.version, inForce, members)
}
