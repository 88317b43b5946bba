// Package entry implements the state machine that forwards callers' requests to
// shard owners.
//
// An entry knows which process owns each shard. It forwards a request to the
// owner and keeps it pending until the owner answers. If the shard moves in the
// meantime, the entry sends the same submission to the new owner, which joins it
// to the job in progress. An entry keeps no state that must survive it. It never
// reports that a submission did not run, since an earlier attempt may have run.
package entry

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/job"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// Limits and timeouts of an entry.
const (
	// MaxRequests is the maximum number of pending requests of an entry.
	MaxRequests = 20_000
	// MaxPendingBytes bounds the payloads of all pending requests, which an entry
	// keeps to resend them to a new owner. 256 MB is a quarter of a small host's memory.
	MaxPendingBytes = 256 << 20
	// MaxCallerSkew is how far a caller's clock may be ahead of the entry's.
	MaxCallerSkew = time.Second
	// ownerTimeout is how long an entry waits for the first reply of an owner. A
	// shard whose owner failed is served again within 5 s.
	ownerTimeout = 6 * time.Second
	// retryInterval is the delay before a request is resent to an unavailable owner.
	retryInterval = 200 * time.Millisecond
	// drainRetryAfter is short because another entry can accept the request at once.
	drainRetryAfter = 100 * time.Millisecond
)

// pending is a request that waits for its owner. From until on, the caller gets
// the owner's last answer. At giveUpAt the entry stops waiting for an owner that
// has not replied.
type pending struct {
	submission identity.Submission
	body       func(request uint64) any
	bytes      int
	until      time.Time
	giveUpAt   time.Time
	sentTo     identity.Process
	retryAt    time.Time
	lastAnswer answer.Answer
	replied    bool
}

// Entry is the state machine of an entry.
type Entry struct {
	regions  int
	shards   int
	cfg      *configuration.Configuration
	routes   map[identity.Shard]membership.Route
	requests map[uint64]*pending
	// arrivals lists request numbers in order of arrival, so that the effects of an
	// event do not depend on map iteration order. The next wake removes the numbers
	// of answered requests.
	arrivals     []uint64
	pendingBytes int
	draining     bool
	effects      []any
}

// New returns an entry without configuration or routes. It returns an error if
// regions is less than 1 or shards is less than regions.
func New(regions, shards int) (*Entry, error) {
	if regions < 1 || shards < regions {
		return nil, errors.Errorf("entry: got %d shards for %d regions, want at least one region and at least one shard per region", shards, regions)
	}
	return &Entry{
		regions:  regions,
		shards:   shards,
		routes:   map[identity.Shard]membership.Route{},
		requests: map[uint64]*pending{},
	}, nil
}

// Handle processes one event and returns its effects. The slice is valid until
// the next call.
func (e *Entry) Handle(now time.Time, event any) []any {
	clear(e.effects)
	e.effects = e.effects[:0]
	switch v := event.(type) {
	case Submit:
		e.submit(now, v)
	case Query:
		e.query(now, v)
	case Cancel:
		e.accept(now, v.request, &pending{
			submission: v.submission,
			until:      v.until,
			body:       func(n uint64) any { return message.NewCancel(n, v.submission) },
		})
	case Abandon:
		e.remove(v.request)
	case Drain:
		e.startDrain(now, v)
	case message.Received:
		if m, ok := v.Body().(message.Reply); ok {
			e.reply(now, v.From(), m)
		}
	case message.Undelivered:
		e.undelivered(v)
	case membership.Routes:
		e.reroute(v)
	case *configuration.Configuration:
		if e.cfg == nil || v.Version() > e.cfg.Version() {
			e.cfg = v
		}
	case message.Wake:
		e.expire(now)
	}
	return e.effects
}

// Ready reports whether the entry has a configuration and a route and is not draining.
func (e *Entry) Ready() bool {
	return e.cfg != nil && len(e.routes) > 0 && !e.draining
}

// Drained reports whether the entry is draining and has no pending request.
func (e *Entry) Drained() bool {
	return e.draining && len(e.requests) == 0
}

