package agent

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ledger"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// The limits and times of reports.
const (
	// maxReplyRecords and maxReplyBytes limit one FenceReply, so that fencing many
	// shards does not delay other frames of the link. recordOverhead is the estimated
	// size of a record in bytes without its result.
	maxReplyRecords = 512
	maxReplyBytes   = 1 << 20
	recordOverhead  = 128
	// resendInterval is the time between two attempts to send a report.
	resendInterval = 200 * time.Millisecond
	// maxUnsent limits the unsent reports. The result in a report beyond it stays in
	// the ledger, where the next owner finds it when it fences the shard.
	maxUnsent = 16_384
)

// unsent is a report that was not sent. If it is bound to an epoch, it is void once
// the shard has a newer one: the new owner has fenced the shard and may have started
// the task again, based on the records that it got.
type unsent struct {
	send       message.Send
	epochBound bool
	shard      identity.Shard
	epoch      identity.Epoch
}

// rejection is a rejected start with the epoch of its shard at that time.
type rejection struct {
	task  identity.Task
	shard identity.Shard
	epoch identity.Epoch
}

// rejections is a ring buffer of the latest rejected starts. The ledger has no record
// of a rejected start, so the shard and epoch of an undelivered rejection are looked
// up here.
type rejections struct {
	latest [1024]rejection
	next   int
}

func (r *rejections) add(task identity.Task, shard identity.Shard, epoch identity.Epoch) {
	r.latest[r.next] = rejection{
		task:  task,
		shard: shard,
		epoch: epoch,
	}
	r.next = (r.next + 1) % len(r.latest)
}

// find returns the rejection of a task with the lowest epoch. If the shard was fenced
// between two rejections, it is not known which of them was not sent, and the earlier
// one must not be sent again.
func (r *rejections) find(task identity.Task) (rejection, bool) {
	var found rejection
	ok := false
	for _, e := range r.latest {
		if e.task == task && (!ok || e.epoch < found.epoch) {
			found = e
			ok = true
		}
	}
	return found, ok
}

// fencing is a FenceReply in several messages. The last one is sent only once the
// others are known to have been sent. Otherwise an owner could take an incomplete set
// of records for complete and start a task again.
type fencing struct {
	number uint64
	to     identity.Process
	last   message.FenceReply
	failed bool
}

// fence raises the epochs of the shards and sends their start records. From then on
// the results of their tasks go to the new owner.
func (a *Agent) fence(owner identity.Process, m message.Fence) {
	var records []ledger.Record
	var fenced []message.Grant
	for _, g := range m.Grants() {
		rs, err := a.ledger.Fence(g.Shard(), g.Epoch())
		if err != nil {
			continue
		}
		a.owners[g.Shard()] = owner
		fenced = append(fenced, g)
		records = append(records, rs...)
	}
	a.filterUnsent(a.stillValid)
	a.counts.seals++
	parts := splitRecords(records)
	last := message.NewFenceReply(fenced, parts[len(parts)-1], true, a.ledger.Since())
	if len(parts) == 1 {
		a.send(owner, last)
		return
	}
	for _, p := range parts[:len(parts)-1] {
		a.send(owner, message.NewFenceReply(fenced, p, false, a.ledger.Since()))
	}
	a.barriers++
	a.fencing = append(a.fencing, fencing{
		number: a.barriers,
		to:     owner,
		last:   last,
	})
	a.send(a.self, Barrier{
		number: a.barriers,
	})
}

// splitRecords divides the records among messages. There is at least one part.
func splitRecords(records []ledger.Record) [][]ledger.Record {
	var parts [][]ledger.Record
	begin, size := 0, 0
	for n, r := range records {
		size += recordOverhead + len(r.Result().Body()) + len(r.Result().Detail())
		if n > begin && (n-begin >= maxReplyRecords || size > maxReplyBytes) {
			parts = append(parts, records[begin:n])
			begin = n
			size = recordOverhead + len(r.Result().Body()) + len(r.Result().Detail())
		}
	}
	return append(parts, records[begin:])
}

