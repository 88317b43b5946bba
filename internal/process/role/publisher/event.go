package publisher

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// Apply is an event: an operator wants the content to follow the base version.
// The key names the request, so that a repetition has the same result.
type Apply struct {
	key      string
	operator string
	base     uint64
	content  *configuration.Configuration
}

// NewApply returns the event.
func NewApply(key, operator string, base uint64, content *configuration.Configuration) Apply {
	return Apply{
		key:      key,
		operator: operator,
		base:     base,
		content:  content,
	}
}

// Rollback is an event: an operator wants the content of an older version back.
type Rollback struct {
	key      string
	operator string
	base     uint64
	to       uint64
}

// NewRollback returns the event.
func NewRollback(key, operator string, base, to uint64) Rollback {
	return Rollback{
		key:      key,
		operator: operator,
		base:     base,
		to:       to,
	}
}

// Drain is an event: an operator wants a target to get no new work, or to get it
// again, whatever version is in force.
type Drain struct {
	key      string
	operator string
	target   string
	undo     bool
}

// NewDrain returns the event.
func NewDrain(key, operator, target string, undo bool) Drain {
	return Drain{
		key:      key,
		operator: operator,
		target:   target,
		undo:     undo,
	}
}

// Outcome is the end of one call of the store.
type Outcome uint8

// The outcomes.
const (
	Done          Outcome = iota
	AlreadyStored         // The key has the same value already.
	Mismatch              // The key has another value.
	NotFound              // The key is not there.
	Unavailable           // Nothing was changed.
	Unknown               // The change may have taken effect.
)

// HeadRead is an event: the head was read.
type HeadRead struct {
	outcome Outcome
	head    configuration.Head
	index   uint64
}

// NewHeadRead returns the event; a store without head is Missing.
func NewHeadRead(o Outcome, h configuration.Head, index uint64) HeadRead {
	return HeadRead{
		outcome: o,
		head:    h,
		index:   index,
	}
}

// VersionRead is an event: a version was read.
type VersionRead struct {
	outcome Outcome
	content *configuration.Configuration
}

// NewVersionRead returns the event.
func NewVersionRead(o Outcome, c *configuration.Configuration) VersionRead {
	return VersionRead{
		outcome: o,
		content: c,
	}
}

// AuditRead is an event: the audit was read.
type AuditRead struct {
	outcome Outcome
	audit   Audit
	index   uint64
}

// NewAuditRead returns the event.
func NewAuditRead(o Outcome, a Audit, index uint64) AuditRead {
	return AuditRead{
		outcome: o,
		audit:   a,
		index:   index,
	}
}

// Written is an event: a change of the store ended.
type Written struct {
	outcome Outcome
}

// NewWritten returns the event.
func NewWritten(o Outcome) Written {
	return Written{
		outcome: o,
	}
}

// ReadHead is an effect: read the head, after a pause.
type ReadHead struct {
	pause time.Duration
}

// Pause is how long to wait first.
func (r ReadHead) Pause() time.Duration {
	return r.pause
}

// ReadVersion is an effect: read a version.
type ReadVersion struct {
	version uint64
}

// Version is the number of the version.
func (r ReadVersion) Version() uint64 {
	return r.version
}

// CreateVersion is an effect: write a version under a number that is free.
type CreateVersion struct {
	content *configuration.Configuration
}

// Content is the version with its number.
func (c CreateVersion) Content() *configuration.Configuration {
	return c.content
}

// MoveHead is an effect: make a version the one in force if the head still has
// the index.
type MoveHead struct {
	content   *configuration.Configuration
	changeKey string
	previous  configuration.Head
	index     uint64
}

// Content is the version.
func (m MoveHead) Content() *configuration.Configuration {
	return m.content
}

// ChangeKey identifies the attempt.
func (m MoveHead) ChangeKey() string {
	return m.changeKey
}

// Previous is the head that is replaced.
func (m MoveHead) Previous() configuration.Head {
	return m.previous
}

// Index is the index that the head must still have.
func (m MoveHead) Index() uint64 {
	return m.index
}

// ReadAudit is an effect: read the audit.
type ReadAudit struct{}

// Archive is an effect: keep a full audit under the number of its segment.
type Archive struct {
	audit Audit
}

// Audit is the full audit.
func (a Archive) Audit() Audit {
	return a.audit
}

// WriteAudit is an effect: replace the audit if it still has the index.
type WriteAudit struct {
	audit Audit
	index uint64
}

// Audit is the new audit.
func (w WriteAudit) Audit() Audit {
	return w.audit
}

// Index is the index that the audit must still have.
func (w WriteAudit) Index() uint64 {
	return w.index
}

// DeleteVersion is an effect: delete a version.
type DeleteVersion struct {
	version uint64
}

// Version is the number of the version.
func (d DeleteVersion) Version() uint64 {
	return d.version
}

// DeleteSegment is an effect: delete an archived segment of the audit.
type DeleteSegment struct {
	segment uint64
}

// Segment is the number of the segment.
func (d DeleteSegment) Segment() uint64 {
	return d.segment
}

// Reply is an effect: tell the operator.
type Reply struct {
	result Result
}

// Result is what the operator is told.
func (r Reply) Result() Result {
	return r.result
}
