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
	// fenceDelay collects the shards that are granted together into one message to
	// each agent.
	fenceDelay = 2 * time.Millisecond
	// fenceTimeout bounds the wait for the records of an agent.
	fenceTimeout = 700 * time.Millisecond
	// maxPending bounds the requests that wait until one shard is fenced.
	maxPending = 10_000
)

// ownedShard is a shard that this process owns, until it is released.
type ownedShard struct {
	grant          message.Grant
	granted        time.Time // No start of a previous owner takes effect after this.
	batch          *batch
	ready          bool
	released       bool
	unfencedAgents int       // Agents that may be alive and have not fenced the shard.
	lostAt         time.Time // The latest loss of an agent that had not fenced the shard.
	pending        []message.Received
	submissionSet  map[*submission]struct{}
	recoveredSet   map[identity.Submission]*recoveredSubmission
}

// recoveredSubmission is the state of a submission that is known only from the start
// records of agents, until it is submitted again.
type recoveredSubmission struct {
	key       identity.Submission
	shard     *ownedShard
	tasks     map[uint32]job.RecoveredTask
	waiters   []waiter
	cancelled bool
}

// batch is a set of shards that are fenced together.
type batch struct {
	shards  []*ownedShard
	index   map[identity.Shard]int
	members map[identity.Process]*agentFence
	order   []identity.Process
}

// agentFence is the state of one agent of a batch; fenced marks the shards that it
// has fenced.
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

// addToBatch adds a shard to the next batch. The agents are those that may have
// start records of the shard.
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
		af, ok := b.members[m.Process()]
		if !ok {
			af = &agentFence{}
			b.members[m.Process()] = af
			b.order = append(b.order, m.Process())
		}
		if m.Lost().After(af.lostAt) {
			af.lostAt = m.Lost()
		}
		if _, lost := o.lostAgents[m.Process()]; lost && af.lostAt.IsZero() {
			af.lostAt = now
		}
	}
}

// fenceBatch sends the fence to every agent that may be alive. The records of lost
// agents are missing.
func (o *Owner) fenceBatch(now time.Time, b *batch) {
	o.nextBatch = nil
	o.batches = append(o.batches, b)
	grants := make([]message.Grant, 0, len(b.shards))
	for _, sh := range b.shards {
		grants = append(grants, sh.grant)
	}
	for _, p := range b.order {
		af := b.members[p]
		af.fenced = make([]bool, len(b.shards))
		for _, sh := range b.shards {
			if sh.released {
				continue
			}
			if af.lostAt.IsZero() {
				sh.unfencedAgents++
			} else if af.lostAt.After(sh.lostAt) {
				sh.lostAt = af.lostAt
			}
		}
		if af.lostAt.IsZero() {
			o.send(p, message.NewFence(grants))
		}
	}
	for _, sh := range b.shards {
		if sh.unfencedAgents == 0 {
			o.finishFencing(now, sh)
		}
	}
	o.arm(now.Add(fenceTimeout), fenceExpired, b)
}

// fenced applies an agent's records. An answer after the timeout still reduces the
// missing records.
func (o *Owner) fenced(now time.Time, from identity.Process, m message.FenceReply) {
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
		af, ok := sh.batch.members[from]
		i := sh.batch.index[g.Shard()]
		if !ok || af.fenced == nil || af.fenced[i] || !af.lostAt.IsZero() {
			continue
		}
		af.fenced[i] = true
		sh.unfencedAgents--
		if sh.unfencedAgents == 0 {
			o.finishFencing(now, sh)
		}
	}
	o.removeFencedBatches()
}

// addRecord keeps a start record until the submission is submitted again.
func (o *Owner) addRecord(now time.Time, from identity.Process, r ledger.Record) {
	key := r.Task().Submission()
	sh, ok := o.shards[r.Shard()]
	if !ok {
		return
	}
	if _, ok := o.submissions[key]; ok {
		// The key was submitted while records were missing and is answered already.
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
	t := job.NewRecoveredTask(from, r.Result())
	if known, ok := rec.tasks[r.Task().Index()]; ok {
		t = known.Merge(t)
	}
	rec.tasks[r.Task().Index()] = t
}

// removeFencedBatches removes the batches whose shards are all fenced or released.
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

// markMemberLost notes that an agent will not answer its fences. Its records are
// missing for keys first sent up to the grant.
func (o *Owner) markMemberLost(now time.Time, p identity.Process) {
	if o.nextBatch != nil {
		if af, ok := o.nextBatch.members[p]; ok && af.lostAt.IsZero() {
			af.lostAt = now
		}
	}
	for _, b := range o.batches {
		af, ok := b.members[p]
		if !ok || !af.lostAt.IsZero() {
			continue
		}
		af.lostAt = now
		for i, sh := range b.shards {
			if af.fenced[i] || sh.released {
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

// finishFencing makes a shard ready and handles its pending requests.
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

// recordsMayBeMissing reports whether a start record of the key may be missing. For
// an agent that may be alive this applies to keys first sent up to the grant, since
// no start of a previous owner takes effect after it. For a lost agent it applies up
// to its loss. Both include the keys of callers whose clocks are ahead.
func (sh *ownedShard) recordsMayBeMissing(key identity.Submission) bool {
	end := sh.lostAt
	if sh.unfencedAgents > 0 {
		end = sh.granted
	}
	return !end.IsZero() && !key.FirstSent().After(end.Add(maxCallerSkew))
}

// release ends the ownership of a shard. Its waiters get an answer that lets them
// ask the next owner.
func (o *Owner) release(shard identity.Shard) {
	sh, ok := o.shards[shard]
	if !ok {
		return
	}
	delete(o.shards, shard)
	moved := answer.NotForwarded(answer.Unavailable, "the shard has moved to another owner", 0)
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

// byAcceptance returns submissions in the order of their acceptance, so that the
// messages do not depend on the order of a map.
func byAcceptance(m map[*submission]struct{}) []*submission {
	return slices.SortedFunc(maps.Keys(m), func(a, b *submission) int { return cmp.Compare(a.sequence, b.sequence) })
}

func compareKeys(a, b identity.Submission) int {
	return strings.Compare(a.String(), b.String())
}

// adopt applies the start records from the time of a previous owner to the job of
// a resubmission.
func (o *Owner) adopt(now time.Time, s *submission, rec *recoveredSubmission) {
	key := s.job.Order().Submission()
	for i, t := range rec.tasks {
		if _, lost := o.lostAgents[t.Agent()]; lost && t.Result().State() == outcome.Running {
			rec.tasks[i] = job.NewRecoveredTask(t.Agent(), outcome.Lost("the agent "+t.Agent().String()+" was lost"))
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
