package owner

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// The delays after which the owner acts without a message.
const (
	// resendDelay is the delay before a message is sent again that exceeded the
	// window of its link.
	resendDelay = 50 * time.Millisecond
	// confirmTimeout bounds the wait of a stopped job for agents to confirm what
	// ran. The failure of an agent is detected within 3 s, so a later answer would
	// not be more precise.
	confirmTimeout = 3 * time.Second
	// maxCallerSkew is the largest accepted time that a caller's clock is ahead.
	maxCallerSkew = time.Second
	// retentionMargin is the time for which a submission is kept beyond the
	// retention. Agents keep their records equally long, so that a record outlives
	// its key.
	retentionMargin = 2 * maxCallerSkew
	// defaultRetention applies to records that arrive before the first
	// configuration.
	defaultRetention = 10 * time.Minute
)

// purpose is the action of a timer.
type purpose uint8

const (
	endRetention    purpose = iota // The retention of a submission, or of recovered records, has ended.
	deadline                       // The deadline of a job has passed.
	confirm                        // A stopped job has waited for confirmations until the timeout.
	sendFence                      // The shards of a batch are to be fenced.
	fenceExpired                   // Agents that have not answered are treated as missing records.
	readmit                        // The suspension or ejection of an endpoint ends.
	forgetLostAgent                // No record refers to a lost process any longer.
	resend                         // An undelivered message is sent again.
)

// timer is a pending action. The subject is a pointer, so that the many timers of
// submissions stay small.
type timer struct {
	at      time.Time
	action  purpose
	subject any
}

// arm sets a timer.
func (o *Owner) arm(at time.Time, action purpose, subject any) {
	o.timers.Push(timer{
		at:      at,
		action:  action,
		subject: subject,
	})
}

// Next returns the time at which the owner needs a message.Wake. It is zero if the
// owner only waits for messages.
func (o *Owner) Next() time.Time {
	var next time.Time
	earliest := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if t, ok := o.timers.Top(); ok {
		earliest(t.at)
	}
	if len(o.pendingRevokes.order) > 0 {
		earliest(o.pendingRevokes.last.Add(revokeInterval))
	}
	if o.stale > 0 && o.waiting.tasks > 0 {
		earliest(o.nextCreditRequest)
	}
	return next
}

// expire fires the timers that are due.
func (o *Owner) expire(now time.Time) {
	for {
		t, ok := o.timers.Top()
		if !ok || t.at.After(now) {
			return
		}
		o.timers.Remove(0)
		o.fire(now, t)
	}
}

func (o *Owner) fire(now time.Time, t timer) {
	switch v := t.subject.(type) {
	case *submission:
		o.due(now, t.action, v)
	case *recoveredSubmission:
		if o.recovered[v.key] == v {
			delete(v.shard.recoveredSet, v.key)
			delete(o.recovered, v.key)
		}
	case *batch:
		if t.action == sendFence {
			o.fenceBatch(now, v)
			return
		}
		for _, sh := range v.shards {
			o.finishFencing(now, sh)
		}
	case *endpoint:
		o.readmit(v)
	case *identity.Process:
		delete(o.lostAgents, *v)
	case *message.Send:
		if _, lost := o.lostAgents[v.To()]; !lost {
			o.outgoing = append(o.outgoing, *v)
		}
	}
}

// due runs the action of a timer on a submission, unless it was removed.
func (o *Owner) due(now time.Time, action purpose, s *submission) {
	if o.submissions[s.key()] != s {
		return
	}
	switch action {
	case endRetention:
		o.endRetention(now, s)
	case deadline:
		o.stop(now, s, answer.DeadlinePassed, "the deadline passed", 0)
	case confirm:
		if s.job.Abandon(answer.OutcomeUnknown, "an agent did not confirm") {
			o.ended(s)
		}
	}
}

func (o *Owner) retention() time.Duration {
	if o.cfg == nil {
		return defaultRetention
	}
	return o.cfg.Limits().Retention()
}

// armRetention arms the timer for the end of a key's retention.
func (o *Owner) armRetention(now time.Time, key identity.Submission, subject any) {
	at := key.FirstSent().Add(o.retention() + retentionMargin)
	if !at.After(now) {
		at = now.Add(retentionMargin)
	}
	o.arm(at, endRetention, subject)
}

// endRetention removes a submission at the end of its retention. A submission with
// open tasks is kept until they have ended.
func (o *Owner) endRetention(now time.Time, s *submission) {
	if !s.job.Answer().Ended() || s.job.OpenTasks() > 0 {
		o.armRetention(now, s.key(), s)
		return
	}
	o.remove(s)
}
