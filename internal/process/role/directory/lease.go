package directory

import (
	"sort"
	"strconv"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

// take queues the claim of the own cell.
func (d *Directory) take(now time.Time, c membership.Cell) {
	if d.ending || d.claimed(c.Name()) {
		return
	}
	d.claims = append(d.claims, &held{
		name:     c.Name(),
		own:      true,
		zone:     c.Zone(),
		free:     now,
		freeTerm: c.Term(),
		members:  map[identity.Process]*heard{},
		gone:     map[identity.Process]time.Time{},
	})
}

func (d *Directory) claimed(name string) bool {
	if _, ok := d.cells[name]; ok {
		return true
	}
	for _, c := range d.claims {
		if c.name == name {
			return true
		}
	}
	return false
}

func (d *Directory) call(now time.Time, effect any) {
	d.lease = &call{
		effect: effect,
		sent:   now,
	}
	d.emit(effect)
}

// keepLease sends the next lease call when none is in flight.
func (d *Directory) keepLease(now time.Time) {
	if d.lease != nil || now.Before(d.retryAt) {
		return
	}
	// A session that holds nothing any more is not renewed: a lease that it still
	// holds, because a Drop did not take effect, ends with it.
	d.release()
	switch {
	case d.ending:
		d.end(now)
	case d.session == "" && len(d.claims) > 0:
		d.call(now, OpenSession{})
	case d.session == "":
	case now.Sub(d.renewed) >= RenewInterval:
		d.call(now, RenewSession{
			session: d.session,
		})
	case len(d.claims) > 0:
		d.call(now, AcquireLease{
			cell:    d.claims[0].name,
			holder:  d.set.self,
			session: d.session,
		})
	default:
		d.dropNext(now)
	}
}

func (d *Directory) dropNext(now time.Time) {
	for _, h := range d.ordered() {
		if h.drop {
			// Nothing is confirmed or written for the cell from here on.
			delete(d.cells, h.name)
			d.plan = nil
			d.dropped = now
			d.call(now, ReleaseLease{
				cell:    h.name,
				session: d.session,
			})
			return
		}
	}
	for _, c := range d.fleet.Region(d.set.region) {
		// An earlier Drop may not have taken effect.
		if c.Session() == d.session && !d.claimed(c.Name()) && d.readFrom.After(d.dropped) {
			d.dropped = now
			d.call(now, ReleaseLease{
				cell:    c.Name(),
				session: d.session,
			})
			return
		}
	}
}

func (d *Directory) end(now time.Time) {
	if d.session == "" {
		return
	}
	d.call(now, CloseSession{
		session: d.session,
	})
	d.session = ""
	d.until = time.Time{}
}

// leaseEnded takes the answer of the lease call. A session counts from the
// sending of the call, since the store may have carried it out at once.
func (d *Directory) leaseEnded(now time.Time, e LeaseResult) {
	if d.lease == nil {
		return
	}
	c := *d.lease
	d.lease = nil
	d.storeState(now, e.outcome == Done || e.outcome == Refused)
	if e.outcome == Failed || e.outcome == Unknown {
		d.retryAt = now.Add(retryInterval)
	}
	switch effect := c.effect.(type) {
	case OpenSession:
		if e.outcome == Done {
			d.session = e.session
			d.renewed = c.sent
			d.until = c.sent.Add(SessionTTL)
		}
	case RenewSession:
		d.renewEnded(now, c.sent, e.outcome)
	case AcquireLease:
		d.acquireEnded(effect, e.outcome)
	case ReleaseLease:
		d.reread = true
	case CloseSession:
		d.emit(Resigned{})
	}
}

func (d *Directory) renewEnded(now, sent time.Time, o Outcome) {
	switch o {
	case Done:
		d.renewed = sent
		d.until = sent.Add(SessionTTL)
	case Refused:
		d.lapsed(now)
	}
}

// lapsed notes that the session has ended. The cells are claimed anew under
// another session; nobody else may have taken them.
func (d *Directory) lapsed(now time.Time) {
	d.session = ""
	d.until = time.Time{}
	for _, h := range d.ordered() {
		delete(d.cells, h.name)
		d.plan = nil
		if !h.own {
			continue
		}
		h.free = now
		h.freeTerm = h.term
		h.written = false
		d.claims = append(d.claims, h)
	}
	d.emit(Watch{
		on: false,
	})
}

func (d *Directory) acquireEnded(a AcquireLease, o Outcome) {
	if len(d.claims) == 0 || d.claims[0].name != a.cell || a.session != d.session {
		return
	}
	switch o {
	case Done:
		d.hold()
	case Refused:
		d.claims = d.claims[1:]
		d.release()
	case Unknown:
		// The next Acquire by the same session succeeds if this one did.
	}
}

func (d *Directory) hold() {
	h := d.claims[0]
	d.claims = d.claims[1:]
	if len(d.cells) == 0 {
		d.emit(Watch{
			on: true,
		})
	}
	d.cells[h.name] = h
	h.term = 0
	h.seen = false
	d.reread = true
}

// release ends a session that holds nothing.
func (d *Directory) release() {
	if len(d.cells) > 0 || len(d.claims) > 0 || d.session == "" || d.ending {
		return
	}
	d.session = ""
	d.until = time.Time{}
	d.emit(Watch{
		on: false,
	})
}

// lose gives up a cell that another directory has taken.
func (d *Directory) lose(h *held) {
	delete(d.cells, h.name)
	d.plan = nil
	d.release()
}

func (d *Directory) resign() {
	d.ending = true
	d.claims = nil
	if d.session == "" && d.lease == nil {
		d.emit(Resigned{})
	}
}

// takeOver claims the cells of the region that have members and no directory.
func (d *Directory) takeOver(now time.Time) {
	for _, c := range d.fleet.Region(d.set.region) {
		if !c.Holder().Process().IsZero() || len(c.ActiveMembers()) == 0 {
			delete(d.absent, c.Name())
			continue
		}
		since, ok := d.absent[c.Name()]
		if !ok {
			d.absent[c.Name()] = now
			continue
		}
		if d.claimed(c.Name()) || now.Sub(since) < takeoverAfter+time.Duration(d.rank(c))*rankDelay {
			continue
		}
		d.claims = append(d.claims, &held{
			name:     c.Name(),
			zone:     c.Zone(),
			free:     since,
			freeTerm: c.Term(),
			members:  map[identity.Process]*heard{},
			gone:     map[identity.Process]time.Time{},
		})
	}
}

// rank is the place of this directory among those that may take over a cell.
func (d *Directory) rank(lost membership.Cell) int {
	subject := "takeover/" + lost.Name() + "/" + strconv.FormatUint(lost.Term(), 10)
	own := membership.Rank(subject, d.set.self.Process().Name())
	rank := 0
	for _, c := range d.fleet.Region(d.set.region) {
		p := c.Holder().Process()
		if !p.IsZero() && p != d.set.self.Process() && membership.Rank(subject, p.Name()) > own {
			rank++
		}
	}
	return rank
}

func sortedNames(cells map[string]*held) []string {
	names := make([]string, 0, len(cells))
	for n := range cells {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

func sortedProcesses(members map[identity.Process]*heard) []identity.Process {
	ps := make([]identity.Process, 0, len(members))
	for p := range members {
		ps = append(ps, p)
	}
	sort.Slice(ps, func(i, j int) bool { return ps[i].String() < ps[j].String() })
	return ps
}
