package directory

import (
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

// Outcome is the end of a store call.
type Outcome uint8

// The ends. After Unknown the change may have taken effect, or may do so later.
const (
	Done Outcome = iota
	Refused
	Failed
	Unknown
)

// AcquireCell is an event: the member of this process wants its directory to take the
// cell, whose lease it has just seen without holder.
type AcquireCell struct {
	cell membership.Cell
}

// NewAcquireCell returns the event.
func NewAcquireCell(c membership.Cell) AcquireCell {
	return AcquireCell{
		cell: c,
	}
}

// LeaseResult is an event: the end of the lease call in flight.
type LeaseResult struct {
	outcome Outcome
	session string
}

// NewLeaseResult returns the event; the session is that of an Open.
func NewLeaseResult(outcome Outcome, session string) LeaseResult {
	return LeaseResult{
		outcome: outcome,
		session: session,
	}
}

// WriteResult is an event: the end of a Write or Read. It carries the state that was
// listed afterwards; ok is false if the store did not list it.
type WriteResult struct {
	number uint64
	fleet  membership.Fleet
	ok     bool
}

// NewWriteResult returns the event.
func NewWriteResult(number uint64, fleet membership.Fleet, ok bool) WriteResult {
	return WriteResult{
		number: number,
		fleet:  fleet,
		ok:     ok,
	}
}

// FleetUpdate is an event: the watch shows a newer state.
type FleetUpdate struct {
	fleet membership.Fleet
}

// NewFleetUpdate returns the event.
func NewFleetUpdate(fleet membership.Fleet) FleetUpdate {
	return FleetUpdate{
		fleet: fleet,
	}
}

// LatestVersion is an event: the watch shows a configuration version.
type LatestVersion struct {
	version uint64
}

// NewLatestVersion returns the event.
func NewLatestVersion(version uint64) LatestVersion {
	return LatestVersion{
		version: version,
	}
}

// Configuration is an event: the body of a version was read.
type Configuration struct {
	version uint64
	data    []byte
}

// NewConfiguration returns the event.
func NewConfiguration(version uint64, data []byte) Configuration {
	return Configuration{
		version: version,
		data:    data,
	}
}

// Resign is an event: the process ends; the leases go back at once.
type Resign struct{}

// OpenSession is an effect: start a session.
type OpenSession struct{}

// AcquireLease is an effect: take the lease of a cell.
type AcquireLease struct {
	cell    string
	holder  membership.Member
	session string
}

// Cell is the cell's name.
func (a AcquireLease) Cell() string {
	return a.cell
}

// Holder is what the lease shows of its holder.
func (a AcquireLease) Holder() membership.Member {
	return a.holder
}

// Session is the session that holds the lease.
func (a AcquireLease) Session() string {
	return a.session
}

// RenewSession is an effect: extend the session.
type RenewSession struct {
	session string
}

// Session is the session.
func (r RenewSession) Session() string {
	return r.session
}

// ReleaseLease is an effect: give up the lease of one cell.
type ReleaseLease struct {
	cell    string
	session string
}

// Session is the session that holds the lease.
func (d ReleaseLease) Session() string {
	return d.session
}

// Cell is the cell's name.
func (d ReleaseLease) Cell() string {
	return d.cell
}

// CloseSession is an effect: end the session and with it all leases.
type CloseSession struct {
	session string
}

// Session is the session.
func (c CloseSession) Session() string {
	return c.session
}

// WriteFleet is an effect: write rosters and groups, each by compare-and-swap from
// its index, and then list the fleet. Without values it only lists.
type WriteFleet struct {
	number uint64
	cells  []membership.Cell
	groups []membership.Group
}

// Number is echoed by Stored.
func (w WriteFleet) Number() uint64 {
	return w.number
}

// Cells lists the rosters.
func (w WriteFleet) Cells() []membership.Cell {
	return w.cells
}

// Groups lists the groups.
func (w WriteFleet) Groups() []membership.Group {
	return w.groups
}

// Watch is an effect: begin or end the watches.
type Watch struct {
	on bool
}

// Enabled tells whether to watch.
func (f Watch) Enabled() bool {
	return f.on
}

// ReadConfiguration is an effect: read the body of a configuration version.
type ReadConfiguration struct {
	version uint64
}

// Version is the number of the configuration.
func (r ReadConfiguration) Version() uint64 {
	return r.version
}

// PeerAddress is an effect: a process listens at an address.
type PeerAddress struct {
	member membership.Member
}

// Member is the process with its address.
func (r PeerAddress) Member() membership.Member {
	return r.member
}

// Resigned is an effect: no lease is held any more.
type Resigned struct{}
