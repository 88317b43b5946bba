// Package publisher decides how a configuration version comes into force.
//
// Operators race each other, and the store may lose the answer to a change that
// took effect. The publisher writes the body under a number that nobody used,
// moves the head by compare-and-swap from the base that the operator named, and
// reads the head back when the answer was lost. The head names its last writers,
// so that the publisher finds its own mark even if others moved the head on. A
// body is never overwritten: a head that moved to it would otherwise name a
// digest that the store no longer has.
package publisher

import (
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// RetainedVersions is how many versions stay in the store.
const RetainedVersions = 100

// The bounds of one change.
const (
	maxTries   = 5
	maxSkips   = 16
	maxDrops   = 8
	firstPause = 100 * time.Millisecond
)

type phase uint8

const (
	idle phase = iota
	readingHead
	readingOwn
	readingTarget
	creating
	moving
	readingBack
	readingRecords
	readingBase
	readingCurrent
	readingAudit
	archiving
	droppingSegment
	dropping
	writingAudit
)

// attempt is the change in progress.
type attempt struct {
	key       string
	who       string
	base      uint64
	to        uint64
	rollback  bool
	drain     string
	undo      bool
	content   *configuration.Configuration
	head      configuration.Head
	index     uint64
	next      *configuration.Configuration
	created   bool
	uncertain bool
	tries     int
	skips     int
	before    *configuration.Configuration
	result    Result
	audit     Audit
	auditAt   uint64
	pruned    uint64
	drops     []uint64
}

// Publisher carries out one change at a time.
type Publisher struct {
	phase phase
	at    attempt
}

// New returns an idle publisher.
func New() *Publisher {
	return &Publisher{}
}

// Idle tells whether the publisher takes a change.
func (p *Publisher) Idle() bool {
	return p.phase == idle
}

// Handle takes an event and returns the effects. A change has one effect at a
// time, whose end is the next event.
func (p *Publisher) Handle(now time.Time, event any) []any {
	switch e := event.(type) {
	case Apply:
		return p.begin(now, attempt{
			key:     e.key,
			who:     e.who,
			base:    e.base,
			content: e.content,
		})
	case Rollback:
		return p.begin(now, attempt{
			key:      e.key,
			who:      e.who,
			base:     e.base,
			to:       e.to,
			rollback: true,
		})
	case Drain:
		return p.begin(now, attempt{
			key:   e.key,
			who:   e.who,
			drain: e.target,
			undo:  e.undo,
		})
	case HeadRead:
		if p.phase == readingBack {
			return p.headReadBack(e)
		}
		return p.headRead(e)
	case VersionRead:
		return p.versionRead(e)
	case AuditRead:
		return p.auditRead(now, e)
	case Written:
		return p.written(now, e.outcome)
	}
	return nil
}

func (p *Publisher) begin(now time.Time, a attempt) []any {
	if p.phase != idle {
		return []any{Reply{
			result: Result{
				state:  Failed,
				base:   a.base,
				detail: "another change is in progress here; nothing was changed",
			},
		}}
	}
	p.at = a
	p.phase = readingHead
	if !configuration.ValidChangeKey(a.key) {
		return p.reply(Result{
			state:  Invalid,
			detail: "the key must have 1 to 64 printable characters without space, quotation mark, backslash, <, > and &",
		})
	}
	if a.who == "" || len(a.who) > MaxOperatorBytes {
		return p.reply(Result{
			state:  Invalid,
			detail: "the operator's name must have 1 to 64 bytes",
		})
	}
	return []any{ReadHead{}}
}

func (p *Publisher) headRead(e HeadRead) []any {
	if e.outcome != Done && e.outcome != NotFound {
		return p.finish(Result{
			state:  Failed,
			detail: "the head cannot be read; nothing was changed",
		})
	}
	p.at.head = e.head
	p.at.index = e.index
	if v, ok := e.head.Find(p.at.key); ok {
		p.at.result.version = v
		p.phase = readingOwn
		return []any{ReadVersion{
			version: v,
		}}
	}
	if p.at.drain != "" {
		return p.prepareDrain()
	}
	if p.at.rollback {
		p.phase = readingTarget
		return []any{ReadVersion{
			version: p.at.to,
		}}
	}
	return p.prepare()
}

// prepare checks base and content before anything is written.
func (p *Publisher) prepare() []any {
	if p.at.head.Version() != p.at.base {
		p.phase = readingRecords
		return []any{ReadAudit{}}
	}
	if p.at.base > 0 {
		p.phase = readingBase
		return []any{ReadVersion{
			version: p.at.base,
		}}
	}
	return p.checked()
}

// prepareDrain takes the version in force as the base.
func (p *Publisher) prepareDrain() []any {
	p.at.base = p.at.head.Version()
	if p.at.base > 0 {
		return p.prepare()
	}
	return p.finish(Result{
		state:  NoVersion,
		detail: "no version is in force, in which a target could be drained",
	})
}

// merge keeps the drained targets of the base, which operators change apart from
// their answers, or changes one of them.
func (p *Publisher) merge(o Outcome) []any {
	if o != Done {
		return p.finish(Result{
			state:  Failed,
			detail: "the base cannot be read; nothing was changed",
		})
	}
	base := p.at.before
	if p.at.drain == "" {
		p.at.content = p.at.content.WithDrained(base.Drained())
		return p.checked()
	}
	drained := slices.DeleteFunc(slices.Clone(base.Drained()), func(t string) bool { return t == p.at.drain })
	if !p.at.undo {
		drained = append(drained, p.at.drain)
	}
	p.at.content = base.WithDrained(drained)
	return p.checked()
}

func (p *Publisher) checked() []any {
	ps := p.at.content.Check()
	if p.at.before != nil {
		ps = append(ps, p.at.content.CheckAgainst(p.at.before)...)
	}
	if len(ps) > 0 {
		return p.finish(Result{
			state:    Invalid,
			detail:   "the configuration contradicts itself",
			problems: ps,
		})
	}
	return p.create()
}

func (p *Publisher) create() []any {
	p.phase = creating
	p.at.next = p.at.content.WithVersion(p.at.base + 1 + uint64(p.at.skips))
	return []any{CreateVersion{
		content: p.at.next,
	}}
}

func (p *Publisher) move() []any {
	p.phase = moving
	return []any{MoveHead{
		content: p.at.next,
		mark:    p.at.key,
		former:  p.at.head,
		index:   p.at.index,
	}}
}

func (p *Publisher) versionRead(e VersionRead) []any {
	switch p.phase {
	case readingOwn:
		return p.repeated(e)
	case readingTarget:
		if e.outcome == Done {
			p.at.content = e.content
			return p.prepare()
		}
		if e.outcome == NotFound {
			return p.finish(Result{
				state:  NoVersion,
				detail: "there is no such version; the last 100 are kept",
			})
		}
		return p.finish(Result{
			state:  Failed,
			detail: "the version cannot be read; nothing was changed",
		})
	case readingBase:
		p.at.before = e.content
		if p.at.head.Version() == p.at.base {
			return p.merge(e.outcome)
		}
		p.phase = readingCurrent
		return []any{ReadVersion{
			version: p.at.head.Version(),
		}}
	case readingCurrent:
		return p.stale(e.content)
	}
	return nil
}

// repeated answers a request whose key has applied a version before.
func (p *Publisher) repeated(e VersionRead) []any {
	v := p.at.result.version
	given := p.at.content != nil && !p.at.rollback && p.at.drain == ""
	if given && e.outcome == Done && len(configuration.Diff(e.content, p.at.content.WithDrained(e.content.Drained()))) > 0 {
		return p.finish(Result{
			state:  Conflict,
			detail: "the key has applied another content before",
		})
	}
	return p.reply(Result{
		state:    Applied,
		version:  v,
		repeated: true,
		audited:  true,
		detail:   "an earlier request with this key applied the version",
	})
}

func (p *Publisher) stale(current *configuration.Configuration) []any {
	r := Result{
		state:  Stale,
		detail: "the base is not the version in force; see what changed and apply to that version",
	}
	if p.at.before != nil && current != nil {
		r.changes = configuration.Diff(p.at.before, current)
	} else {
		r.detail += "; the changes cannot be shown, since the base or the version in force cannot be read"
	}
	return p.finish(r)
}

// diverged shows both versions and what changed.
func (p *Publisher) diverged() []any {
	p.at.before = nil
	p.phase = readingBase
	return []any{ReadVersion{
		version: p.at.base,
	}}
}

func (p *Publisher) written(now time.Time, o Outcome) []any {
	switch p.phase {
	case creating:
		return p.wasCreated(o)
	case moving:
		return p.wasMoved(o)
	case archiving:
		return p.archived(now, o)
	case droppingSegment:
		return p.prune(now)
	case dropping:
		return p.dropped(now, o)
	case writingAudit:
		return p.auditWritten(o)
	}
	return nil
}

func (p *Publisher) wasCreated(o Outcome) []any {
	switch o {
	case Done, AlreadyStored:
		p.at.created = true
		p.at.tries = 0
		return p.move()
	case Mismatch:
		// The number was used by a change that never came into force.
		p.at.skips++
		if p.at.skips <= maxSkips {
			return p.create()
		}
	case Unknown:
		p.at.tries++
		if p.at.tries < maxTries {
			return p.create()
		}
	}
	return p.finish(Result{
		state:  Failed,
		detail: "the body cannot be written; the version in force was not changed",
	})
}

func (p *Publisher) applied() []any {
	r := Result{
		state:   Applied,
		version: p.at.next.Version(),
	}
	if p.at.before != nil {
		r.changes = configuration.Diff(p.at.before, p.at.next)
	}
	return p.finish(r)
}

// finish notes the result and goes on to the audit.
func (p *Publisher) finish(r Result) []any {
	p.at.result = r
	p.at.tries = 0
	p.phase = readingAudit
	return []any{ReadAudit{}}
}

// reply ends the change.
func (p *Publisher) reply(r Result) []any {
	r.base = p.at.base
	r.current = max(p.at.head.Version(), r.version)
	p.phase = idle
	p.at = attempt{}
	return []any{Reply{
		result: r,
	}}
}
