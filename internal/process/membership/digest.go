package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// CellKey is a hash of a cell's name. Reports contain it instead of the name because
// they are sent every second.
type CellKey uint32

func KeyOf(cell string) CellKey {
	return CellKey(xxhash.Sum64String(cell))
}

// StoreReport is an observation of a cell's directory: whether the store responds. It
// applies to the span from since to stated. Both are ages, since processes have no
// common clock.
type StoreReport struct {
	cell    CellKey
	answers bool
	stated  time.Duration
	since   time.Duration
}

func NewStoreReport(cell CellKey, answers bool, stated, since time.Duration) StoreReport {
	return StoreReport{
		cell:    cell,
		answers: answers,
		stated:  stated,
		since:   since,
	}
}

// Cell returns the key of the reporting cell.
func (r StoreReport) Cell() CellKey {
	return r.cell
}

// Answers reports whether the store responds.
func (r StoreReport) Answers() bool {
	return r.answers
}

// Stated returns the time since the report was made.
func (r StoreReport) Stated() time.Duration {
	return r.stated
}

// Since returns the time since the reported state began.
func (r StoreReport) Since() time.Duration {
	return r.since
}

// Digest is the gossip message between the directories of a region.
type Digest struct {
	cell     string
	versions Versions
	reports  []StoreReport
	members  uint32
	inForce  uint32
	free     uint32
}

// NewDigest returns the message. Members is the number of members of the cell,
// inForce the number of them with the configuration version of the sender, and free
// the sum of their free slots.
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

// Cell returns the name of the sender's cell.
func (d Digest) Cell() string {
	return d.cell
}

// Versions returns the versions that the sender has.
func (d Digest) Versions() Versions {
	return d.versions
}

// Reports returns the latest report of each cell that the sender knows.
func (d Digest) Reports() []StoreReport {
	return d.reports
}

// Members returns the number of members that send heartbeats.
func (d Digest) Members() uint32 {
	return d.members
}

// InForce returns the number of members with the sender's configuration version.
func (d Digest) InForce() uint32 {
	return d.inForce
}

// Free returns the total of free slots at the members.
func (d Digest) Free() uint32 {
	return d.free
}