// Snapshot is the state of an entry for the dump, which prints the field names.
type Snapshot struct {
	requests      int
	heldBytes     int
	unanswered    int
	withoutOwner  int
	routes        int
	owners        int
	configVersion uint64
	draining      bool
}

// Snapshot returns a summary of the state.
func (e *Entry) Snapshot() Snapshot {
	s := Snapshot{
		requests:  len(e.requests),
		heldBytes: e.pendingBytes,
		routes:    len(e.routes),
		owners:    e.Owners(),
		draining:  e.draining,
	}
	if e.cfg != nil {
		s.configVersion = e.cfg.Version()
	}
	for _, p := range e.requests {
		if !p.replied {
			s.unanswered++
		}
		if p.sentTo.IsZero() {
			s.withoutOwner++
		}
	}
	return s
}

// Owners returns the number of distinct processes that own a shard.
func (e *Entry) Owners() int {
	owners := map[identity.Process]bool{}
	for _, r := range e.routes {
		if !r.Owner().IsZero() {
			owners[r.Owner()] = true
		}
	}
	return len(owners)
}

// Requests returns the number of pending requests.
func (e *Entry) Requests() int {
	return len(e.requests)
}

func (e *Entry) submit(now time.Time, v Submit) {
	s := v.order.Submission()
	if s.FirstSent().After(now.Add(MaxCallerSkew)) {
		e.respond(v.request, answer.NotForwarded(answer.KeyInFuture,
			"key: its time is "+s.FirstSent().UTC().Format(time.RFC3339)+", at most "+MaxCallerSkew.String()+" ahead is allowed", 0))
		return
	}
	if detail, ok := e.check(v.order); !ok {
		e.respond(v.request, answer.NotForwarded(answer.InvalidRequest, detail, 0))
		return
	}
	e.accept(now, v.request, &pending{
		submission: s,
		until:      v.until,
		bytes:      v.order.Bytes(),
		body:       func(n uint64) any { return message.NewSubmit(n, v.order) },
	})
}

// check validates an order against the limits of the configuration. The owner
// checks whether the kind exists, since it may know the submission from an
// earlier version.
func (e *Entry) check(o job.Order) (string, bool) {
	if o.TooLarge() {
		return fmt.Sprintf("tasks: they have more than %d bytes together, counting 8 bytes for each task beside its payload", job.MaxOrderBytes), false
	}
	if e.cfg == nil {
		return "", true
	}
	if n := e.cfg.Limits().MaxTasks(); len(o.Payloads()) > n {
		return fmt.Sprintf("tasks: the job has %d, at most %d are allowed", len(o.Payloads()), n), false
	}
	kind, ok := e.cfg.Kind(o.Submission().Team(), o.Kind())
	if !ok {
		return "", true
	}
	for i, p := range o.Payloads() {
		if len(p) > kind.PayloadBytes() {
			return fmt.Sprintf("tasks[%d]: the payload has %d bytes, at most %d are allowed", i, len(p), kind.PayloadBytes()), false
		}
	}
	return "", true
}

func (e *Entry) query(now time.Time, v Query) {
	wait := v.until.After(now)
	e.accept(now, v.request, &pending{
		submission: v.submission,
		until:      v.until,
		body:       func(n uint64) any { return message.NewQuery(n, v.submission, wait) },
	})
}

func (e *Entry) remove(request uint64) {
	if p, ok := e.requests[request]; ok {
		e.pendingBytes -= p.bytes
		delete(e.requests, request)
	}
}

func (e *Entry) respond(request uint64, a answer.Answer) {
	e.remove(request)
	e.effects = append(e.effects, Respond{
		request: request,
		answer:  a,
	})
}

func (e *Entry) accept(now time.Time, request uint64, p *pending) {
	if e.draining {
		e.respond(request, answer.NotForwarded(answer.ShuttingDown, "the entry is stopping", drainRetryAfter))
		return
	}
	if len(e.requests) >= MaxRequests || e.pendingBytes+p.bytes > MaxPendingBytes {
		e.respond(request, answer.NotForwarded(answer.Overloaded, "the entry holds too many requests", time.Second))
		return
	}
	if e.cfg == nil {
		e.respond(request, answer.NotForwarded(answer.Unavailable, "the entry has no configuration yet", time.Second))
		return
	}
	if _, ok := e.cfg.Team(p.submission.Team()); !ok {
		e.respond(request, answer.NotForwarded(answer.UnknownTeam, p.submission.Team(), 0))
		return
	}
	p.giveUpAt = now.Add(ownerTimeout)
	if p.until.After(p.giveUpAt) {
		p.giveUpAt = p.until
	}
	e.requests[request] = p
	e.pendingBytes += p.bytes
	e.arrivals = append(e.arrivals, request)
	e.forward(request, p)
}

