package publisher

import "time"

// The limits of the audit log. At 3,200 changes a day the retained segments cover
// two days. A record takes less than 400 bytes, so the log takes less than 3 MB.
const (
	SegmentRecords   = 100
	RetainedSegments = 64
	// MaxOperatorBytes is the maximum length of an operator's name.
	MaxOperatorBytes = 64
)

// Record is the entry of one change in the audit log.
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

// Operator returns the name of the operator who requested the change.
func (r Record) Operator() string {
	return r.operator
}

// EndedAt returns the time at which the change ended.
func (r Record) EndedAt() time.Time {
	return r.endedAt
}

// Key returns the key of the request.
func (r Record) Key() string {
	return r.key
}

// Base returns the version that the change was based on.
func (r Record) Base() uint64 {
	return r.base
}

// Version returns the number of the new version; 0 if it was not applied.
func (r Record) Version() uint64 {
	return r.version
}

// State returns how the change ended.
func (r Record) State() State {
	return r.state
}

// Audit is a segment of the audit log, with the number up to which versions have
// been deleted.
type Audit struct {
	segment uint64
	pruned  uint64
	records []Record
}

// NewAudit returns a segment with a copy of the records, the oldest first.
// Versions up to pruned have been deleted.
func NewAudit(segment, pruned uint64, records []Record) Audit {
	return Audit{
		segment: segment,
		pruned:  pruned,
		records: append([]Record(nil), records...),
	}
}

// Segment returns the number of the segment.
func (a Audit) Segment() uint64 {
	return a.segment
}

// Pruned returns the number up to which versions have been deleted.
func (a Audit) Pruned() uint64 {
	return a.pruned
}

// Records returns the records of the segment, the oldest first.
func (a Audit) Records() []Record {
	return a.records
}

// full reports whether the segment must be archived before the next record.
func (a Audit) full() bool {
	return len(a.records) >= SegmentRecords
}

// next returns the empty segment after a.
func (a Audit) next() Audit {
	return NewAudit(a.segment+1, a.pruned, nil)
}

// withRecord returns the segment with one more record.
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

// contains reports whether the segment has a record of a request that ended in
// this state.
func (a Audit) contains(key string, base uint64, state State) bool {
	for _, r := range a.records {
		if r.key == key && r.base == base && r.state == state {
			return true
		}
	}
	return false
}
