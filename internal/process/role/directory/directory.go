// Package directory decides for a cell of agents.
//
// Every agent has a directory, and in one agent of each cell it holds the cell's
// lease in the store. Only that one confirms heartbeats, keeps the roster, and
// assigns the shard groups for which its cell ranks first.
//
// Three fences keep two directories of a cell from acting against each other. A
// directory acts only while its session is certainly alive, counted from the
// sending of the last renewal. Its first write raises the roster's term by
// compare-and-swap, so that a late write of its predecessor fails. And it
// declares nobody lost before every confirmation of its predecessor has ended.
//
// All stored state comes back by reading it: after each write, answered or not,
// the state is listed again, and the next decision starts from what it shows.
package directory

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// The times of a directory.
const (
	// SessionTTL is the time to live of the cell's lease.
	SessionTTL = 1600 * time.Millisecond
	// RenewInterval leaves room for one lost renewal within SessionTime.
	RenewInterval = 600 * time.Millisecond
	// leaseTime is a member's lease, counted from its last heartbeat here.
	leaseTime = 1500 * time.Millisecond
	// LostAfter is a member's lease and the credit after it: from then on no start
	// of the member can take effect.
	LostAfter = leaseTime + 500*time.Millisecond
	// retryInterval separates attempts at a store that does not answer.
	retryInterval = 200 * time.Millisecond
	// handleGap is a pause after which waiting heartbeats may not have been read yet.
	handleGap = 300 * time.Millisecond
	// forgetAfter drops entries that no longer beat; they are in no roster.
	forgetAfter = 5 * time.Second
	// takeoverAfter is the time without lease after which other cells compete for
	// it: 3 s after the last renewal at the earliest.
	takeoverAfter = 3*time.Second - SessionTTL
	rankDelay     = 200 * time.Millisecond
)

// Settings are what a directory is told at its start.
type Settings struct {
	self      membership.Member
	region    int
	layout    membership.Layout
	retention time.Duration
	agents    int
}

// NewSettings checks the settings. Retention is how long departed members stay
// in the roster; agents bounds the working set of an owner.
func NewSettings(self membership.Member, region int, layout membership.Layout, retention time.Duration, agents int) (Settings, error) {
	if self.Process().IsZero() || region < 0 || region >= layout.Regions() || retention <= 0 || agents < 1 {
		return Settings{}, errors.Errorf("directory %s in region %d, retention %v, working set of %d", self.Process(), region, retention, agents)
	}
	return Settings{
		self:      self,
		region:    region,
		layout:    layout,
		retention: retention,
		agents:    agents,
	}, nil
}

// heard is what a directory knows of a process that beats.
type heard struct {
	last time.Time
	beat membership.Heartbeat
}

// held is a cell whose lease this directory holds.
type held struct {
	name string
	own  bool
	zone string
	// free is when the lease was first seen without holder: the predecessor had
	// stopped confirming by then.
	free time.Time
	// freeTerm is the roster's term at that time. Another one shows that somebody
	// held the lease in between.
	freeTerm uint64
	term     uint64
	// written tells that the roster shows this directory's term.
	written bool
	members map[identity.Process]*heard
	gone    map[identity.Process]time.Time
	// quorumSince is when more than half of the cell began to beat.
	quorumSince time.Time
	// seen tells that a listed fleet has shown this directory as the holder.
	seen bool
	drop bool
}

// call is the lease call in flight; there is at most one.
type call struct {
	effect any
	sent   time.Time
}

// change is the write or read of the fleet in flight; there is at most one.
type change struct {
	number uint64
	sent   time.Time
	retry  time.Time
}

// Directory is the decision.
type Directory struct {
	set     Settings
	session string
	until   time.Time
	renewed time.Time
	lease   *call
	retryAt time.Time
	claims  []*held
	cells   map[string]*held
	fleet   membership.Fleet
	plan    *plan
	// voters are the region's cells with members.
	voters []membership.Cell
	change *change
	number uint64
	marks  uint64
	reread bool
	// readFrom is when the newest finished read of the fleet was sent.
	readFrom time.Time
	version  uint64
	body     []byte
	head     uint64
	headAt   time.Time
	absent   map[string]time.Time
	yields   map[identity.Shard]yielded
	recalls  map[identity.Shard]recalled
	moved    time.Time
	dropped  time.Time
	handled  time.Time
	resumed  time.Time
	ending   bool
	// answers tells whether the store answers this directory, and since when.
	answers      bool
	answersSince time.Time
	digestAt     time.Time
	reports      map[membership.CellKey]report
	peers        map[string]peer
	entitledNow  bool
	entitledAt   time.Time
	effects      []any
}

type yielded struct {
	epoch identity.Epoch
	at    time.Time
}

type recalled struct {
	epoch identity.Epoch
	at    time.Time
}

// New returns a directory that holds no cell.
func New(s Settings) *Directory {
	return &Directory{
		set:     s,
		cells:   map[string]*held{},
		absent:  map[string]time.Time{},
		yields:  map[identity.Shard]yielded{},
		recalls: map[identity.Shard]recalled{},
		reports: map[membership.CellKey]report{},
		peers:   map[string]peer{},
	}
}