// forward sends a request to its shard's owner. Without one, it waits for a route.
func (e *Entry) forward(request uint64, p *pending) {
	team, ok := e.cfg.Team(p.submission.Team())
	if !ok {
		return
	}
	route := e.routes[identity.ShardOf(p.submission, team.HomeRegion(), e.regions, e.shards)]
	p.sentTo = route.Owner()
	if p.sentTo.IsZero() {
		return
	}
	e.effects = append(e.effects, message.NewSend(p.sentTo, p.body(request)))
}

func (e *Entry) reply(now time.Time, from identity.Process, m message.Reply) {
	p, ok := e.requests[m.Request()]
	if !ok || p.sentTo != from {
		return
	}
	a := m.Answer()
	if a.Reason() == answer.Unavailable {
		// The owner has lost the shard. The next route names the new owner.
		p.sentTo = identity.Process{}
		p.retryAt = now.Add(retryInterval)
		return
	}
	p.lastAnswer = a
	p.replied = true
	if a.Ended() || !p.until.After(now) {
		e.respond(m.Request(), a)
	}
}

func (e *Entry) undelivered(u message.Undelivered) {
	var request uint64
	switch m := u.Send().Body().(type) {
	case message.Submit:
		request = m.Request()
	case message.Query:
		request = m.Request()
	case message.Cancel:
		request = m.Request()
	default:
		return
	}
	if _, ok := e.requests[request]; ok {
		e.respond(request, answer.NotForwarded(answer.Overloaded, "the owner takes no more messages", time.Second))
	}
}

// reroute forwards the requests of moved shards to their new owners.
func (e *Entry) reroute(v membership.Routes) {
	for _, r := range v.Routes() {
		if r.Epoch() >= e.routes[r.Shard()].Epoch() {
			e.routes[r.Shard()] = r
		}
	}
	for _, n := range e.arrivals {
		p, ok := e.requests[n]
		if !ok {
			continue
		}
		team, ok := e.cfg.Team(p.submission.Team())
		if !ok {
			continue
		}
		owner := e.routes[identity.ShardOf(p.submission, team.HomeRegion(), e.regions, e.shards)].Owner()
		if owner != p.sentTo {
			e.forward(n, p)
		}
	}
}

// expire answers requests whose wait is over, and resends those whose owner was
// unavailable.
func (e *Entry) expire(now time.Time) {
	remaining := e.arrivals[:0]
	for _, n := range e.arrivals {
		p, ok := e.requests[n]
		if !ok {
			continue
		}
		if p.giveUpAt.After(now) && (!p.replied || p.until.After(now)) {
			remaining = append(remaining, n)
			if p.sentTo.IsZero() && !p.retryAt.After(now) {
				p.retryAt = now.Add(retryInterval)
				e.forward(n, p)
			}
			continue
		}
		e.finish(n, p)
	}
	e.arrivals = remaining
}

// finish answers a request with its owner's last answer, or with why it has none.
func (e *Entry) finish(n uint64, p *pending) {
	switch {
	case p.replied:
		e.respond(n, p.lastAnswer)
	case e.draining:
		e.respond(n, answer.NotForwarded(answer.ShuttingDown, "the entry stopped before the owner answered", drainRetryAfter))
	default:
		e.respond(n, answer.NotForwarded(answer.Unavailable, "the owner of the submission did not answer in time", time.Second))
	}
}

func (e *Entry) startDrain(now time.Time, v Drain) {
	e.draining = true
	for _, p := range e.requests {
		if p.until.After(v.until) {
			p.until = v.until
		}
		if p.giveUpAt.After(v.until) {
			p.giveUpAt = v.until
		}
	}
	e.expire(now)
}
