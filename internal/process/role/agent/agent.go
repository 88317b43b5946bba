// Package agent decides for the back ends beside a process.
//
// The agent alone admits work to its targets and its worker, and it keeps the
// ledger of what was started there. A start passes four checks before the back
// end is called: the membership lease is valid, the credit was issued a moment
// ago, the shard's epoch is not stale, and the ledger has no record of the task.
// Handle takes one event and returns effects; it holds no goroutine, clock or
// socket.
package agent

import (
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/connection/announcement"
	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ledger"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// CreditAge is how long a credit is valid after it was issued.
const CreditAge = 500 * time.Millisecond

// Call is an effect: send a task to a target.
type Call struct {
	target   string
	url      string
	task     identity.Task
	kind     string
	payload  []byte
	deadline time.Time
}

// Target is the target's name.
func (c Call) Target() string {
	return c.target
}

// URL is where the target takes tasks.
func (c Call) URL() string {
	return c.url
}

// Task names the task.
func (c Call) Task() identity.Task {
	return c.task
}

// Kind is the request kind.
func (c Call) Kind() string {
	return c.kind
}

// Payload is handed to the target.
func (c Call) Payload() []byte {
	return c.payload
}

// Deadline is the end of the caller's interest, zero for none.
func (c Call) Deadline() time.Time {
	return c.deadline
}

// Place is an effect: start a task on the worker under a lease.
type Place struct {
	worker    string
	task      identity.Task
	kind      string
	payload   []byte
	resources configuration.Resources
}

// Worker is the worker's name.
func (p Place) Worker() string {
	return p.worker
}

// Task names the task.
func (p Place) Task() identity.Task {
	return p.task
}

// Kind is the request kind.
func (p Place) Kind() string {
	return p.kind
}

// Payload is handed to the worker.
func (p Place) Payload() []byte {
	return p.payload
}

// Resources is what the task takes.
func (p Place) Resources() configuration.Resources {
	return p.resources
}

// Free is an effect: the new capacity hint.
type Free struct {
	rooms []message.Room
}

// Rooms is the capacity by service.
func (f Free) Rooms() []message.Room {
	return f.rooms
}

// Ended is an event: a back end's answer to a Call or a Place.
type Ended struct {
	task   identity.Task
	result outcome.Result
}

// NewEnded returns the event.
func NewEnded(task identity.Task, result outcome.Result) Ended {
	return Ended{
		task:   task,
		result: result,
	}
}

// Worker is an event: what the worker beside this process has.
type Worker struct {
	name      string
	rack      string
	resources configuration.Resources
}

// NewWorker returns the event.
func NewWorker(name, rack string, resources configuration.Resources) Worker {
	return Worker{
		name:      name,
		rack:      rack,
		resources: resources,
	}
}

// target is an announced target with the slots in use.
type target struct {
	announced announcement.Announcement
	until     time.Time
	used      int
}

// running is a task at a back end.
type running struct {
	owner     identity.Process
	target    string
	resources configuration.Resources
}

// Agent is the decision.
type Agent struct {
	issue   func(time.Time) uint64
	cfg     *configuration.Configuration
	lease   time.Time
	ledger  *ledger.Ledger
	targets map[string]*target
	worker  *Worker
	used    configuration.Resources
	running map[identity.Task]running
	effects []any
}

// New returns an agent without back ends. Issue gives the credit of a moment, a
// number that rises by one each millisecond.
func New(l *ledger.Ledger, issue func(time.Time) uint64) (*Agent, error) {
	if l == nil || issue == nil {
		return nil, errors.New("agent needs a ledger and a source of credits")
	}
	return &Agent{
		issue:   issue,
		ledger:  l,
		targets: map[string]*target{},
		running: map[identity.Task]running{},
	}, nil
}

// Handle takes one event and returns the effects. The slice is valid until the
// next call.
func (a *Agent) Handle(now time.Time, event any) []any {
	clear(a.effects)
	a.effects = a.effects[:0]
	switch e := event.(type) {
	case message.Received:
		a.received(now, e)
	case announcement.Announcement:
		a.announce(now, e)
	case Worker:
		a.worker = &e
		a.hint()
	case Ended:
		a.end(e)
	case membership.Lease:
		a.lease = e.Until()
	case *configuration.Configuration:
		if a.cfg == nil || e.Version() > a.cfg.Version() {
			a.cfg = e
		}
	case message.Wake:
		a.ledger.Expire(now)
		a.expire(now)
	}
	return a.effects
}

func (a *Agent) send(to identity.Process, body any) {
	a.effects = append(a.effects, message.NewSend(to, body))
}

func (a *Agent) received(now time.Time, r message.Received) {
	switch m := r.Body().(type) {
	case message.Start:
		if cause, ok := a.start(now, r.From(), m); !ok {
			a.send(r.From(), message.NewRejected(m.Task(), cause))
		}
	case message.Seal:
		a.seal(r.From(), m)
	}
}

// start admits a task, or tells why it was refused.
func (a *Agent) start(now time.Time, owner identity.Process, m message.Start) (message.Cause, bool) {
	if !a.lease.After(now) || a.cfg == nil {
		return message.NoLease, false
	}
	if m.Credit()+uint64(CreditAge.Milliseconds()) < a.issue(now) {
		return message.StaleCredit, false
	}
	if !m.Deadline().IsZero() && !m.Deadline().After(now) {
		return message.PastDeadline, false
	}
	kind, ok := a.cfg.Kind(m.Task().Submission().Team(), m.Kind())
	if !ok {
		return message.NoBackEnd, false
	}
	place, cause, ok := a.place(kind)
	if !ok {
		return cause, false
	}
	if err := a.ledger.Begin(now, m.Task(), m.Grant().Shard(), m.Grant().Epoch()); err != nil {
		return causeOf(err), false
	}
	a.begin(owner, m, kind, place)
	return 0, true
}

func causeOf(err error) message.Cause {
	switch {
	case errors.Is(err, ledger.ErrEpoch):
		return message.StaleEpoch
	case errors.Is(err, ledger.ErrStarted):
		return message.AlreadyStarted
	}
	return message.LedgerFull
}

// place finds the back end for a task; an empty name is the worker.
func (a *Agent) place(kind configuration.Kind) (string, message.Cause, bool) {
	if kind.BackEnd() == configuration.Worker {
		switch {
		case a.worker == nil:
			return "", message.NoBackEnd, false
		case !kind.Resources().Fits(a.worker.resources):
			return "", message.NeverFits, false
		case !kind.Resources().Fits(a.worker.resources.Sub(a.used)):
			return "", message.Busy, false
		}
		return "", 0, true
	}
	cause := message.NoBackEnd
	for name, t := range a.targets {
		if !serves(t, kind.Service()) {
			continue
		}
		if t.used < t.announced.Slots() {
			return name, 0, true
		}
		cause = message.Busy
	}
	return "", cause, false
}

func serves(t *target, service string) bool {
	for _, s := range t.announced.Services() {
		if s == service {
			return true
		}
	}
	return false
}

func (a *Agent) begin(owner identity.Process, m message.Start, kind configuration.Kind, place string) {
	a.running[m.Task()] = running{
		owner:     owner,
		target:    place,
		resources: kind.Resources(),
	}
	if place == "" {
		a.used = a.used.Add(kind.Resources())
		a.effects = append(a.effects, Place{
			worker:    a.worker.name,
			task:      m.Task(),
			kind:      m.Kind(),
			payload:   m.Payload(),
			resources: kind.Resources(),
		})
	} else {
		t := a.targets[place]
		t.used++
		a.effects = append(a.effects, Call{
			target:   place,
			url:      t.announced.URL(),
			task:     m.Task(),
			kind:     m.Kind(),
			payload:  m.Payload(),
			deadline: m.Deadline(),
		})
	}
	a.hint()
}

func (a *Agent) end(e Ended) {
	r, ok := a.running[e.task]
	if !ok {
		return
	}
	delete(a.running, e.task)
	a.ledger.End(e.task, e.result)
	if r.target == "" {
		a.used = a.used.Sub(r.resources)
	} else if t, ok := a.targets[r.target]; ok {
		t.used--
	}
	a.hint()
	a.send(r.owner, message.NewFinished(e.task, e.result))
}

func (a *Agent) seal(owner identity.Process, m message.Seal) {
	var records []ledger.Record
	var sealed []message.Grant
	for _, g := range m.Grants() {
		rs, err := a.ledger.Seal(g.Shard(), g.Epoch())
		if err != nil {
			continue
		}
		sealed = append(sealed, g)
		records = append(records, rs...)
	}
	a.send(owner, message.NewSealed(sealed, records, true, time.Time{}))
}

func (a *Agent) announce(now time.Time, n announcement.Announcement) {
	if n.Leaving() {
		delete(a.targets, n.Target())
		a.hint()
		return
	}
	t, ok := a.targets[n.Target()]
	if !ok {
		t = &target{}
		a.targets[n.Target()] = t
	}
	t.announced = n
	t.until = now.Add(announcement.Lifetime)
	if !ok {
		a.hint()
	}
}

// expire drops the targets whose announcements have stopped.
func (a *Agent) expire(now time.Time) {
	for name, t := range a.targets {
		if !t.until.After(now) {
			delete(a.targets, name)
			a.hint()
		}
	}
}

// hint publishes the free capacity by service.
func (a *Agent) hint() {
	free := map[string]uint32{}
	for _, t := range a.targets {
		for _, s := range t.announced.Services() {
			free[s] += uint32(max(t.announced.Slots()-t.used, 0))
		}
	}
	rooms := []message.Room{}
	for s, n := range free {
		rooms = append(rooms, message.NewRoom(s, n, 0, n, 1))
	}
	if a.worker != nil {
		left := a.worker.resources.Sub(a.used)
		rooms = append(rooms, message.NewRoom("worker", uint32(max(left.MilliCores()/1000, 0)), 0, 0, 1))
	}
	a.effects = append(a.effects, Free{
		rooms: rooms,
	})
}
