package host

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/role/network"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

const (
	registryInterval = 400 * time.Millisecond
	registryLease    = 1500 * time.Millisecond
	agentPrefix      = "agents/"
)

// registry tells the roles of a process about the other processes and the
// configuration. Every agent has a key in the store, and shards go to the agent
// that ranks first. The directories of the design page replace it.
type registry struct {
	common  Common
	agent   bool
	network *network.Network
	publish func(context.Context, any)
	version uint64
	owned   map[identity.Shard]bool
	routes  map[identity.Shard]identity.Process
}

type agentDocument struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"availability_zone"`
}

func (r *registry) run(ctx context.Context) error {
	ticker := time.NewTicker(registryInterval)
	defer ticker.Stop()
	joined := !r.agent
	for {
		if !joined {
			joined = r.join(ctx) == nil
		}
		if joined {
			r.refresh(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *registry) join(ctx context.Context) error {
	value, err := json.Marshal(agentDocument{
		Name:        r.common.process.Name(),
		Incarnation: r.common.process.Incarnation(),
		Address:     r.common.linkAddress,
		Zone:        r.common.zone,
	})
	if err != nil {
		return errors.Wrap(err, "encode agent")
	}
	key := agentPrefix + r.common.process.Name()
	var index uint64
	if p, err := r.common.store.Read(ctx, key); err == nil {
		index = p.Index()
	}
	ok, err := r.common.store.Swap(ctx, key, value, index)
	if err == nil && !ok {
		err = errors.New("another process has the name")
	}
	return err
}

func (r *registry) refresh(ctx context.Context) {
	sent := r.common.now()
	r.configuration(ctx)
	pairs, _, err := r.common.store.List(ctx, agentPrefix)
	if err != nil {
		r.common.log.WithError(err).Warn("store does not answer")
		return
	}
	var members []membership.Member
	for _, p := range pairs {
		var d agentDocument
		if err := json.Unmarshal(p.Value(), &d); err != nil {
			continue
		}
		id, err := identity.NewProcess(d.Name, d.Incarnation)
		if err != nil {
			continue
		}
		members = append(members, membership.NewMember(id, d.Address, d.Zone, time.Time{}))
		_ = r.network.Post(network.NewAddress(id, d.Address))
	}
	r.publish(ctx, membership.NewLease(sent.Add(registryLease)))
	r.publish(ctx, membership.NewWorkingSet(members))
	r.assign(ctx, members)
}

func (r *registry) configuration(ctx context.Context) {
	head, err := r.common.store.Read(ctx, configuration.HeadKey)
	if err != nil {
		return
	}
	h, err := configuration.DecodeHead(head.Value())
	if err != nil {
		r.common.log.WithError(err).Error("head of the configuration cannot be decoded")
		return
	}
	if h.Version() <= r.version {
		return
	}
	body, err := r.common.store.Read(ctx, h.Key())
	if err != nil {
		return
	}
	if err := h.Check(body.Value()); err != nil {
		r.common.log.WithError(err).Error("configuration does not match its head")
		return
	}
	cfg, err := configuration.Decode(body.Value())
	if err != nil {
		r.common.log.WithError(err).Error("configuration cannot be decoded")
		return
	}
	r.version = h.Version()
	r.publish(ctx, cfg)
}

func (r *registry) assign(ctx context.Context, members []membership.Member) {
	var changed []membership.Route
	for s := identity.Shard(0); int(s) < r.common.shards; s++ {
		owner := firstRanked(s, members)
		if r.routes[s] == owner {
			continue
		}
		r.routes[s] = owner
		changed = append(changed, membership.NewRoute(s, 1, owner))
		switch {
		case owner == r.common.process:
			r.owned[s] = true
			r.publish(ctx, membership.NewGranted(s, 1, nil))
		case r.owned[s]:
			delete(r.owned, s)
			r.publish(ctx, membership.NewReleased(s))
		}
	}
	if len(changed) > 0 {
		r.publish(ctx, membership.NewRoutes(changed))
	}
}

func firstRanked(s identity.Shard, members []membership.Member) identity.Process {
	var best identity.Process
	var rank uint64
	for _, m := range members {
		h := xxhash.Sum64String(strconv.Itoa(int(s)) + "/" + m.Process().Name())
		if best.IsZero() || h > rank {
			best = m.Process()
			rank = h
		}
	}
	return best
}
