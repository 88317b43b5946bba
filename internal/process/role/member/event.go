package member

import (
	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
)

// ShardStopped is an event: the owner has taken note that a shard is no longer its own.
type ShardStopped struct {
	shard identity.Shard
}

// NewShardStopped returns the event.
func NewShardStopped(shard identity.Shard) ShardStopped {
	return ShardStopped{
		shard: shard,
	}
}

// LookupResult is an event: the answer of the store to a Look; ok is false if it did
// not answer.
type LookupResult struct {
	fleet membership.Fleet
	ok    bool
}

// NewLookupResult returns the event.
func NewLookupResult(fleet membership.Fleet, ok bool) LookupResult {
	return LookupResult{
		fleet: fleet,
		ok:    ok,
	}
}

// Leave is an event: the process is about to end.
type Leave struct{}

// FreeSlots is an event: the number of free slots beside the process.
type FreeSlots struct {
	slots uint32
}

// NewFreeSlots returns the event.
func NewFreeSlots(slots uint32) FreeSlots {
	return FreeSlots{
		slots: slots,
	}
}

// Lookup is an effect: read the cells from the store.
type Lookup struct{}

// AcquireCell is an effect: the process's directory shall try to take the cell.
type AcquireCell struct {
	cell membership.Cell
}

// Cell is the cell with the roster that was seen.
func (t AcquireCell) Cell() membership.Cell {
	return t.cell
}

// ConfigurationUpdate is an effect: an encoded configuration came into the process.
type ConfigurationUpdate struct {
	version uint64
	data    []byte
}

// Version is the number of the configuration.
func (c ConfigurationUpdate) Version() uint64 {
	return c.version
}

// Data is the encoded configuration.
func (c ConfigurationUpdate) Data() []byte {
	return c.data
}

// PeerAddress is an effect: a process listens at an address.
type PeerAddress struct {
	member membership.Member
}

// Member is the process with its address.
func (r PeerAddress) Member() membership.Member {
	return r.member
}

// Expelled is an effect: the directory has declared this run lost; the process
// has to end.
type Expelled struct{}

// Left is an effect: the process owns nothing and is out of the roster.
type Left struct{}
