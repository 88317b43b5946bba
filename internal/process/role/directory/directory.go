// Package directory confirms the membership leases of the agents in a cell and
// assigns shards to owners.
//
// Every agent process has a directory. In each cell, only the directory that holds
// the cell's lease in the store is active. It acknowledges heartbeats, maintains
// the member list, and assigns the shard groups for which its cell ranks first.
//
// Three rules prevent two directories of a cell from being active at once. A
// directory acts only while its store session is certainly valid, counted from
// when it sent the last renewal. Its first write raises the term of the member
// list by compare-and-swap, so that a late write of its predecessor fails. And it
// declares no member lost before every lease that its predecessor confirmed has
// expired.
//
// A directory lists the stored state after each write, answered or not, and bases its
// next decision on the result.
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

// Time limits of a directory.
const (
	// SessionTTL is the time to live of the store session that holds the leases.
	SessionTTL = 1600 * time.Millisecond
	// RenewInterval allows for one lost renewal within SessionTTL.
	RenewInterval = 600 * time.Millisecond
	// leaseTime is a member's lease, counted from the arrival of its last heartbeat.
	leaseTime = 1500 * time.Millisecond
	// LostAfter is a lease plus the credit time, after which no start can take effect.
	LostAfter = leaseTime + 500*time.Millisecond
	// retryInterval is the delay before a retry if the store does not respond.
	retryInterval = 200 * time.Millisecond
	// pauseThreshold is the time between two events that is treated as a pause of the
	// process. Heartbeats that arrived during a pause may not have been read yet.
	pauseThreshold = 300 * time.Millisecond
	// forgetAfter is the time after which a silent process in no member list is forgotten.
	forgetAfter = 5 * time.Second
	// takeoverAfter is the time without a lease holder after which directories of
	// other cells compete for the lease. It ends 3 s after the last renewal at the
	// earliest.
	takeoverAfter = 3*time.Second - SessionTTL
	// rankDelay is the additional delay for each higher-ranked competitor.
	rankDelay = 200 * time.Millisecond
)

// Settings are the parameters of a directory.
type Settings struct {
	self      membership.Member
	region    int
	layout    membership.Layout
	retention time.Duration
	maxAgents int
}

// NewSettings returns validated settings. Retention is how long lost members stay in
// the member list, and maxAgents limits the working set of an owner.
func NewSettings(self membership.Member, region int, layout membership.Layout, retention time.Duration, maxAgents int) (Settings, error) {
	if self.Process().IsZero() || region < 0 || region >= layout.Regions() || retention <= 0 || maxAgents < 1 {
		return Settings{}, errors.Errorf("invalid directory settings: process %s, region %d of %d, retention %v, working set of %d agents", self.Process(), region, layout.Regions(), retention, maxAgents)
	}
	return Settings{
		self:      self,
		region:    region,
		layout:    layout,
		retention: retention,
		maxAgents: maxAgents,
	}, nil
}

// memberState is the state of a process that sends heartbeats.
type memberState struct {
	lastHeartbeat time.Time
	heartbeat     membership.Heartbeat
}

// heldCell is a cell whose lease this directory holds or tries to acquire.
type heldCell struct {
	name string
	// own is false for a cell that was taken over because it had no directory left.
	own  bool
	zone string
	// freeSince is when the lease was first seen without a holder. By then the
	// predecessor had stopped confirming.
	freeSince time.Time
	// freeTerm is the term of the member list at that time. If the term has changed
	// since, another directory has held the lease in between.
	freeTerm uint64
	term     uint64
	// termWritten reports that the stored member list has this directory's term.
	termWritten bool
	members     map[identity.Process]*memberState
	lost        map[identity.Process]time.Time
	// quorumSince is since when more than half of the cell has sent heartbeats.
	quorumSince time.Time
	// holderSeen reports that a listed fleet had this directory as the holder.
	holderSeen     bool
	releasePending bool
}

// call is the session or lease call in flight. There is at most one.
type call struct {
	effect any
	sent   time.Time
}

// fleetCall is the write or read of the fleet in flight. There is at most one.
type fleetCall struct {
	number  uint64
	sent    time.Time
	retryAt time.Time
}

