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
	// sealRecords and sealBytes bound one message, so that a seal of many shards
	// does not hold up other frames of the link.
	sealRecords = 512
	sealBytes   = 1 << 20
	recordBytes = 128
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
	send  message.Send
	bound bool
	shard identity.Shard
	epoch identity.Epoch
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

// sealing is an answer of several messages whose last part is held back until it
// is known that the others have left. Without that, an owner could take records
// for complete of which some were lost, and start a task again.
type sealing struct {
	number uint64
	to     identity.Process
	last   message.FenceReply
	failed bool
}

// seal raises epochs and sends the records of the shards. From now on the sealing
// owner gets the ends of their tasks.
func (a *Agent) seal(owner identity.Process, m message.Fence) {
	var records []ledger.Record
	var sealed []message.Grant
	for _, g := range m.Grants() {
		rs, err := a.ledger.Fence(g.Shard(), g.Epoch())
		if err != nil {
			continue
		}
		a.owners[g.Shard()] = owner
		sealed = append(sealed, g)
		records = append(records, rs...)
	}
	a.keepUnsent(a.valid)
	a.counts.seals++
	parts := split(records)
	last := message.NewFenceReply(sealed, parts[len(parts)-1], true, a.ledger.Since())
	if len(parts) == 1 {
		a.send(owner, last)
		return
	}
	for _, p := range parts[:len(parts)-1] {
		a.send(owner, message.NewFenceReply(sealed, p, false, a.ledger.Since()))
	}
	a.barriers++
	a.sealing = append(a.sealing, sealing{
		number: a.barriers,
		to:     owner,
		last:   last,
	})
	a.send(a.self, Barrier{
		number: a.barriers,
	})
}

// split cuts records into the parts of messages; there is at least one part.
func split(records []ledger.Record) [][]ledger.Record {
	var parts [][]ledger.Record
	begin, size := 0, 0
	for n, r := range records {
		size += recordBytes + len(r.Result().Body()) + len(r.Result().Detail())
		if n > begin && (n-begin >= sealRecords || size > sealBytes) {
			parts = append(parts, records[begin:n])
			begin = n
			size = recordBytes + len(r.Result().Body()) + len(r.Result().Detail())
		}
	}
	return append(parts, records[begin:])
}

// barrier sends the last part of a sealing whose other parts have left. If one
// has not, the owner gets no complete answer and counts this agent as a gap.
func (a *Agent) barrier(b Barrier) {
	for n, s := range a.sealing {
		if s.number != b.number {
			continue
		}
		a.sealing = append(a.sealing[:n], a.sealing[n+1:]...)
		if !s.failed {
			a.send(s.to, s.last)
		}
		return
	}
}

// valid tells whether a report still says what its receiver does not know.
func (a *Agent) valid(u unsent) bool {
	if u.bound && a.ledger.Epoch(u.shard) != u.epoch {
		return false
	}
	f, ok := u.send.Body().(message.Finished)
	if !ok {
		return true
	}
	r, ok := a.ledger.Find(f.Task())
	return ok && r.Result().State().Ended()
}

func (a *Agent) keepUnsent(keep func(unsent) bool) {
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
		if ok && (!sameEnd(m.Result().State(), r.Result().State()) || a.owners[r.Shard()] != s.To()) {
			// The task has started again since, or another owner has the records.
			return
		}
		a.keep(now, ok, unsent{
			send:  s,
			bound: true,
			shard: r.Shard(),
			epoch: r.EndEpoch(),
		})
	case message.Rejected:
		r, ok := a.rejected.find(m.Task())
		a.keep(now, ok, unsent{
			send:  s,
			bound: true,
			shard: r.shard,
			epoch: r.epoch,
		})
	case message.Revoked:
		a.keep(now, true, unsent{
			send: s,
		})
	case message.Offer:
		a.release(func(o *offer) bool {
			return o.owner == s.To() && o.service.name == m.Service() && o.urgent == m.CriticalOnly()
		})
		a.mute(now, s.To())
	case message.FenceReply:
		for n := range a.sealing {
			if a.sealing[n].to == s.To() {
				a.sealing[n].failed = true
			}
		}
	case Barrier:
		// The report on an earlier part may be lost as well.
		a.failSealing(m)
	}
}

// sameEnd tells whether a record holds the end that was sent. The ledger may have
// given up the result of a success.
func sameEnd(sent, kept outcome.State) bool {
	return sent == kept || (sent == outcome.Succeeded && kept == outcome.Unknown)
}

func (a *Agent) keep(now time.Time, known bool, u unsent) {
	if !known || len(a.unsent) >= maxUnsent {
		a.counts.abandoned++
		return
	}
	if len(a.unsent) == 0 {
		a.retry = now.Add(resendInterval)
	}
	a.unsent = append(a.unsent, u)
}

func (a *Agent) failSealing(b Barrier) {
	for n := range a.sealing {
		if a.sealing[n].number == b.number {
			a.sealing[n].failed = true
		}
	}
	a.barrier(b)
}

// resend tries again what did not leave and is still valid.
func (a *Agent) resend(now time.Time) {
	if len(a.unsent) == 0 || now.Before(a.retry) {
		return
	}
	a.retry = now.Add(resendInterval)
	for _, u := range a.unsent {
		if a.valid(u) {
			a.send(u.send.To(), u.send.Body())
		}
	}
	clear(a.unsent)
	a.unsent = a.unsent[:0]
}

// gone forgets an owner that will never be heard again. What was not reported to
// it stays in the ledger for the next seal.
func (a *Agent) gone(p identity.Process) {
	a.forget(p)
	a.keepUnsent(func(u unsent) bool { return u.send.To() != p })
	for n := range a.sealing {
		if a.sealing[n].to == p {
			a.sealing[n].failed = true
		}
	}
}
