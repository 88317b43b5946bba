package directory

import (
	"sort"
	"strconv"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

// acquireCell queues the acquisition of the process's own cell.
func (d *Directory) acquireCell(now time.Time, c membership.Cell) {
	if d.resigning || d.heldOrPending(c.Name()) {
		return
	}
	d.pending = append(d.pending, &heldCell{
		name:      c.Name(),
		own:       true,
		zone:      c.Zone(),
		freeSince: now,
		freeTerm:  c.Term(),
		members:   map[identity.Process]*memberState{},
		lost:      map[identity.Process]time.Time{},
	})
}

func (d *Directory) heldOrPending(name string) bool {
	if _, ok := d.cells[name]; ok {
		return true
	}
	for _, c := range d.pending {
		if c.name == name {
			return true
		}
	}
	return false
}

func (d *Directory) call(now time.Time, effect any) {
	d.leaseCall = &call{
		effect: effect,
		sent:   now,
	}
	d.emit(effect)
}

// maintainLease sends the next session or lease call if none is in flight.
func (d *Directory) maintainLease(now time.Time) {
	if d.leaseCall != nil || now.Before(d.retryAt) {
		return
	}
	// A session without cells is not renewed. A lease that it still holds, because a
	// ReleaseLease did not take effect, expires with it.
	d.dropIdleSession()
	switch {
	case d.resigning:
		d.closeSession(now)
	case d.session == "" && len(d.pending) > 0:
		d.call(now, OpenSession{})
	case d.session == "":
	case now.Sub(d.renewedAt) >= RenewInterval:
		d.call(now, RenewSession{
			session: d.session,
		})
	case len(d.pending) > 0:
		d.call(now, AcquireLease{
			cell:    d.pending[0].name,
			holder:  d.settings.self,
			session: d.session,
		})
	default:
		d.releaseNext(now)
	}
}

// releaseNext releases the lease of a cell that the directory no longer serves.
func (d *Directory) releaseNext(now time.Time) {
	for _, h := range d.sortedCells() {
		if h.releasePending {
			// From now on nothing is confirmed or written for the cell.
			delete(d.cells, h.name)
			d.plan = nil
			d.leaseReleasedAt = now
			d.call(now, ReleaseLease{
				cell:    h.name,
				session: d.session,
			})
			return
		}
	}
	for _, c := range d.fleet.Region(d.settings.region) {
		// An earlier ReleaseLease may not have taken effect.
		if c.Session() == d.session && !d.heldOrPending(c.Name()) && d.readSentAt.After(d.leaseReleasedAt) {
			d.leaseReleasedAt = now
			d.call(now, ReleaseLease{
				cell:    c.Name(),
				session: d.session,
			})
			return
		}
	}
}

func (d *Directory) closeSession(now time.Time) {
	if d.session == "" {
		return
	}
	d.call(now, CloseSession{
		session: d.session,
	})
	d.session = ""
	d.validUntil = time.Time{}
}

// handleLeaseResult processes the result of the call in flight. The validity of a
// session is counted from when the call was sent, since the store may have executed it
// immediately.
func (d *Directory) handleLeaseResult(now time.Time, e LeaseResult) {
	if d.leaseCall == nil {
		return
	}
	c := *d.leaseCall
	d.leaseCall = nil
	d.setStoreState(now, e.outcome == Done || e.outcome == Refused)
	if e.outcome == Failed || e.outcome == Unknown {
		d.retryAt = now.Add(retryInterval)
	}
	switch effect := c.effect.(type) {
	case OpenSession:
		if e.outcome == Done {
			d.session = e.session
			d.renewedAt = c.sent
			d.validUntil = c.sent.Add(SessionTTL)
		}
	case RenewSession:
		d.handleRenewResult(now, c.sent, e.outcome)
	case AcquireLease:
		d.handleAcquireResult(effect, e.outcome)
	case ReleaseLease:
		d.reread = true
	case CloseSession:
		d.emit(Resigned{})
	}
}

func (d *Directory) handleRenewResult(now, sent time.Time, o Outcome) {
	switch o {
	case Done:
		d.renewedAt = sent
		d.validUntil = sent.Add(SessionTTL)
	case Refused:
		d.handleSessionExpiry(now)
	}
}

// handleSessionExpiry queues the process's own cell for acquisition under a new
// session, since no other directory may have acquired it.
func (d *Directory) handleSessionExpiry(now time.Time) {
	d.session = ""
	d.validUntil = time.Time{}
	for _, h := range d.sortedCells() {
		delete(d.cells, h.name)
		d.plan = nil
		if !h.own {
			continue
		}
		h.freeSince = now
		h.freeTerm = h.term
		h.termWritten = false
		d.pending = append(d.pending, h)
	}
	d.emit(Watch{
		enabled: false,
	})
}

func (d *Directory) handleAcquireResult(a AcquireLease, o Outcome) {
	if len(d.pending) == 0 || d.pending[0].name != a.cell || a.session != d.session {
		return
	}
	switch o {
	case Done:
		d.addCell()
	case Refused:
		d.pending = d.pending[1:]
		d.dropIdleSession()
	case Unknown:
		// The call is repeated. If this one took effect, the next one by the same
		// session succeeds as well.
	}
}

func (d *Directory) addCell() {
	h := d.pending[0]
	d.pending = d.pending[1:]
	if len(d.cells) == 0 {
		d.emit(Watch{
			enabled: true,
		})
	}
	d.cells[h.name] = h
	h.term = 0
	h.holderSeen = false
	d.reread = true
}

// dropIdleSession stops using a session without held or pending cells. The session
// expires in the store.
func (d *Directory) dropIdleSession() {
	if len(d.cells) > 0 || len(d.pending) > 0 || d.session == "" || d.resigning {
		return
	}
	d.session = ""
	d.validUntil = time.Time{}
	d.emit(Watch{
		enabled: false,
	})
}

// removeCell removes a cell that another directory has acquired.
func (d *Directory) removeCell(h *heldCell) {
	delete(d.cells, h.name)
	d.plan = nil
	d.dropIdleSession()
}

func (d *Directory) resign() {
	d.resigning = true
	d.pending = nil
	if d.session == "" && d.leaseCall == nil {
		d.emit(Resigned{})
	}
}

// takeOverCells queues the acquisition of the cells of the region that have active
// members but no directory.
func (d *Directory) takeOverCells(now time.Time) {
	for _, c := range d.fleet.Region(d.settings.region) {
		if !c.Holder().Process().IsZero() || len(c.ActiveMembers()) == 0 {
			delete(d.unheldSince, c.Name())
			continue
		}
		since, ok := d.unheldSince[c.Name()]
		if !ok {
			d.unheldSince[c.Name()] = now
			continue
		}
		if d.heldOrPending(c.Name()) || now.Sub(since) < takeoverAfter+time.Duration(d.rank(c))*rankDelay {
			continue
		}
		d.pending = append(d.pending, &heldCell{
			name:      c.Name(),
			zone:      c.Zone(),
			freeSince: since,
			freeTerm:  c.Term(),
			members:   map[identity.Process]*memberState{},
			lost:      map[identity.Process]time.Time{},
		})
	}
}

// rank returns the number of directories that rank before this one for the takeover
// of a cell.
func (d *Directory) rank(lost membership.Cell) int {
	subject := "takeover/" + lost.Name() + "/" + strconv.FormatUint(lost.Term(), 10)
	own := membership.Rank(subject, d.settings.self.Process().Name())
	rank := 0
	for _, c := range d.fleet.Region(d.settings.region) {
		p := c.Holder().Process()
		if !p.IsZero() && p != d.settings.self.Process() && membership.Rank(subject, p.Name()) > own {
			rank++
		}
	}
	return rank
}

func sortedNames(cells map[string]*heldCell) []string {
	names := make([]string, 0, len(cells))
	for n := range cells {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

func sortedProcesses(members map[identity.Process]*memberState) []identity.Process {
	ps := make([]identity.Process, 0, len(members))
	for p := range members {
		ps = append(ps, p)
	}
	sort.Slice(ps, func(i, j int) bool { return ps[i].String() < ps[j].String() })
	return ps
}