// Directory is the state machine of a process's directory.
type Directory struct {
	settings Settings
	session  string
	// validUntil is the time until which the session is certainly valid.
	validUntil time.Time
	renewedAt  time.Time
	leaseCall  *call
	retryAt    time.Time
	// pending are the cells to acquire, in this order.
	pending []*heldCell
	cells   map[string]*heldCell
	fleet   membership.Fleet
	plan    *plan
	// voters are the cells of the region that have active members.
	voters    []membership.Cell
	fleetCall *fleetCall
	number    uint64
	writeIDs  uint64
	// reread reports that the fleet has to be listed again before the next write.
	reread bool
	// readSentAt is when the last completed read of the fleet was sent.
	readSentAt time.Time
	// version is the configuration version of body.
	version uint64
	body    []byte
	// latestVersion is the newest configuration version in the store.
	latestVersion       uint64
	configurationReadAt time.Time
	// unheldSince is when a cell with active members was first seen without a holder.
	unheldSince map[string]time.Time
	releases    map[identity.Shard]releasedShard
	revokes     map[identity.Shard]revokedShard
	// changedAt is when a new state of the groups or member lists was last seen.
	changedAt       time.Time
	leaseReleasedAt time.Time
	// handledAt is the time of the latest event.
	handledAt time.Time
	// resumedAt is the end of the latest pause of the process.
	resumedAt time.Time
	resigning bool
	// answers reports whether the store responds to this directory.
	answers bool
	// answersSince is when answers last changed.
	answersSince time.Time
	digestSentAt time.Time
	reports      map[membership.CellKey]report
	peers        map[string]peer
	mayConfirm   bool
	// mayConfirmAt is when mayConfirm was last true.
	mayConfirmAt time.Time
	effects      []any
}

type releasedShard struct {
	epoch identity.Epoch
	at    time.Time
}

type revokedShard struct {
	epoch identity.Epoch
	at    time.Time
}

// New returns a directory that holds no lease.
func New(s Settings) *Directory {
	return &Directory{
		settings:    s,
		cells:       map[string]*heldCell{},
		unheldSince: map[string]time.Time{},
		releases:    map[identity.Shard]releasedShard{},
		revokes:     map[identity.Shard]revokedShard{},
		reports:     map[membership.CellKey]report{},
		peers:       map[string]peer{},
	}
}

// Handle processes an event and returns the effects. The slice is valid until the
// next call.
func (d *Directory) Handle(now time.Time, event any) []any {
	clear(d.effects)
	d.effects = d.effects[:0]
	if now.Sub(d.handledAt) > pauseThreshold {
		d.resumedAt = now
	}
	d.handledAt = now
	d.observe(now)
	switch e := event.(type) {
	case message.Received:
		d.handleMessage(now, e)
	case AcquireCell:
		d.acquireCell(now, e.cell)
	case LeaseResult:
		d.handleLeaseResult(now, e)
	case WriteResult:
		d.handleWriteResult(now, e)
	case FleetUpdate:
		d.handleFleetUpdate(now, e.fleet)
	case LatestVersion:
		d.latestVersion = max(d.latestVersion, e.version)
	case Configuration:
		d.setConfiguration(e.version, e.data)
	case Resign:
		d.resign()
	}
	d.wake(now)
	return d.effects
}

// Cells returns the names of the cells whose lease the directory holds, sorted.
func (d *Directory) Cells() []string {
	var names []string
	for _, h := range d.sortedCells() {
		names = append(names, h.name)
	}
	return names
}

// Active reports whether the directory may change the state of a cell.
func (d *Directory) Active(now time.Time, cell string) bool {
	h, ok := d.cells[cell]
	return ok && h.termWritten && d.validUntil.After(now) && !d.resigning
}

// Fleet returns the latest stored state that the directory has read.
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
	d.maintainLease(now)
	if len(d.cells) == 0 {
		return
	}
	d.forgetMembers(now)
	d.takeOverCells(now)
	d.sendDigests(now)
	d.readConfiguration(now)
	d.maintainStore(now)
}

// sortedCells returns the held cells by name, to make the order of effects deterministic.
func (d *Directory) sortedCells() []*heldCell {
	var hs []*heldCell
	for _, c := range sortedNames(d.cells) {
		hs = append(hs, d.cells[c])
	}
	return hs
}

