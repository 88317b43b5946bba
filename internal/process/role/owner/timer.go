package owner

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// The times after which the owner acts without a message.
const (
	// resendDelay is the pause before a message is repeated that found no room in
	// the link's window.
	resendDelay = 50 * time.Millisecond
	// confirmLimit is how long a stopped job waits for agents to confirm what ran.
	// A dead agent is known after 3 s, so a later answer would say no more.
	confirmTimeout = 3 * time.Second
	// maxCallerSkew is the largest accepted lead of a caller's clock.
	maxCallerSkew = time.Second
	// keepMargin is how long a submission is kept beyond the retention. Agents keep
	// their records as long, so that a record outlives its key.
	retentionMargin = 2 * maxCallerSkew
	// defaultRetention holds for records that arrive before a configuration.
	defaultRetention = 10 * time.Minute
)

// purpose is what a timer is for.
type purpose uint8

const (
	endRetention    purpose = iota // A submission or remnant reached the end of its retention.
	deadline                       // A job's deadline.
	confirm                        // A stopped job has waited long enough for confirmations.
	sendFence                      // The grants of a batch are sealed together.
	fenceExpired                   // Agents that have not answered count as gaps.
	readmit                        // A room's pause or ejection ends.
	forgetLostAgent                // A departed process is no longer named by any record.
	resend                         // A message that did not leave is sent again.
)

// timer is a moment at which the owner acts. Subject is a pointer to what it is
// about, so that the many timers of submissions stay small.
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

// Next is when the owner wants a message.Wake; zero if it waits for messages only.
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

// expire runs the timers that are due.
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

// due acts on a submission that is still kept.
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

// forgetAt arms the end of a key's retention.
func (o *Owner) armRetention(now time.Time, key identity.Submission, subject any) {
	at := key.FirstSent().Add(o.retention() + retentionMargin)
	if !at.After(now) {
		at = now.Add(retentionMargin)
	}
	o.arm(at, endRetention, subject)
}

// forget drops a submission at the end of its retention; one with open tasks
// stays until they have ended.
func (o *Owner) endRetention(now time.Time, s *submission) {
	if !s.job.Answer().Ended() || s.job.OpenTasks() > 0 {
		o.armRetention(now, s.key(), s)
		return
	}
	o.remove(s)
}