// Handle takes one event and returns the effects. The slice is valid until the
// next call.
func (d *Directory) Handle(now time.Time, event any) []any {
	clear(d.effects)
	d.effects = d.effects[:0]
	if now.Sub(d.handled) > handleGap {
		d.resumed = now
	}
	d.handled = now
	d.observe(now)
	switch e := event.(type) {
	case message.Received:
		d.received(now, e)
	case AcquireCell:
		d.take(now, e.cell)
	case LeaseResult:
		d.leaseEnded(now, e)
	case WriteResult:
		d.stored(now, e)
	case FleetUpdate:
		d.watched(now, e.fleet)
	case LatestVersion:
		d.head = max(d.head, e.version)
	case Configuration:
		d.configuration(e.version, e.data)
	case Resign:
		d.resign()
	}
	d.wake(now)
	return d.effects
}

// Cells lists the cells that the directory holds.
func (d *Directory) Cells() []string {
	var names []string
	for _, h := range d.ordered() {
		names = append(names, h.name)
	}
	return names
}

// Active tells whether the directory may change anything of a cell.
func (d *Directory) Active(now time.Time, cell string) bool {
	h, ok := d.cells[cell]
	return ok && h.written && d.until.After(now) && !d.ending
}

// Fleet is the newest stored state that the directory has seen.
func (d *Directory) Fleet() membership.Fleet {
	return d.fleet
}

func (d *Directory) emit(e any) {
	d.effects = append(d.effects, e)
}

func (d *Directory) send(to identity.Process, body any) {
	d.emit(message.NewSend(to, body))
}

func (d *Directory) wake(now time.Time) {
	d.keepLease(now)
	if len(d.cells) == 0 {
		return
	}
	d.forget(now)
	d.takeOver(now)
	d.keepDigests(now)
	d.keepConfiguration(now)
	d.keepStored(now)
}

// ordered lists the held cells by name, so that equal states act equally.
func (d *Directory) ordered() []*held {
	var hs []*held
	for _, c := range sortedNames(d.cells) {
		hs = append(hs, d.cells[c])
	}
	return hs
}

func (d *Directory) received(now time.Time, r message.Received) {
	switch b := r.Body().(type) {
	case membership.Heartbeat:
		d.beat(now, r.From(), b)
	case membership.Fetch:
		d.fetch(r.From(), b)
	case membership.ReleaseNotice:
		d.yield(now, r.From(), b)
	case membership.Digest:
		d.digested(now, r.From(), b)
	case membership.FetchReply:
		if b.Part() == membership.ConfigurationPart {
			d.configuration(b.Version(), b.Data())
		}
	}
}

func (d *Directory) versions() membership.Versions {
	return membership.NewVersions(d.version, d.fleet.GroupsVersion(), d.fleet.MemberListsVersion())
}

// beat answers a heartbeat. Without the right to confirm it stays silent, so that
// the member looks for another directory.
func (d *Directory) beat(now time.Time, from identity.Process, b membership.Heartbeat) {
	h, ok := d.cells[b.Cell()]
	if !ok || d.ending {
		return
	}
	if !h.own && b.Agent() {
		// A member of a cell that was lost as a whole has come back.
		h.drop = true
		return
	}
	m, ok := h.members[from]
	if !ok {
		m = &heard{}
		h.members[from] = m
	}
	if !b.Departed() {
		// A process that has handed over is declared lost when nothing that it
		// sent can take effect any more, like one that stopped beating.
		m.last = now
	}
	if b.Self().Process().IsZero() {
		b = b.WithSelf(m.beat.Self())
	}
	m.beat = b
	if !d.entitledNow {
		return
	}
	v := d.versions()
	if v == b.Versions() {
		v = membership.Versions{}
	}
	c := membership.NewHeartbeatAck(b.Number(), h.term, d.standing(h, from, b), v)
	if !b.Agent() {
		c = c.WithRollout(d.spread(now))
	}
	d.send(from, c)
}

func (d *Directory) standing(h *held, from identity.Process, b membership.Heartbeat) membership.Status {
	if !b.Agent() {
		return membership.Announced
	}
	cell, _ := d.fleet.Cell(h.name)
	stored, ok := cell.Member(from)
	if b.Departed() {
		return membership.Departed
	}
	if _, gone := h.gone[from]; !ok || (gone && stored.Lost().IsZero()) || !h.written {
		return membership.Waiting
	}
	if stored.Lost().IsZero() {
		return membership.Confirmed
	}
	return membership.Lost
}

// announce tells all members of the versions, and of the directory if it is new.
func (d *Directory) announce(h *held) {
	told := map[identity.Process]bool{}
	for _, p := range sortedProcesses(h.members) {
		told[p] = true
		d.send(p, membership.NewHeartbeatAck(0, h.term, membership.Announced, d.versions()))
	}
	cell, _ := d.fleet.Cell(h.name)
	for _, m := range cell.ActiveMembers() {
		if !told[m.Process()] {
			d.emit(PeerAddress{
				member: m,
			})
			d.send(m.Process(), membership.NewHeartbeatAck(0, h.term, membership.Announced, d.versions()))
		}
	}
}

// forget drops the processes without roster entry that stopped beating.
func (d *Directory) forget(now time.Time) {
	for _, h := range d.cells {
		cell, _ := d.fleet.Cell(h.name)
		for p, m := range h.members {
			stored, ok := cell.Member(p)
			if now.Sub(m.last) >= forgetAfter && (!ok || !stored.Lost().IsZero()) {
				delete(h.members, p)
			}
		}
	}
}

// mark is unique to one write, since the incarnation is unique to one run.
func (d *Directory) mark() string {
	d.marks++
	return d.set.self.Process().String() + "/" + strconv.FormatUint(d.marks, 10)
}

func (d *Directory) ownMark(mark string) bool {
	return strings.HasPrefix(mark, d.set.self.Process().String()+"/")
}
