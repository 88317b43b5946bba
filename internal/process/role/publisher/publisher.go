package publisher

import (
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// RetainedVersions is the number of versions that stay in the store.
const RetainedVersions = 100

// The limits of one change.
const (
	maxTries       = 5
	maxSkips       = 16
	maxDeletions   = 8
	initialBackoff = 100 * time.Millisecond
)

type phase uint8

const (
	idle phase = iota
	readingHead
	readingApplied
	readingRollback
	creatingVersion
	movingHead
	rereadingHead
	searchingAudit
	readingBase
	readingCurrent
	readingAudit
	archivingSegment
	deletingSegment
	deletingVersion
	writingAudit
)

type change struct {
	key         string
	operator    string
	base        uint64
	to          uint64 // The version of a rollback.
	rollback    bool
	drain       string // The target; empty for other changes.
	undo        bool   // Ends the drain.
	content     *configuration.Configuration
	head        configuration.Head
	index       uint64
	next        *configuration.Configuration
	created     bool // The body of next is in the store.
	uncertain   bool // An answer to a move of the head was lost.
	tries       int
	skips       int // Version numbers that were in use.
	baseContent *configuration.Configuration
	result      Result
	audit       Audit
	auditIndex  uint64
	pruned      uint64
	deletions   []uint64
}

// Publisher is a state machine that carries out one change at a time.
type Publisher struct {
	phase  phase
	active change
}

func New() *Publisher {
	return &Publisher{}
}

func (p *Publisher) Idle() bool {
	return p.phase == idle
}

// Handle processes an event and returns at most one effect, whose result is the next event.
func (p *Publisher) Handle(now time.Time, event any) []any {
	switch e := event.(type) {
	case Apply:
		return p.begin(now, change{
			key:      e.key,
			operator: e.operator,
			base:     e.base,
			content:  e.content,
		})
	case Rollback:
		return p.begin(now, change{
			key:      e.key,
			operator: e.operator,
			base:     e.base,
			to:       e.to,
			rollback: true,
		})
	case Drain:
		return p.begin(now, change{
			key:      e.key,
			operator: e.operator,
			drain:    e.target,
			undo:     e.undo,
		})
	case HeadRead:
		if p.phase == rereadingHead {
			return p.headReread(e)
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

func (p *Publisher) begin(now time.Time, a change) []any {
	if p.phase != idle {
		return []any{Reply{
			result: Result{
				state:  Failed,
				base:   a.base,
				detail: "another change is in progress here; nothing was changed",
			},
		}}
	}
	p.active = a
	p.phase = readingHead
	if !configuration.ValidChangeKey(a.key) {
		return p.reply(Result{
			state:  Invalid,
			detail: "the key must have 1 to 64 printable characters without space, quotation mark, backslash, <, > and &",
		})
	}
	if a.operator == "" || len(a.operator) > MaxOperatorBytes {
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
	p.active.head = e.head
	p.active.index = e.index
	if v, ok := e.head.Find(p.active.key); ok {
		p.active.result.version = v
		p.phase = readingApplied
		return []any{ReadVersion{
			version: v,
		}}
	}
	if p.active.drain != "" {
		return p.prepareDrain()
	}
	if p.active.rollback {
		p.phase = readingRollback
		return []any{ReadVersion{
			version: p.active.to,
		}}
	}
	return p.prepare()
}

// prepare starts the checks of base and content, which precede all writes.
func (p *Publisher) prepare() []any {
	if p.active.head.Version() != p.active.base {
		p.phase = searchingAudit
		return []any{ReadAudit{}}
	}
	if p.active.base > 0 {
		p.phase = readingBase
		return []any{ReadVersion{
			version: p.active.base,
		}}
	}
	return p.validate()
}

// prepareDrain uses the active version as the base.
func (p *Publisher) prepareDrain() []any {
	p.active.base = p.active.head.Version()
	if p.active.base > 0 {
		return p.prepare()
	}
	return p.finish(Result{
		state:  NoVersion,
		detail: "no version is in force, in which a target could be drained",
	})
}

// mergeDrained copies the base's drained targets, which applied content lacks, or changes one.
func (p *Publisher) mergeDrained(o Outcome) []any {
	if o != Done {
		return p.finish(Result{
			state:  Failed,
			detail: "the base cannot be read; nothing was changed",
		})
	}
	base := p.active.baseContent
	if p.active.drain == "" {
		p.active.content = p.active.content.WithDrained(base.Drained())
		return p.validate()
	}
	drained := slices.DeleteFunc(slices.Clone(base.Drained()), func(t string) bool { return t == p.active.drain })
	if !p.active.undo {
		drained = append(drained, p.active.drain)
	}
	p.active.content = base.WithDrained(drained)
	return p.validate()
}

func (p *Publisher) validate() []any {
	ps := p.active.content.Check()
	if p.active.baseContent != nil {
		ps = append(ps, p.active.content.CheckAgainst(p.active.baseContent)...)
	}
	if len(ps) > 0 {
		return p.finish(Result{
			state:    Invalid,
			detail:   "the configuration contradicts itself",
			problems: ps,
		})
	}
	return p.createVersion()
}

func (p *Publisher) createVersion() []any {
	p.phase = creatingVersion
	p.active.next = p.active.content.WithVersion(p.active.base + 1 + uint64(p.active.skips))
	return []any{CreateVersion{
		content: p.active.next,
	}}
}

func (p *Publisher) moveHead() []any {
	p.phase = movingHead
	return []any{MoveHead{
		content:   p.active.next,
		changeKey: p.active.key,
		previous:  p.active.head,
		index:     p.active.index,
	}}
}

func (p *Publisher) versionRead(e VersionRead) []any {
	switch p.phase {
	case readingApplied:
		return p.repeated(e)
	case readingRollback:
		if e.outcome == Done {
			p.active.content = e.content
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
		p.active.baseContent = e.content
		if p.active.head.Version() == p.active.base {
			return p.mergeDrained(e.outcome)
		}
		p.phase = readingCurrent
		return []any{ReadVersion{
			version: p.active.head.Version(),
		}}
	case readingCurrent:
		return p.rejectStale(e.content)
	}
	return nil
}

// repeated answers a request whose key has already applied a version.
func (p *Publisher) repeated(e VersionRead) []any {
	v := p.active.result.version
	hasContent := p.active.content != nil && !p.active.rollback && p.active.drain == ""
	if hasContent && e.outcome == Done && len(configuration.Diff(e.content, p.active.content.WithDrained(e.content.Drained()))) > 0 {
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

func (p *Publisher) rejectStale(current *configuration.Configuration) []any {
	r := Result{
		state:  Stale,
		detail: "the base is not the version in force; see what changed and apply to that version",
	}
	if p.active.baseContent != nil && current != nil {
		r.changes = configuration.Diff(p.active.baseContent, current)
	} else {
		r.detail += "; the changes cannot be shown, since the base or the version in force cannot be read"
	}
	return p.finish(r)
}

// compareVersions reads the base and the active version to show what changed.
func (p *Publisher) compareVersions() []any {
	p.active.baseContent = nil
	p.phase = readingBase
	return []any{ReadVersion{
		version: p.active.base,
	}}
}

func (p *Publisher) written(now time.Time, o Outcome) []any {
	switch p.phase {
	case creatingVersion:
		return p.versionCreated(o)
	case movingHead:
		return p.headMoved(o)
	case archivingSegment:
		return p.segmentArchived(now, o)
	case deletingSegment:
		return p.prune(now)
	case deletingVersion:
		return p.versionDeleted(now, o)
	case writingAudit:
		return p.auditWritten(o)
	}
	return nil
}

func (p *Publisher) versionCreated(o Outcome) []any {
	switch o {
	case Done, AlreadyStored:
		p.active.created = true
		p.active.tries = 0
		return p.moveHead()
	case Mismatch:
		// The number was used by a change that never became active.
		p.active.skips++
		if p.active.skips <= maxSkips {
			return p.createVersion()
		}
	case Unknown:
		p.active.tries++
		if p.active.tries < maxTries {
			return p.createVersion()
		}
	}
	return p.finish(Result{
		state:  Failed,
		detail: "the body cannot be written; the version in force was not changed",
	})
}

func (p *Publisher) finishApplied() []any {
	r := Result{
		state:   Applied,
		version: p.active.next.Version(),
	}
	if p.active.baseContent != nil {
		r.changes = configuration.Diff(p.active.baseContent, p.active.next)
	}
	return p.finish(r)
}

// finish records the result and continues with the audit log.
func (p *Publisher) finish(r Result) []any {
	p.active.result = r
	p.active.tries = 0
	p.phase = readingAudit
	return []any{ReadAudit{}}
}

// reply ends the change and returns the publisher to idle.
func (p *Publisher) reply(r Result) []any {
	r.base = p.active.base
	r.current = max(p.active.head.Version(), r.version)
	p.phase = idle
	p.active = change{}
	return []any{Reply{
		result: r,
	}}
}
