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
	fenceDelay = 2 * time.Millisecond
	// sealLimit is how long the owner waits for an agent's records.
	fenceTimeout = 700 * time.Millisecond
	// maxHeld bounds the requests that wait for the sealing of one shard.
	maxPending = 10_000
)

// holding is a shard that this process owns. It ends when the shard is released.
type ownedShard struct {
	grant          message.Grant
	granted        time.Time // No start of a former owner takes effect after this.
	batch          *batch
	ready          bool
	released       bool
	unfencedAgents int       // Agents that may be alive and have not sealed the shard.
	lostAt         time.Time // When the last agent was lost that had not sealed the shard.
	pending        []message.Received
	submissionSet  map[*submission]struct{}
	recoveredSet   map[identity.Submission]*recoveredSubmission
}

// remnant is what records say about a submission whose body is not known here.
type recoveredSubmission struct {
	key       identity.Submission
	shard     *ownedShard
	tasks     map[uint32]job.RecoveredTask
	waiters   []waiter
	cancelled bool
}

// batch is a set of shards that are sealed together.
type batch struct {
	shards  []*ownedShard
	index   map[identity.Shard]int
	members map[identity.Process]*agentFence
	order   []identity.Process
}

// sealing is one agent of a batch; sealed marks the shards that it has sealed.
type agentFence struct {
	lostAt time.Time
	fenced []bool
}

func (o *Owner) granted(now time.Time, e membership.Granted) {
	if sh, ok := o.shards[e.Shard()]; ok {
		if sh.grant.Epoch() >= e.Epoch() {
			return
		}
		o.release(e.Shard())
	}
	sh := &ownedShard{
		grant:         message.NewGrant(e.Shard(), e.Epoch()),
		granted:       now,
		submissionSet: map[*submission]struct{}{},
		recoveredSet:  map[identity.Submission]*recoveredSubmission{},
	}
	o.shards[e.Shard()] = sh
	if len(e.Agents()) == 0 {
		sh.ready = true
		return
	}
	o.addToBatch(now, sh, e.Agents())
}

// join adds a shard to the batch that is sealed next.
func (o *Owner) addToBatch(now time.Time, sh *ownedShard, agents []membership.Member) {
	if o.nextBatch == nil {
		o.nextBatch = &batch{
			index:   map[identity.Shard]int{},
			members: map[identity.Process]*agentFence{},
		}
		o.arm(now.Add(fenceDelay), sendFence, o.nextBatch)
	}
	b := o.nextBatch
	sh.batch = b
	b.index[sh.grant.Shard()] = len(b.shards)
	b.shards = append(b.shards, sh)
	for _, m := range agents {
		s, ok := b.members[m.Process()]
		if !ok {
			s = &agentFence{}
			b.members[m.Process()] = s
			b.order = append(b.order, m.Process())
		}
		if m.Lost().After(s.lostAt) {
			s.lostAt = m.Lost()
		}
		if _, lost := o.lostAgents[m.Process()]; lost && s.lostAt.IsZero() {
			s.lostAt = now
		}
	}
}

// sealBatch asks every agent that may be alive; the departed ones are gaps.
func (o *Owner) fenceBatch(now time.Time, b *batch) {
	o.nextBatch = nil
	o.batches = append(o.batches, b)
	grants := make([]message.Grant, 0, len(b.shards))
	for _, sh := range b.shards {
		grants = append(grants, sh.grant)
	}
	for _, p := range b.order {
		s := b.members[p]
		s.fenced = make([]bool, len(b.shards))
		for _, sh := range b.shards {
			if sh.released {
				continue
			}
			if s.lostAt.IsZero() {
				sh.unfencedAgents++
			} else if s.lostAt.After(sh.lostAt) {
				sh.lostAt = s.lostAt
			}
		}
		if s.lostAt.IsZero() {
			o.send(p, message.NewSeal(grants))
		}
	}
	for _, sh := range b.shards {
		if sh.unfencedAgents == 0 {
			o.finishFencing(now, sh)
		}
	}
	o.arm(now.Add(fenceTimeout), fenceExpired, b)
}

// sealed adopts an agent's records. An answer after the limit still narrows the
// gap.
func (o *Owner) fenced(now time.Time, from identity.Process, m message.Sealed) {
	for _, r := range m.Records() {
		o.addRecord(now, from, r)
	}
	if !m.Complete() {
		return
	}
	for _, g := range m.Grants() {
		sh, ok := o.shards[g.Shard()]
		if !ok || sh.grant != g || sh.batch == nil {
			continue
		}
		s, ok := sh.batch.members[from]
		i := sh.batch.index[g.Shard()]
		if !ok || s.fenced == nil || s.fenced[i] || !s.lostAt.IsZero() {
			continue
		}
		s.fenced[i] = true
		sh.unfencedAgents--
		if sh.unfencedAgents == 0 {
			o.finishFencing(now, sh)
		}
	}
	o.removeFencedBatches()
}

