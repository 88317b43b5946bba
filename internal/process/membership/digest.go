package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// CellKey stands for a cell's name in reports, which are sent every second.
type CellKey uint32

// KeyOf is the key of a cell's name.
func KeyOf(cell string) CellKey {
	return CellKey(xxhash.Sum64String(cell))
}

// StoreReport is what a cell's directory says about the store. It holds for the span
// from since to stated; both are ages, since no clock is shared.
type StoreReport struct {
	cell    CellKey
	answers bool
	stated  time.Duration
	since   time.Duration
}

// NewStoreReport returns the report.
func NewStoreReport(cell CellKey, answers bool, stated, since time.Duration) StoreReport {
	return StoreReport{
		cell:    cell,
		answers: answers,
		stated:  stated,
		since:   since,
	}
}

// Cell is the reporting cell.
func (r StoreReport) Cell() CellKey {
	return r.cell
}

// Answers tells whether the store answers.
func (r StoreReport) Answers() bool {
	return r.answers
}

// Stated is the time since the report was made.
func (r StoreReport) Stated() time.Duration {
	return r.stated
}

// Since is the time since the report became true.
func (r StoreReport) Since() time.Duration {
	return r.since
}

// Digest is what the directories of a region tell each other.
type Digest struct {
	cell     string
	versions Versions
	reports  []StoreReport
	members  uint32
	inForce  uint32
	free     uint32
}

// NewDigest returns the message: the members of the cell, how many of them have
// the configuration version in force, and their free slots.
func NewDigest(cell string, versions Versions, reports []StoreReport, members, inForce, free uint32) Digest {
	return Digest{
		cell:     cell,
		versions: versions,
		reports:  reports,
		members:  members,
		inForce:  inForce,
		free:     free,
	}
}

// Cell is the sender's cell.
func (d Digest) Cell() string {
	return d.cell
}

// Versions is what the sender has.
func (d Digest) Versions() Versions {
	return d.versions
}

// Reports has the newest report of each cell that the sender knows.
func (d Digest) Reports() []StoreReport {
	return d.reports
}

// Members is the number of members that beat.
func (d Digest) Members() uint32 {
	return d.members
}

// InForce is the number of members with the sender's configuration version.
func (d Digest) InForce() uint32 {
	return d.inForce
}

// Free is the number of free slots beside the members.
func (d Digest) Free() uint32 {
	return d.free
}