func (d *Directory) handleMessage(now time.Time, r message.Received) {
	switch b := r.Body().(type) {
	case membership.Heartbeat:
		d.handleHeartbeat(now, r.From(), b)
	case membership.Fetch:
		d.handleFetch(r.From(), b)
	case membership.ReleaseNotice:
		d.handleReleaseNotice(now, r.From(), b)
	case membership.Digest:
		d.handleDigest(now, r.From(), b)
	case membership.FetchReply:
		if b.Part() == membership.ConfigurationPart {
			d.setConfiguration(b.Version(), b.Data())
		}
	}
}

func (d *Directory) versions() membership.Versions {
	return membership.NewVersions(d.version, d.fleet.GroupsVersion(), d.fleet.MemberListsVersion())
}

// handleHeartbeat acknowledges a heartbeat. A directory that may not confirm leases
// does not respond, so that the member looks for another directory.
func (d *Directory) handleHeartbeat(now time.Time, from identity.Process, b membership.Heartbeat) {
	h, ok := d.cells[b.Cell()]
	if !ok || d.resigning {
		return
	}
	if !h.own && b.Agent() {
		// The cell had lost all members, and one of them has returned.
		h.releasePending = true
		return
	}
	m, ok := h.members[from]
	if !ok {
		m = &memberState{}
		h.members[from] = m
	}
	if !b.Departed() {
		// A departed process is treated like one that stopped sending heartbeats: it is
		// declared lost when nothing that it sent can take effect anymore.
		m.lastHeartbeat = now
	}
	if b.Self().Process().IsZero() {
		b = b.WithSelf(m.heartbeat.Self())
	}
	m.heartbeat = b
	if !d.mayConfirm {
		return
	}
	v := d.versions()
	if v == b.Versions() {
		v = membership.Versions{}
	}
	c := membership.NewHeartbeatAck(b.Number(), h.term, d.status(h, from, b), v)
	if !b.Agent() {
		c = c.WithRollout(d.rollout(now))
	}
	d.send(from, c)
}

func (d *Directory) status(h *heldCell, from identity.Process, b membership.Heartbeat) membership.Status {
	if !b.Agent() {
		return membership.Announced
	}
	cell, _ := d.fleet.Cell(h.name)
	stored, ok := cell.Member(from)
	if b.Departed() {
		return membership.Departed
	}
	if _, lost := h.lost[from]; !ok || (lost && stored.Lost().IsZero()) || !h.termWritten {
		return membership.Waiting
	}
	if stored.Lost().IsZero() {
		return membership.Confirmed
	}
	return membership.Lost
}

// announce sends the versions to all members. This also makes a new directory known
// to them.
func (d *Directory) announce(h *heldCell) {
	notified := map[identity.Process]bool{}
	for _, p := range sortedProcesses(h.members) {
		notified[p] = true
		d.send(p, membership.NewHeartbeatAck(0, h.term, membership.Announced, d.versions()))
	}
	cell, _ := d.fleet.Cell(h.name)
	for _, m := range cell.ActiveMembers() {
		if !notified[m.Process()] {
			d.emit(PeerAddress{
				member: m,
			})
			d.send(m.Process(), membership.NewHeartbeatAck(0, h.term, membership.Announced, d.versions()))
		}
	}
}

// forgetMembers removes silent processes that are not active in the member list.
func (d *Directory) forgetMembers(now time.Time) {
	for _, h := range d.cells {
		cell, _ := d.fleet.Cell(h.name)
		for p, m := range h.members {
			stored, ok := cell.Member(p)
			if now.Sub(m.lastHeartbeat) >= forgetAfter && (!ok || !stored.Lost().IsZero()) {
				delete(h.members, p)
			}
		}
	}
}

// writeID returns a unique ID for one write, since every run has its own incarnation.
func (d *Directory) writeID() string {
	d.writeIDs++
	return d.settings.self.Process().String() + "/" + strconv.FormatUint(d.writeIDs, 10)
}

func (d *Directory) ownWriteID(id string) bool {
	return strings.HasPrefix(id, d.settings.self.Process().String()+"/")
}
