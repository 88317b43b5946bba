package publisher

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// Apply is an event: an operator requests that the content replaces the base
// version. The key identifies the request, so that a repetition has the same
// result.
type Apply struct {
	key      string
	operator string
	base     uint64
	content  *configuration.Configuration
}

// NewApply returns the event that requests the content after the base version.
func NewApply(key, operator string, base uint64, content *configuration.Configuration) Apply {
	return Apply{
		key:      key,
		operator: operator,
		base:     base,
		content:  content,
	}
}

// Rollback is an event: an operator requests the content of an older version.
type Rollback struct {
	key      string
	operator string
	base     uint64
	to       uint64
}

// NewRollback returns the event that requests the content of version to.
func NewRollback(key, operator string, base, to uint64) Rollback {
	return Rollback{
		key:      key,
		operator: operator,
		base:     base,
		to:       to,
	}
}

// Drain is an event: an operator requests that a target gets no new work, or
// that it gets work again, whichever version is active.
type Drain struct {
	key      string
	operator string
	target   string
	undo     bool
}

// NewDrain returns the event that drains a target, or that undoes the drain.
func NewDrain(key, operator, target string, undo bool) Drain {
	return Drain{
		key:      key,
		operator: operator,
		target:   target,
		undo:     undo,
	}
}

// Outcome is the result of one call of the store.
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

// NewHeadRead returns the event; the outcome is NotFound for a store without head.
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

// NewVersionRead returns the event; c is nil unless the outcome is Done.
func NewVersionRead(o Outcome, c *configuration.Configuration) VersionRead {
	return VersionRead{
		outcome: o,
		content: c,
	}
}

// AuditRead is an event: the audit log was read.
type AuditRead struct {
	outcome Outcome
	audit   Audit
	index   uint64
}

// NewAuditRead returns the event; index is the store's index of the open segment.
func NewAuditRead(o Outcome, a Audit, index uint64) AuditRead {
	return AuditRead{
		outcome: o,
		audit:   a,
		index:   index,
	}
}

// Written is an event: a write or a deletion in the store ended.
type Written struct {
	outcome Outcome
}

// NewWritten returns the event of a write with the outcome o.
func NewWritten(o Outcome) Written {
	return Written{
		outcome: o,
	}
}

// ReadHead is an effect: read the head after a pause.
type ReadHead struct {
	pause time.Duration
}

// Pause returns how long to wait before the read.
func (r ReadHead) Pause() time.Duration {
	return r.pause
}

// ReadVersion is an effect: read a version.
type ReadVersion struct {
	version uint64
}

func (r ReadVersion) Version() uint64 {
	return r.version
}

// CreateVersion is an effect: write a version under its number, which must be
// unused.
type CreateVersion struct {
	content *configuration.Configuration
}

// Content returns the version with its number.
func (c CreateVersion) Content() *configuration.Configuration {
	return c.content
}

// MoveHead is an effect: make a version the active one if the head still has the
// index.
type MoveHead struct {
	content   *configuration.Configuration
	changeKey string
	previous  configuration.Head
	index     uint64
}

// Content returns the version with its number.
func (m MoveHead) Content() *configuration.Configuration {
	return m.content
}

// ChangeKey returns the key of the request, which the head stores.
func (m MoveHead) ChangeKey() string {
	return m.changeKey
}

// Previous returns the head that is replaced.
func (m MoveHead) Previous() configuration.Head {
	return m.previous
}

// Index returns the index that the head must still have.
func (m MoveHead) Index() uint64 {
	return m.index
}

// ReadAudit is an effect: read the open segment of the audit log.
type ReadAudit struct{}

// Archive is an effect: store a full segment under its number.
type Archive struct {
	audit Audit
}

// Audit returns the full segment.
func (a Archive) Audit() Audit {
	return a.audit
}

// WriteAudit is an effect: replace the open segment if it still has the index.
type WriteAudit struct {
	audit Audit
	index uint64
}

// Audit returns the new open segment.
func (w WriteAudit) Audit() Audit {
	return w.audit
}

// Index returns the index that the open segment must still have.
func (w WriteAudit) Index() uint64 {
	return w.index
}

// DeleteVersion is an effect: delete a version.
type DeleteVersion struct {
	version uint64
}

func (d DeleteVersion) Version() uint64 {
	return d.version
}

// DeleteSegment is an effect: delete an archived segment of the audit log.
type DeleteSegment struct {
	segment uint64
}

func (d DeleteSegment) Segment() uint64 {
	return d.segment
}

// Reply is an effect: return the result to the operator.
type Reply struct {
	result Result
}

// Result returns the result of the change.
func (r Reply) Result() Result {
	return r.result
}