// barrier sends the last part of a FenceReply if all other parts have been sent. If
// one has not, the owner gets no complete reply and treats the records of this agent
// as missing.
func (a *Agent) barrier(b Barrier) {
	for n, f := range a.fencing {
		if f.number != b.number {
			continue
		}
		a.fencing = append(a.fencing[:n], a.fencing[n+1:]...)
		if !f.failed {
			a.send(f.to, f.last)
		}
		return
	}
}

// stillValid reports whether the receiver of a report still needs it.
func (a *Agent) stillValid(u unsent) bool {
	if u.epochBound && a.ledger.Epoch(u.shard) != u.epoch {
		return false
	}
	f, ok := u.send.Body().(message.Finished)
	if !ok {
		return true
	}
	r, ok := a.ledger.Find(f.Task())
	return ok && r.Result().State().Ended()
}

func (a *Agent) filterUnsent(keep func(unsent) bool) {
	kept := a.unsent[:0]
	for _, u := range a.unsent {
		if keep(u) {
			kept = append(kept, u)
		}
	}
	clear(a.unsent[len(kept):])
	a.unsent = kept
}

// undelivered handles a message that was not sent. Results, rejections and revocation
// replies are sent again, because the owner waits for them.
func (a *Agent) undelivered(now time.Time, s message.Send) {
	switch m := s.Body().(type) {
	case message.Finished:
		r, ok := a.ledger.Find(m.Task())
		if ok && (!sameResult(m.Result().State(), r.Result().State()) || a.owners[r.Shard()] != s.To()) {
			// The task has been started again, or another owner has got the records.
			return
		}
		a.queueUnsent(now, ok, unsent{
			send:       s,
			epochBound: true,
			shard:      r.Shard(),
			epoch:      r.EndEpoch(),
		})
	case message.Rejected:
		r, ok := a.rejected.find(m.Task())
		a.queueUnsent(now, ok, unsent{
			send:       s,
			epochBound: true,
			shard:      r.shard,
			epoch:      r.epoch,
		})
	case message.Revoked:
		a.queueUnsent(now, true, unsent{
			send: s,
		})
	case message.Offer:
		a.cancelOffers(func(o *offer) bool {
			return o.owner == s.To() && o.service.name == m.Service() && o.criticalOnly == m.CriticalOnly()
		})
		a.backOff(now, s.To())
	case message.FenceReply:
		for n := range a.fencing {
			if a.fencing[n].to == s.To() {
				a.fencing[n].failed = true
			}
		}
	case Barrier:
		// The reports on earlier parts may have been lost, too.
		a.failFencing(m)
	}
}

// sameResult reports whether a record has the state that was sent. The state of a
// success becomes unknown when the ledger evicts its result.
func sameResult(sent, kept outcome.State) bool {
	return sent == kept || (sent == outcome.Succeeded && kept == outcome.Unknown)
}

func (a *Agent) queueUnsent(now time.Time, known bool, u unsent) {
	if !known || len(a.unsent) >= maxUnsent {
		a.counts.abandoned++
		return
	}
	if len(a.unsent) == 0 {
		a.resendAt = now.Add(resendInterval)
	}
	a.unsent = append(a.unsent, u)
}

func (a *Agent) failFencing(b Barrier) {
	for n := range a.fencing {
		if a.fencing[n].number == b.number {
			a.fencing[n].failed = true
		}
	}
	a.barrier(b)
}

// resend sends the unsent reports that are still valid.
func (a *Agent) resend(now time.Time) {
	if len(a.unsent) == 0 || now.Before(a.resendAt) {
		return
	}
	a.resendAt = now.Add(resendInterval)
	for _, u := range a.unsent {
		if a.stillValid(u) {
			a.send(u.send.To(), u.send.Body())
		}
	}
	clear(a.unsent)
	a.unsent = a.unsent[:0]
}

// processEnded removes the state of an owner that has ended. Results that it was not
// sent stay in the ledger for the owner that fences the shard next.
func (a *Agent) processEnded(p identity.Process) {
	a.removeInterest(p)
	a.filterUnsent(func(u unsent) bool { return u.send.To() != p })
	for n := range a.fencing {
		if a.fencing[n].to == p {
			a.fencing[n].failed = true
		}
	}
}
