package publisher

import "time"

// The bounds of the audit. At 3,200 changes a day the kept segments reach back
// two days; a record takes under 400 bytes, so that the audit takes under 3 MB.
const (
	SegmentRecords   = 100
	RetainedSegments = 64
	// MaxOperatorBytes bounds the name of an operator in a record.
	MaxOperatorBytes = 64
)

// Record says who wanted a change and how it ended.
type Record struct {
	operator string
	endedAt  time.Time
	key      string
	base     uint64
	version  uint64
	state    State
}

// NewRecord returns a record; version is 0 unless the change was applied.
func NewRecord(operator string, endedAt time.Time, key string, base, version uint64, state State) Record {
	return Record{
		operator: operator,
		endedAt:  endedAt,
		key:      key,
		base:     base,
		version:  version,
		state:    state,
	}
}

// Operator wanted the change.
func (r Record) Operator() string {
	return r.operator
}

// EndedAt the change ended.
func (r Record) EndedAt() time.Time {
	return r.endedAt
}

// Key names the request.
func (r Record) Key() string {
	return r.key
}

// Base is the version that the change was meant to follow.
func (r Record) Base() uint64 {
	return r.base
}

// Version is the version that the change became.
func (r Record) Version() uint64 {
	return r.version
}

// State is how the change ended.
func (r Record) State() State {
	return r.state
}

// Audit is the open segment of the audit, with the bookkeeping of the store.
type Audit struct {
	segment uint64
	pruned  uint64
	records []Record
}

// NewAudit returns an audit. Versions up to pruned have been deleted.
func NewAudit(segment, pruned uint64, records []Record) Audit {
	return Audit{
		segment: segment,
		pruned:  pruned,
		records: append([]Record(nil), records...),
	}
}

// Segment is the number of the open segment.
func (a Audit) Segment() uint64 {
	return a.segment
}

// Pruned is the number up to which versions have been deleted.
func (a Audit) Pruned() uint64 {
	return a.pruned
}

// Records lists the open segment, the oldest first.
func (a Audit) Records() []Record {
	return a.records
}

// full tells whether the segment must be archived before the next record.
func (a Audit) full() bool {
	return len(a.records) >= SegmentRecords
}

// next is the empty segment after a.
func (a Audit) next() Audit {
	return NewAudit(a.segment+1, a.pruned, nil)
}

// withRecord returns the audit withRecord one more record.
func (a Audit) withRecord(r Record, pruned uint64) Audit {
	return NewAudit(a.segment, pruned, append(append([]Record(nil), a.records...), r))
}

// find returns the record of an applied change.
func (a Audit) find(key string) (Record, bool) {
	for _, r := range a.records {
		if r.key == key && r.state == Applied {
			return r, true
		}
	}
	return Record{}, false
}

// contains tells whether the segment contains a record of this end of a request.
func (a Audit) contains(key string, base uint64, state State) bool {
	for _, r := range a.records {
		if r.key == key && r.base == base && r.state == state {
			return true
		}
	}
	return false
}
