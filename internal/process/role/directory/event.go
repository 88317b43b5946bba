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

// Take is an event: the member of this process wants its directory to take the
// cell, whose lease it has just seen without holder.
type Take struct {
	cell membership.Cell
}

// NewTake returns the event.
func NewTake(c membership.Cell) Take {
	return Take{
		cell: c,
	}
}

// LeaseEnded is an event: the end of the lease call in flight.
type LeaseEnded struct {
	outcome Outcome
	session string
}

// NewLeaseEnded returns the event; the session is that of an Open.
func NewLeaseEnded(outcome Outcome, session string) LeaseEnded {
	return LeaseEnded{
		outcome: outcome,
		session: session,
	}
}

// Stored is an event: the end of a Write or Read. It carries the state that was
// listed afterwards; ok is false if the store did not list it.
type Stored struct {
	number uint64
	fleet  membership.Fleet
	ok     bool
}

// NewStored returns the event.
func NewStored(number uint64, fleet membership.Fleet, ok bool) Stored {
	return Stored{
		number: number,
		fleet:  fleet,
		ok:     ok,
	}
}

// Watched is an event: the watch shows a newer state.
type Watched struct {
	fleet membership.Fleet
}

// NewWatched returns the event.
func NewWatched(fleet membership.Fleet) Watched {
	return Watched{
		fleet: fleet,
	}
}

// Head is an event: the watch shows a configuration version.
type Head struct {
	version uint64
}

// NewHead returns the event.
func NewHead(version uint64) Head {
	return Head{
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

// Open is an effect: start a session.
type Open struct{}

// Acquire is an effect: take the lease of a cell.
type Acquire struct {
	cell    string
	holder  membership.Member
	session string
}

// Cell is the cell's name.
func (a Acquire) Cell() string {
	return a.cell
}

// Holder is what the lease shows of its holder.
func (a Acquire) Holder() membership.Member {
	return a.holder
}

// Session is the session that holds the lease.
func (a Acquire) Session() string {
	return a.session
}

// Renew is an effect: extend the session.
type Renew struct {
	session string
}

// Session is the session.
func (r Renew) Session() string {
	return r.session
}

// Drop is an effect: give up the lease of one cell.
type Drop struct {
	cell    string
	session string
}

// Session is the session that holds the lease.
func (d Drop) Session() string {
	return d.session
}

// Cell is the cell's name.
func (d Drop) Cell() string {
	return d.cell
}

// Close is an effect: end the session and with it all leases.
type Close struct {
	session string
}

// Session is the session.
func (c Close) Session() string {
	return c.session
}

// Write is an effect: write rosters and groups, each by compare-and-swap from
// its index, and then list the fleet. Without values it only lists.
type Write struct {
	number uint64
	cells  []membership.Cell
	groups []membership.Group
}

// Number is echoed by Stored.
func (w Write) Number() uint64 {
	return w.number
}

// Cells lists the rosters.
func (w Write) Cells() []membership.Cell {
	return w.cells
}

// Groups lists the groups.
func (w Write) Groups() []membership.Group {
	return w.groups
}

// Follow is an effect: begin or end the watches.
type Follow struct {
	on bool
}

// On tells whether to watch.
func (f Follow) On() bool {
	return f.on
}

// Read is an effect: read the body of a configuration version.
type Read struct {
	version uint64
}

// Version is the number of the configuration.
func (r Read) Version() uint64 {
	return r.version
}

// Reach is an effect: a process listens at an address.
type Reach struct {
	member membership.Member
}

// Member is the process with its address.
func (r Reach) Member() membership.Member {
	return r.member
}

// Resigned is an effect: no lease is held any more.
type Resigned struct{}
