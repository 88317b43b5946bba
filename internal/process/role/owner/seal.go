package owner

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ledger"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/job"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// The parameters of failover.
const (
	// sealDelay gathers the shards that are granted together into one message for
	// each agent.
	sealDelay = 2 * time.Millisecond
	// sealLimit is how long the owner waits for an agent's records.
	sealLimit = 700 * time.Millisecond
	// maxHeld bounds the requests that wait for the sealing of one shard.
	maxHeld = 10_000
)

// holding is a shard that this process owns. It ends when the shard is released.
type holding struct {
	grant    message.Grant
	granted  time.Time // No start of a former owner takes effect after this.
	batch    *batch
	ready    bool
	released bool
	awaiting int       // Agents that may be alive and have not sealed the shard.
	lost     time.Time // When the last agent was lost that had not sealed the shard.
	held     []message.Received
	subs     map[*submission]struct{}
	found    map[identity.Submission]*remnant
}

// remnant is what records say about a submission whose body is not known here.
type remnant struct {
	key       identity.Submission
	home      *holding
	tasks     map[uint32]job.Found
	waiters   []waiter
	cancelled bool
}

// batch is a set of shards that are sealed together.
type batch struct {
	holdings []*holding
	index    map[identity.Shard]int
	members  map[identity.Process]*sealing
	order    []identity.Process
}

// sealing is one agent of a batch; sealed marks the shards that it has sealed.
type sealing struct {
	lost   time.Time
	sealed []bool
}

func (o *Owner) granted(now time.Time, e membership.Granted) {
	if h, ok := o.shards[e.Shard()]; ok {
		if h.grant.Epoch() >= e.Epoch() {
			return
		}
		o.release(e.Shard())
	}
	h := &holding{
		grant:   message.NewGrant(e.Shard(), e.Epoch()),
		granted: now,
		subs:    map[*submission]struct{}{},
		found:   map[identity.Submission]*remnant{},
	}
	o.shards[e.Shard()] = h
	if len(e.Agents()) == 0 {
		h.ready = true
		return
	}
	o.join(now, h, e.Agents())
}

// join adds a shard to the batch that is sealed next.
func (o *Owner) join(now time.Time, h *holding, roster []membership.Member) {
	if o.opening == nil {
		o.opening = &batch{
			index:   map[identity.Shard]int{},
			members: map[identity.Process]*sealing{},
		}
		o.arm(now.Add(sealDelay), sendSeal, o.opening)
	}
	b := o.opening
	h.batch = b
	b.index[h.grant.Shard()] = len(b.holdings)
	b.holdings = append(b.holdings, h)
	for _, m := range roster {
		s, ok := b.members[m.Process()]
		if !ok {
			s = &sealing{}
			b.members[m.Process()] = s
			b.order = append(b.order, m.Process())
		}
		if m.Lost().After(s.lost) {
			s.lost = m.Lost()
		}
		if _, gone := o.departed[m.Process()]; gone && s.lost.IsZero() {
			s.lost = now
		}
	}
}

// sealBatch asks every agent that may be alive; the departed ones are gaps.
func (o *Owner) sealBatch(now time.Time, b *batch) {
	o.opening = nil
	o.batches = append(o.batches, b)
	grants := make([]message.Grant, 0, len(b.holdings))
	for _, h := range b.holdings {
		grants = append(grants, h.grant)
	}
	for _, p := range b.order {
		s := b.members[p]
		s.sealed = make([]bool, len(b.holdings))
		for _, h := range b.holdings {
			if h.released {
				continue
			}
			if s.lost.IsZero() {
				h.awaiting++
			} else if s.lost.After(h.lost) {
				h.lost = s.lost
			}
		}
		if s.lost.IsZero() {
			o.send(p, message.NewFence(grants))
		}
	}
	for _, h := range b.holdings {
		if h.awaiting == 0 {
			o.open(now, h)
		}
	}
	o.arm(now.Add(sealLimit), limitSeal, b)
}

// sealed adopts an agent's records. An answer after the limit still narrows the
// gap.
func (o *Owner) sealed(now time.Time, from identity.Process, m message.FenceReply) {
	for _, r := range m.Records() {
		o.record(now, from, r)
	}
	if !m.Complete() {
		return
	}
	for _, g := range m.Grants() {
		h, ok := o.shards[g.Shard()]
		if !ok || h.grant != g || h.batch == nil {
			continue
		}
		s, ok := h.batch.members[from]
		i := h.batch.index[g.Shard()]
		if !ok || s.sealed == nil || s.sealed[i] || !s.lost.IsZero() {
			continue
		}
		s.sealed[i] = true
		h.awaiting--
		if h.awaiting == 0 {
			o.open(now, h)
		}
	}
	o.dropBatches()
}

