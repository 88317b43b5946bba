package host

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/ledger"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
	"greengagedoor.example/greengagedoor/internal/process/role/directory"
	"greengagedoor.example/greengagedoor/internal/process/role/member"
	"greengagedoor.example/greengagedoor/internal/process/role/network"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// DefaultCellSize is the number of agents for which a directory was sized.
const DefaultCellSize = 36

const (
	workingAgents = 32
	// storeRing holds more than the calls that a decision can have in flight.
	storeRing = 16
	// leaveLimit covers the hand-over of the shards and the last heartbeat.
	leaveLimit = 8 * time.Second
)

// ErrExpelled ends a process that was declared lost, after a pause or a cut: its
// shards may have moved, so only a new incarnation can join.
var ErrExpelled = errors.New("the directory has declared this process lost; it has to start anew")

// station is a process's part in the membership: the member, and in an agent
// the directory that acts when it holds a cell.
type station struct {
	common    Common
	post      func(any) error
	publish   func(context.Context, any)
	free      func() uint32
	member    *role
	directory *role
	stores    *stores
	expelled  *ring.Ring[struct{}]
	left      *ring.Ring[struct{}]
	resigned  *ring.Ring[struct{}]
	freeSent  uint32
}

func newStation(c Common, agent bool, post func(any) error, publish func(context.Context, any), free func() uint32) (*station, error) {
	s := &station{
		common:  c,
		post:    post,
		publish: publish,
		free:    free,
	}
	for name, r := range map[string]**ring.Ring[struct{}]{"expelled": &s.expelled, "left": &s.left, "resigned": &s.resigned} {
		made, err := ring.New[struct{}](name, 1)
		if err != nil {
			return nil, err
		}
		*r = made
	}
	self := membership.NewMember(c.process, c.linkAddress, c.zone, time.Time{})
	set, err := member.NewSettings(self, c.region, agent, c.cell, c.cellSize)
	if err != nil {
		return nil, err
	}
	m := member.New(set)
	s.member, err = newRole("member", c.now, message.Wake{}, func(now time.Time, e any) { s.applyMember(now, m, e) })
	if err != nil {
		return nil, err
	}
	s.member.snapshot = func() any { return m.Snapshot(c.now()) }
	if agent {
		if err := s.addDirectory(self); err != nil {
			return nil, err
		}
	}
	s.stores, err = newStores(c, s.member, s.directory)
	return s, err
}

func (s *station) addDirectory(self membership.Member) error {
	layout, err := membership.NewLayout(s.common.regions, s.common.shards)
	if err != nil {
		return err
	}
	set, err := directory.NewSettings(self, s.common.region, layout, ledger.RecordRetention(retention, agent.MaxCallerSkew), workingAgents)
	if err != nil {
		return err
	}
	d := directory.New(set)
	s.directory, err = newRole("directory", s.common.now, message.Wake{}, func(now time.Time, e any) { s.applyDirectory(now, d, e) })
	if err != nil {
		return err
	}
	s.directory.snapshot = func() any { return d.Snapshot(s.common.now()) }
	return nil
}

// duties lists the station's goroutines.
func (s *station) duties() ([]duty.Duty, error) {
	m, err := s.member.duty("Keeps this process's membership.")
	if err != nil {
		return nil, err
	}
	end, err := duty.New("membership_end", "Ends a process that was declared lost.", nil, func(ctx context.Context) error {
		if _, err := s.expelled.Pop(ctx); err != nil {
			return nil
		}
		return ErrExpelled
	})
	if err != nil {
		return nil, err
	}
	all := []duty.Duty{end, m}
	if s.directory != nil {
		d, err := s.directory.duty("Keeps the roster and the shards of a cell while this process holds its lease.")
		if err != nil {
			return nil, err
		}
		all = append(all, d)
	}
	stores, err := s.stores.duties()
	return append(all, stores...), err
}

// deliver takes the messages between members and directories. It is false for
// any other message.
func (s *station) deliver(ctx context.Context, r message.Received) bool {
	switch r.Body().(type) {
	case membership.HeartbeatAck, membership.RevokeRequest:
		_ = s.member.ring.Push(ctx, r)
	case membership.FetchReply:
		_ = s.member.ring.Push(ctx, r)
		s.toDirectory(ctx, r)
	case membership.Heartbeat, membership.Fetch, membership.ReleaseNotice, membership.Digest:
		s.toDirectory(ctx, r)
	default:
		return false
	}
	return true
}

func (s *station) toDirectory(ctx context.Context, e any) {
	if s.directory != nil {
		_ = s.directory.ring.Push(ctx, e)
	}
}

// stopped notes that the owner has given up a shard. A full ring loses it; the
// member asks the owner again.
func (s *station) stopped(r membership.Released) {
	_ = s.member.ring.TryPush(member.NewShardStopped(r.Shard()))
}

// leave hands the shards over and gives up the cell before the process ends.
func (s *station) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	if s.member.ring.Push(ctx, member.Leave{}) != nil {
		return
	}
	_, _ = s.left.Pop(ctx)
	if s.directory != nil && s.directory.ring.Push(ctx, directory.Resign{}) == nil {
		_, _ = s.resigned.Pop(ctx)
	}
}

func (s *station) applyMember(now time.Time, m *member.Member, event any) {
	if n := s.free(); n != s.freeSent {
		s.freeSent = n
		s.memberEffects(m.Handle(now, member.NewFreeSlots(n)))
	}
	s.memberEffects(m.Handle(now, event))
}

func (s *station) memberEffects(effects []any) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case message.Send:
			// Every message of a member is repeated until it is answered.
			_ = s.post(e)
		case member.PeerAddress:
			_ = s.post(network.NewAddress(e.Member().Process(), e.Member().Address()))
		case member.Lookup:
			_ = s.stores.looks.TryPush(e)
		case member.AcquireCell:
			s.common.log.WithField("cell", e.Cell().Name()).Info("trying to take the cell's lease")
			_ = s.directory.ring.TryPush(directory.NewAcquireCell(e.Cell()))
		case member.ConfigurationUpdate:
			s.configure(e)
		case member.Expelled:
			_ = s.expelled.TryPush(struct{}{})
		case member.Left:
			_ = s.left.TryPush(struct{}{})
		default:
			s.publish(context.Background(), e)
		}
	}
}

func (s *station) configure(e member.ConfigurationUpdate) {
	cfg, err := configuration.Decode(e.Data())
	if err != nil {
		s.common.log.WithError(err).WithField("version", e.Version()).Error("configuration cannot be decoded")
		return
	}
	s.publish(context.Background(), cfg)
}

func (s *station) applyDirectory(now time.Time, d *directory.Directory, event any) {
	before := len(d.Cells())
	for _, effect := range d.Handle(now, event) {
		switch e := effect.(type) {
		case message.Send:
			// Confirmations and recalls are repeated by the next heartbeat or recall.
			_ = s.post(e)
		case directory.PeerAddress:
			_ = s.post(network.NewAddress(e.Member().Process(), e.Member().Address()))
		case directory.Resigned:
			_ = s.resigned.TryPush(struct{}{})
		default:
			s.stores.post(e)
		}
	}
	if len(d.Cells()) != before {
		s.common.log.WithField("cells", d.Cells()).Info("cells of this directory")
	}
}
