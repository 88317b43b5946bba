package member

import (
	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

// ShardStopped is an event: the owner has stopped starting tasks of a shard.
type ShardStopped struct {
	shard identity.Shard
}

func NewShardStopped(shard identity.Shard) ShardStopped {
	return ShardStopped{
		shard: shard,
	}
}

// LookupResult is an event: the result of a Lookup.
type LookupResult struct {
	fleet membership.Fleet
	ok    bool
}

// NewLookupResult returns the event. Ok is false if the store did not respond.
func NewLookupResult(fleet membership.Fleet, ok bool) LookupResult {
	return LookupResult{
		fleet: fleet,
		ok:    ok,
	}
}

// Leave is an event: the process is about to end.
type Leave struct{}

// FreeSlots is an event: the number of free slots at the process has changed.
type FreeSlots struct {
	slots uint32
}

func NewFreeSlots(slots uint32) FreeSlots {
	return FreeSlots{
		slots: slots,
	}
}

// Lookup is an effect: read the fleet from the store.
type Lookup struct{}

// AcquireCell is an effect: ask the process's directory to acquire the cell.
type AcquireCell struct {
	cell membership.Cell
}

// Cell returns the cell as it was read from the store.
func (a AcquireCell) Cell() membership.Cell {
	return a.cell
}

// ConfigurationUpdate is an effect: the process has received a newer configuration.
type ConfigurationUpdate struct {
	version uint64
	data    []byte
}

// Version returns the number of the configuration version.
func (c ConfigurationUpdate) Version() uint64 {
	return c.version
}

// Data returns the encoded configuration.
func (c ConfigurationUpdate) Data() []byte {
	return c.data
}

// PeerAddress is an effect: set the address at which a process is reached.
type PeerAddress struct {
	member membership.Member
}

// Member returns the process with its address.
func (p PeerAddress) Member() membership.Member {
	return p.member
}

// Expelled is an effect: the directory has declared this run lost, so the process has
// to end.
type Expelled struct{}

// Left is an effect: the member has left, and the process may end.
type Left struct{}
