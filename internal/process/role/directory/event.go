package directory

import (
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

// Outcome is the outcome of a store call.
type Outcome uint8

// The outcomes of a store call. After Unknown, the change may have taken effect or may
// still do so.
const (
	Done Outcome = iota
	Refused
	Failed
	Unknown
)

// AcquireCell is an event: the member of this process has just seen the lease of its
// cell without a holder and asks its directory to acquire it.
type AcquireCell struct {
	cell membership.Cell
}

func NewAcquireCell(c membership.Cell) AcquireCell {
	return AcquireCell{
		cell: c,
	}
}

// LeaseResult is an event: the result of the session or lease call in flight.
type LeaseResult struct {
	outcome Outcome
	session string
}

// NewLeaseResult returns the event. The session is empty except for an OpenSession.
func NewLeaseResult(outcome Outcome, session string) LeaseResult {
	return LeaseResult{
		outcome: outcome,
		session: session,
	}
}

// WriteResult is an event: the result of a WriteFleet. It contains the state that was
// listed after the write.
type WriteResult struct {
	number uint64
	fleet  membership.Fleet
	ok     bool
}

// NewWriteResult returns the event for the WriteFleet with the given number. Ok is
// false if the store did not list the state.
func NewWriteResult(number uint64, fleet membership.Fleet, ok bool) WriteResult {
	return WriteResult{
		number: number,
		fleet:  fleet,
		ok:     ok,
	}
}

// FleetUpdate is an event: the watch has returned a newer state.
type FleetUpdate struct {
	fleet membership.Fleet
}

func NewFleetUpdate(fleet membership.Fleet) FleetUpdate {
	return FleetUpdate{
		fleet: fleet,
	}
}

// LatestVersion is an event: the watch has returned the number of the newest
// configuration version.
type LatestVersion struct {
	version uint64
}

func NewLatestVersion(version uint64) LatestVersion {
	return LatestVersion{
		version: version,
	}
}

// Configuration is an event: the body of a configuration version was read.
type Configuration struct {
	version uint64
	data    []byte
}

func NewConfiguration(version uint64, data []byte) Configuration {
	return Configuration{
		version: version,
		data:    data,
	}
}

// Resign is an event: the process is about to end and releases all leases at once.
type Resign struct{}

// OpenSession is an effect: open a store session.
type OpenSession struct{}

// AcquireLease is an effect: acquire the lease of a cell.
type AcquireLease struct {
	cell    string
	holder  membership.Member
	session string
}

// Cell returns the name of the cell.
func (a AcquireLease) Cell() string {
	return a.cell
}

// Holder returns the member to store as the holder of the lease.
func (a AcquireLease) Holder() membership.Member {
	return a.holder
}

// Session returns the store session that holds the lease.
func (a AcquireLease) Session() string {
	return a.session
}

// RenewSession is an effect: extend a store session.
type RenewSession struct {
	session string
}

func (r RenewSession) Session() string {
	return r.session
}

// ReleaseLease is an effect: release the lease of a cell.
type ReleaseLease struct {
	cell    string
	session string
}

// Session returns the store session that holds the lease.
func (r ReleaseLease) Session() string {
	return r.session
}

// Cell returns the name of the cell.
func (r ReleaseLease) Cell() string {
	return r.cell
}

// CloseSession is an effect: end a store session, which releases all its leases.
type CloseSession struct {
	session string
}

func (c CloseSession) Session() string {
	return c.session
}

// WriteFleet is an effect: write member lists and groups, each by compare-and-swap
// against its index, and then list the fleet. Without values it only lists the fleet.
type WriteFleet struct {
	number uint64
	cells  []membership.Cell
	groups []membership.Group
}

// Number returns the number that the WriteResult repeats.
func (w WriteFleet) Number() uint64 {
	return w.number
}

// Cells returns the cells whose member lists are to be written.
func (w WriteFleet) Cells() []membership.Cell {
	return w.cells
}

// Groups returns the shard groups to be written.
func (w WriteFleet) Groups() []membership.Group {
	return w.groups
}

// Watch is an effect: start or stop the watches of the fleet and of the configuration.
type Watch struct {
	enabled bool
}

// Enabled reports whether to start the watches; otherwise they stop.
func (w Watch) Enabled() bool {
	return w.enabled
}

// ReadConfiguration is an effect: read the body of a configuration version.
type ReadConfiguration struct {
	version uint64
}

// Version returns the number of the configuration version.
func (r ReadConfiguration) Version() uint64 {
	return r.version
}

// PeerAddress is an effect: set the address at which a process is reached.
type PeerAddress struct {
	member membership.Member
}

// Member returns the process with its address.
func (p PeerAddress) Member() membership.Member {
	return p.member
}

// Resigned is an effect: the directory holds no lease anymore.
type Resigned struct{}
