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

// DefaultCellSize is the default maximum number of agents in a cell. A directory is
// sized for it.
const DefaultCellSize = 36

const (
	workingSetSize = 32
	// storeRingSize exceeds the number of store calls that a state machine can have in
	// flight.
	storeRingSize = 16
	// leaveTimeout covers the release of the shards and the last heartbeat.
	leaveTimeout = 8 * time.Second
)

// ErrExpelled ends a process that the directory has declared lost after a pause or
// a network partition. Its shards may have moved, so only a new incarnation can
// join.
var ErrExpelled = errors.New("the directory has declared this process lost; restart it")

// cluster connects a process to the cluster. It runs the member role and, in an
// agent, the directory role, which is active while it holds the lease of a cell.
type cluster struct {
	common       Common
	post         func(any) error
	publish      func(context.Context, any)
	free         func() uint32
	member       *role
	directory    *role
	stores       *stores
	expelled     *ring.Ring[struct{}]
	left         *ring.Ring[struct{}]
	resigned     *ring.Ring[struct{}]
	reportedFree uint32
}

func newCluster(c Common, agent bool, post func(any) error, publish func(context.Context, any), free func() uint32) (*cluster, error) {
	cl := &cluster{
		common:  c,
		post:    post,
		publish: publish,
		free:    free,
	}
	for name, r := range map[string]**ring.Ring[struct{}]{"expelled": &cl.expelled, "left": &cl.left, "resigned": &cl.resigned} {
		created, err := ring.New[struct{}](name, 1)
		if err != nil {
			return nil, err
		}
		*r = created
	}
	self := membership.NewMember(c.process, c.linkAddress, c.zone, time.Time{})
	settings, err := member.NewSettings(self, c.region, agent, c.cell, c.cellSize)
	if err != nil {
		return nil, err
	}
	m := member.New(settings)
	cl.member, err = newRole("member", c.now, message.Wake{}, func(now time.Time, e any) { cl.applyMember(now, m, e) })
	if err != nil {
		return nil, err
	}
	cl.member.snapshot = func() any { return m.Snapshot(c.now()) }
	if agent {
		if err := cl.addDirectory(self); err != nil {
			return nil, err
		}
	}
	cl.stores, err = newStores(c, cl.member, cl.directory)
	return cl, err
}

func (cl *cluster) addDirectory(self membership.Member) error {
	layout, err := membership.NewLayout(cl.common.regions, cl.common.shards)
	if err != nil {
		return err
	}
	settings, err := directory.NewSettings(self, cl.common.region, layout, ledger.RecordRetention(retention, agent.MaxCallerSkew), workingSetSize)
	if err != nil {
		return err
	}
	d := directory.New(settings)
	cl.directory, err = newRole("directory", cl.common.now, message.Wake{}, func(now time.Time, e any) { cl.applyDirectory(now, d, e) })
	if err != nil {
		return err
	}
	cl.directory.snapshot = func() any { return d.Snapshot(cl.common.now()) }
	return nil
}

// duties returns the duties of the roles and of their store calls.
func (cl *cluster) duties() ([]duty.Duty, error) {
	m, err := cl.member.duty("Maintains the membership of this process.")
	if err != nil {
		return nil, err
	}
	expulsion, err := duty.New("membership_end", "Ends a process that was declared lost.", nil, func(ctx context.Context) error {
		if _, err := cl.expelled.Pop(ctx); err != nil {
			return nil
		}
		return ErrExpelled
	})
	if err != nil {
		return nil, err
	}
	all := []duty.Duty{expulsion, m}
	if cl.directory != nil {
		d, err := cl.directory.duty("Maintains the member list and the shards of a cell while this process holds its lease.")
		if err != nil {
			return nil, err
		}
		all = append(all, d)
	}
	stores, err := cl.stores.duties()
	return append(all, stores...), err
}

// deliver passes messages between members and directories to their role. It
// returns false for any other message.
func (cl *cluster) deliver(ctx context.Context, r message.Received) bool {
	switch r.Body().(type) {
	case membership.HeartbeatAck, membership.RevokeRequest:
		_ = cl.member.ring.Push(ctx, r)
	case membership.FetchReply:
		_ = cl.member.ring.Push(ctx, r)
		cl.toDirectory(ctx, r)
	case membership.Heartbeat, membership.Fetch, membership.ReleaseNotice, membership.Digest:
		cl.toDirectory(ctx, r)
	default:
		return false
	}
	return true
}

func (cl *cluster) toDirectory(ctx context.Context, e any) {
	if cl.directory != nil {
		_ = cl.directory.ring.Push(ctx, e)
	}
}

// shardStopped notifies the member that the owner has released a shard. A full ring
// drops the notification; the member then asks the owner again.
func (cl *cluster) shardStopped(r membership.Released) {
	_ = cl.member.ring.TryPush(member.NewShardStopped(r.Shard()))
}

// leave releases the shards and the cell's lease before the process ends.
func (cl *cluster) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if cl.member.ring.Push(ctx, member.Leave{}) != nil {
		return
	}
	_, _ = cl.left.Pop(ctx)
	if cl.directory != nil && cl.directory.ring.Push(ctx, directory.Resign{}) == nil {
		_, _ = cl.resigned.Pop(ctx)
	}
}

func (cl *cluster) applyMember(now time.Time, m *member.Member, event any) {
	if n := cl.free(); n != cl.reportedFree {
		cl.reportedFree = n
		cl.memberEffects(m.Handle(now, member.NewFreeSlots(n)))
	}
	cl.memberEffects(m.Handle(now, event))
}

func (cl *cluster) memberEffects(effects []any) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case message.Send:
			// The member resends every message until it is answered.
			_ = cl.post(e)
		case member.PeerAddress:
			_ = cl.post(network.NewAddress(e.Member().Process(), e.Member().Address()))
		case member.Lookup:
			_ = cl.stores.lookups.TryPush(e)
		case member.AcquireCell:
			cl.common.log.WithField("cell", e.Cell().Name()).Info("trying to acquire the cell's lease")
			_ = cl.directory.ring.TryPush(directory.NewAcquireCell(e.Cell()))
		case member.ConfigurationUpdate:
			cl.configure(e)
		case member.Expelled:
			_ = cl.expelled.TryPush(struct{}{})
		case member.Left:
			_ = cl.left.TryPush(struct{}{})
		default:
			cl.publish(context.Background(), e)
		}
	}
}

func (cl *cluster) configure(e member.ConfigurationUpdate) {
	cfg, err := configuration.Decode(e.Data())
	if err != nil {
		cl.common.log.WithError(err).WithField("version", e.Version()).Error("cannot decode configuration")
		return
	}
	cl.publish(context.Background(), cfg)
}

func (cl *cluster) applyDirectory(now time.Time, d *directory.Directory, event any) {
	before := len(d.Cells())
	for _, effect := range d.Handle(now, event) {
		switch e := effect.(type) {
		case message.Send:
			// Acknowledgements are repeated at the next heartbeat, revoke requests by the
			// directory.
			_ = cl.post(e)
		case directory.PeerAddress:
			_ = cl.post(network.NewAddress(e.Member().Process(), e.Member().Address()))
		case directory.Resigned:
			_ = cl.resigned.TryPush(struct{}{})
		default:
			cl.stores.post(e)
		}
	}
	if len(d.Cells()) != before {
		cl.common.log.WithField("cells", d.Cells()).Info("cells of this directory")
	}
}