// record keeps a start record until the submission's body comes.
func (o *Owner) record(now time.Time, from identity.Process, r ledger.Record) {
	key := r.Task().Submission()
	h, ok := o.shards[r.Shard()]
	if !ok {
		return
	}
	if _, ok := o.live[key]; ok {
		// The key was covered by the gap and is answered already.
		return
	}
	m, ok := o.remnants[key]
	if !ok {
		m = &remnant{
			key:   key,
			home:  h,
			tasks: map[uint32]job.Found{},
		}
		h.found[key] = m
		o.remnants[key] = m
		o.forgetAt(now, key, m)
	}
	f := job.NewFound(from, r.Result())
	if known, ok := m.tasks[r.Task().Index()]; ok {
		f = known.Merge(f)
	}
	m.tasks[r.Task().Index()] = f
}

// dropBatches ends the batches of which every shard is sealed.
func (o *Owner) dropBatches() {
	kept := o.batches[:0]
	for _, b := range o.batches {
		if b.unsealed() {
			kept = append(kept, b)
		}
	}
	clear(o.batches[len(kept):])
	o.batches = kept
}

func (b *batch) unsealed() bool {
	for _, h := range b.holdings {
		if h.awaiting > 0 {
			return true
		}
	}
	return false
}

// lostMember turns an agent that will not answer into a gap that ends with the
// grant.
func (o *Owner) lostMember(now time.Time, p identity.Process) {
	if o.opening != nil {
		if s, ok := o.opening.members[p]; ok && s.lost.IsZero() {
			s.lost = now
		}
	}
	for _, b := range o.batches {
		s, ok := b.members[p]
		if !ok || !s.lost.IsZero() {
			continue
		}
		s.lost = now
		for i, h := range b.holdings {
			if s.sealed[i] || h.released {
				continue
			}
			h.awaiting--
			h.lost = h.granted
			if h.awaiting == 0 {
				o.open(now, h)
			}
		}
	}
	o.dropBatches()
}

// open ends the sealing of a shard and takes up the requests that waited for it.
func (o *Owner) open(now time.Time, h *holding) {
	if h.ready || o.shards[h.grant.Shard()] != h {
		return
	}
	h.ready = true
	held := h.held
	h.held = nil
	for _, r := range held {
		o.request(now, r)
	}
}

// covered tells whether a start record of the key may be lost. The gap of an
// agent that may be alive ends with the grant, since a former owner was fenced by
// then, and that of a lost one at its loss. Either covers the keys of callers whose
// clocks are ahead.
func (h *holding) covered(key identity.Submission) bool {
	end := h.lost
	if h.awaiting > 0 {
		end = h.granted
	}
	return !end.IsZero() && !key.FirstSent().After(end.Add(maxCallerSkew))
}

// release ends a shard. Its waiters ask the next owner.
func (o *Owner) release(shard identity.Shard) {
	h, ok := o.shards[shard]
	if !ok {
		return
	}
	delete(o.shards, shard)
	moved := answer.NotForwarded(answer.Unavailable, "the shard has moved to another owner", 0)
	for _, s := range inOrder(h.subs) {
		if !s.job.Answer().Ended() {
			for _, w := range s.waiters {
				o.reply(w.entry, w.request, moved)
			}
		}
		o.dequeue(s)
		o.drop(s)
	}
	for _, key := range slices.SortedFunc(maps.Keys(h.found), compareKeys) {
		m := h.found[key]
		for _, w := range m.waiters {
			o.reply(w.entry, w.request, moved)
		}
		delete(o.remnants, key)
	}
	for _, r := range h.held {
		o.reply(r.From(), requestOf(r.Body()), moved)
	}
	h.released = true
	h.awaiting = 0
	o.dropBatches()
}

// inOrder lists submissions in the order of their acceptance, so that effects do
// not depend on the order of a map.
func inOrder(m map[*submission]struct{}) []*submission {
	return slices.SortedFunc(maps.Keys(m), func(a, b *submission) int { return cmp.Compare(a.number, b.number) })
}

func compareKeys(a, b identity.Submission) int {
	return strings.Compare(a.String(), b.String())
}

// adopt builds the job of a submission that a former owner began.
func (o *Owner) adopt(now time.Time, s *submission, m *remnant) {
	key := s.job.Order().Submission()
	for i, f := range m.tasks {
		if _, gone := o.departed[f.Agent()]; gone && f.Result().State() == outcome.Running {
			m.tasks[i] = job.NewFound(f.Agent(), outcome.Lost("the agent "+f.Agent().String()+" was lost"))
		}
	}
	delete(m.home.found, key)
	delete(o.remnants, key)
	s.waiters = append(s.waiters, m.waiters...)
	ended := s.job.Adopt(m.tasks, m.home.covered(key))
	s.job.Holders(func(p identity.Process) {
		a := o.knowing(p)
		a.jobs[s] = struct{}{}
		if r := a.room(s.svc); r != nil {
			r.open += s.job.OpenAt(p)
			s.svc.open += s.job.OpenAt(p)
		}
	})
	if ended {
		o.ended(s)
		return
	}
	if m.cancelled {
		o.stop(now, s, answer.Cancelled, "cancelled by the caller", 0)
	}
}