// record keeps a start record until the submission's body comes.
func (o *Owner) addRecord(now time.Time, from identity.Process, r ledger.Record) {
	key := r.Task().Submission()
	sh, ok := o.shards[r.Shard()]
	if !ok {
		return
	}
	if _, ok := o.submissions[key]; ok {
		// The key was covered by the gap and is answered already.
		return
	}
	rec, ok := o.recovered[key]
	if !ok {
		rec = &recoveredSubmission{
			key:   key,
			shard: sh,
			tasks: map[uint32]job.RecoveredTask{},
		}
		sh.recoveredSet[key] = rec
		o.recovered[key] = rec
		o.armRetention(now, key, rec)
	}
	f := job.NewRecoveredTask(from, r.Result())
	if known, ok := rec.tasks[r.Task().Index()]; ok {
		f = known.Merge(f)
	}
	rec.tasks[r.Task().Index()] = f
}

// dropBatches ends the batches of which every shard is sealed.
func (o *Owner) removeFencedBatches() {
	unfinished := o.batches[:0]
	for _, b := range o.batches {
		if b.hasUnfenced() {
			unfinished = append(unfinished, b)
		}
	}
	clear(o.batches[len(unfinished):])
	o.batches = unfinished
}

func (b *batch) hasUnfenced() bool {
	for _, sh := range b.shards {
		if sh.unfencedAgents > 0 {
			return true
		}
	}
	return false
}

// lostMember turns an agent that will not answer into a gap that ends with the
// grant.
func (o *Owner) markMemberLost(now time.Time, p identity.Process) {
	if o.nextBatch != nil {
		if s, ok := o.nextBatch.members[p]; ok && s.lostAt.IsZero() {
			s.lostAt = now
		}
	}
	for _, b := range o.batches {
		s, ok := b.members[p]
		if !ok || !s.lostAt.IsZero() {
			continue
		}
		s.lostAt = now
		for i, sh := range b.shards {
			if s.fenced[i] || sh.released {
				continue
			}
			sh.unfencedAgents--
			sh.lostAt = sh.granted
			if sh.unfencedAgents == 0 {
				o.finishFencing(now, sh)
			}
		}
	}
	o.removeFencedBatches()
}

// open ends the sealing of a shard and takes up the requests that waited for it.
func (o *Owner) finishFencing(now time.Time, sh *ownedShard) {
	if sh.ready || o.shards[sh.grant.Shard()] != sh {
		return
	}
	sh.ready = true
	pending := sh.pending
	sh.pending = nil
	for _, r := range pending {
		o.handleRequest(now, r)
	}
}

// covered tells whether a start record of the key may be lost. The gap of an
// agent that may be alive ends with the grant, since a former owner was fenced by
// then, and that of a lost one at its loss. Either covers the keys of callers whose
// clocks are ahead.
func (sh *ownedShard) recordsMayBeMissing(key identity.Submission) bool {
	end := sh.lostAt
	if sh.unfencedAgents > 0 {
		end = sh.granted
	}
	return !end.IsZero() && !key.FirstSent().After(end.Add(maxCallerSkew))
}

// release ends a shard. Its waiters ask the next owner.
func (o *Owner) release(shard identity.Shard) {
	sh, ok := o.shards[shard]
	if !ok {
		return
	}
	delete(o.shards, shard)
	moved := answer.NotPassed(answer.Unavailable, "the shard has moved to another owner", 0)
	for _, s := range byAcceptance(sh.submissionSet) {
		if !s.job.Answer().Ended() {
			for _, w := range s.waiters {
				o.reply(w.entry, w.request, moved)
			}
		}
		o.dequeue(s)
		o.remove(s)
	}
	for _, key := range slices.SortedFunc(maps.Keys(sh.recoveredSet), compareKeys) {
		rec := sh.recoveredSet[key]
		for _, w := range rec.waiters {
			o.reply(w.entry, w.request, moved)
		}
		delete(o.recovered, key)
	}
	for _, r := range sh.pending {
		o.reply(r.From(), requestOf(r.Body()), moved)
	}
	sh.released = true
	sh.unfencedAgents = 0
	o.removeFencedBatches()
}

// inOrder lists submissions in the order of their acceptance, so that effects do
// not depend on the order of a map.
func byAcceptance(m map[*submission]struct{}) []*submission {
	return slices.SortedFunc(maps.Keys(m), func(a, b *submission) int { return cmp.Compare(a.sequence, b.sequence) })
}

func compareKeys(a, b identity.Submission) int {
	return strings.Compare(a.String(), b.String())
}

// adopt builds the job of a submission that a former owner began.
func (o *Owner) adopt(now time.Time, s *submission, rec *recoveredSubmission) {
	key := s.job.Order().Submission()
	for i, f := range rec.tasks {
		if _, lost := o.lostAgents[f.Agent()]; lost && f.Result().State() == outcome.Running {
			rec.tasks[i] = job.NewRecoveredTask(f.Agent(), outcome.Lost("the agent "+f.Agent().String()+" was lost"))
		}
	}
	delete(rec.shard.recoveredSet, key)
	delete(o.recovered, key)
	s.waiters = append(s.waiters, rec.waiters...)
	ended := s.job.Adopt(rec.tasks, rec.shard.recordsMayBeMissing(key))
	s.job.EachOpenAgent(func(p identity.Process) {
		a := o.agentOf(p)
		a.jobs[s] = struct{}{}
		if ep := a.endpoint(s.svc); ep != nil {
			ep.open += s.job.OpenTasksAt(p)
			s.svc.open += s.job.OpenTasksAt(p)
		}
	})
	if ended {
		o.ended(s)
		return
	}
	if rec.cancelled {
		o.stop(now, s, answer.Cancelled, "cancelled by the caller", 0)
	}
}
