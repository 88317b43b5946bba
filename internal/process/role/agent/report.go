package agent

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ledger"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// The sizes and times of reports.
const (
	// maxReplyRecords and sealBytes bound one message, so that a seal of many shards
	// does not hold up other frames of the link.
	maxReplyRecords = 512
	maxReplyBytes   = 1 << 20
	recordOverhead  = 128
	// resendInterval is how often a report that did not leave is tried again.
	resendInterval = 200 * time.Millisecond
	// maxUnsent bounds the reports that wait; ends beyond it are found by the next
	// seal.
	maxUnsent = 16_384
)

// unsent is a report that did not leave the process. It is void once a newer
// epoch of the shard is known: the new owner has sealed the shard, and may have
// started the task again on what it learned from that.
type unsent struct {
	send       message.Send
	epochBound bool
	shard      identity.Shard
	epoch      identity.Epoch
}

// rejection is a refused start with the epoch of its shard at that time.
type rejection struct {
	task  identity.Task
	shard identity.Shard
	epoch identity.Epoch
}

// rejections are the latest refusals. A refused start leaves no record in the
// ledger, so this is how a refusal that did not leave finds its shard.
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

// find returns the refusal of a task with the lowest epoch. If the shard was
// sealed between two refusals, it is not known which of them did not leave, and
// the earlier one must not be sent again.
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

// fencing is an answer of several messages whose last part is held back until it
// is known that the others have left. Without that, an owner could take records
// for complete of which some were lost, and start a task again.
type fencing struct {
	number uint64
	to     identity.Process
	last   message.FenceReply
	failed bool
}

// fence raises epochs and sends the records of the shards. From now on the sealing
// owner gets the ends of their tasks.
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

// splitRecords cuts records into the parts of messages; there is at least one part.
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

// barrier sends the last part of a sealing whose other parts have left. If one
// has not, the owner gets no complete answer and counts this agent as a gap.
func (a *Agent) barrier(b Barrier) {
	for n, s := range a.fencing {
		if s.number != b.number {
			continue
		}
		a.fencing = append(a.fencing[:n], a.fencing[n+1:]...)
		if !s.failed {
			a.send(s.to, s.last)
		}
		return
	}
}

// stillValid tells whether a report still says what its receiver does not know.
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

// undelivered deals with a message that did not leave. An end, a refusal and a
// revocation are sent again, because their owner waits for them.
func (a *Agent) undelivered(now time.Time, s message.Send) {
	switch m := s.Body().(type) {
	case message.Finished:
		r, ok := a.ledger.Find(m.Task())
		if ok && (!sameResult(m.Result().State(), r.Result().State()) || a.owners[r.Shard()] != s.To()) {
			// The task has started again since, or another owner has the records.
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
			return o.owner == s.To() && o.service.name == m.Service() && o.urgent == m.CriticalOnly()
		})
		a.backOff(now, s.To())
	case message.FenceReply:
		for n := range a.fencing {
			if a.fencing[n].to == s.To() {
				a.fencing[n].failed = true
			}
		}
	case Barrier:
		// The report on an earlier part may be lost as well.
		a.failFencing(m)
	}
}

// sameResult tells whether a record holds the end that was sent. The ledger may have
// given up the result of a success.
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

// resend tries again what did not leave and is still valid.
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

// processEnded forgets an owner that will never be heard again. What was not reported to
// it stays in the ledger for the next seal.
func (a *Agent) processEnded(p identity.Process) {
	a.removeInterest(p)
	a.filterUnsent(func(u unsent) bool { return u.send.To() != p })
	for n := range a.fencing {
		if a.fencing[n].to == p {
			a.fencing[n].failed = true
		}
	}
}
