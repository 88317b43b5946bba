// Package frame defines the messages between entries and agents.
//
// A connection carries one type of message, the frame. A process puts everything
// that it has for a peer at one moment into one frame, which keeps the number of
// writes and wake-ups low. The frame is encoded in the protocol buffer wire format
// with field numbers assigned by hand in codec.go, so that versions of the program
// that know more or fewer fields understand each other.
package frame

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/version/evacuation"
)

// Hello introduces a process; it is in the first frame of each connection.
type Hello struct {
	name        string
	incarnation uint64
	zone        string
	address     string
	role        Role
}

// Role distinguishes entries from agents.
type Role int

const (
	RoleEntry Role = iota + 1
	RoleAgent
)

// NewHello returns the introduction of a process: its name, a random number of its
// start, its availability zone, and the address at which it accepts connections
// (empty if it accepts none).
func NewHello(name string, incarnation uint64, zone, address string, role Role) Hello {
	return Hello{
		name:        name,
		incarnation: incarnation,
		zone:        zone,
		address:     address,
		role:        role,
	}
}

func (h Hello) Name() string {
	return h.name
}

// Incarnation returns a random number that identifies the start of the process.
func (h Hello) Incarnation() uint64 {
	return h.incarnation
}

// Zone returns the availability zone.
func (h Hello) Zone() string {
	return h.zone
}

// Address returns the address at which the process accepts connections, empty if it
// accepts none.
func (h Hello) Address() string {
	return h.address
}

func (h Hello) Role() Role {
	return h.role
}

// Target is what an agent reports about its target.
type Target struct {
	incarnation  string
	service      string
	zone         string
	labels       []string
	milliCores   int64
	memoryMB     int64
	accelerators int64
	usable       bool
	warmUp       time.Duration
	leavesIn     time.Duration
}

// NewTarget returns a target; usable reports whether it takes new work.
func NewTarget(incarnation, service, zone string, labels []string, usable bool) Target {
	return Target{
		incarnation: incarnation,
		service:     service,
		zone:        zone,
		labels:      labels,
		usable:      usable,
	}
}

// WithCapacity returns the target with its total capacity: thousandths of a core,
// megabytes and accelerators.
func (t Target) WithCapacity(milliCores, memoryMB, accelerators int64) Target {
	t.milliCores = milliCores
	t.memoryMB = memoryMB
	t.accelerators = accelerators
	return t
}

// WithWarmUp returns the target with the time for which it is still slow after its
// start.
func (t Target) WithWarmUp(d time.Duration) Target {
	t.warmUp = d
	return t
}

// WithLeavesIn returns the target with the least time for which it still runs what it has,
// 0 if it has not announced that it leaves.
func (t Target) WithLeavesIn(d time.Duration) Target {
	t.leavesIn = d
	return t
}

// Incarnation identifies one start of the target.
func (t Target) Incarnation() string {
	return t.incarnation
}

// Service returns the service that the target runs.
func (t Target) Service() string {
	return t.service
}

// Zone returns the availability zone.
func (t Target) Zone() string {
	return t.zone
}

func (t Target) Labels() []string {
	return t.labels
}

// Capacity returns the total capacity: thousandths of a core, megabytes and
// accelerators.
func (t Target) Capacity() (milliCores, memoryMB, accelerators int64) {
	return t.milliCores, t.memoryMB, t.accelerators
}

// Usable reports whether the target takes new work.
func (t Target) Usable() bool {
	return t.usable
}

// WarmUp returns for how long the target is still slow after its start.
func (t Target) WarmUp() time.Duration {
	return t.warmUp
}

// LeavesIn returns the least time for which a target that has announced that it leaves
// still runs what it has, and 0 for any other target.
func (t Target) LeavesIn() time.Duration {
	return t.leavesIn
}

// FreeCapacity is the capacity of a target that is left after all accepted starts.
// The amounts are negative while accepted starts are queued.
type FreeCapacity struct {
	milliCores   int64
	memoryMB     int64
	accelerators int64
	queued       int
	// lastStart is the number of the last start that the amounts include.
	lastStart uint64
}

// NewFreeCapacity returns the free amounts, the number of queued starts, and the
// number of the receiver's last start that the amounts include.
func NewFreeCapacity(milliCores, memoryMB, accelerators int64, queued int, lastStart uint64) FreeCapacity {
	return FreeCapacity{
		milliCores:   milliCores,
		memoryMB:     memoryMB,
		accelerators: accelerators,
		queued:       queued,
		lastStart:    lastStart,
	}
}

// Amounts returns the free amounts: thousandths of a core, megabytes and
// accelerators.
func (c FreeCapacity) Amounts() (milliCores, memoryMB, accelerators int64) {
	return c.milliCores, c.memoryMB, c.accelerators
}

// Queued returns the number of accepted starts that wait for capacity.
func (c FreeCapacity) Queued() int {
	return c.queued
}

// LastStart returns the number of the receiver's last start that the amounts
// include.
func (c FreeCapacity) LastStart() uint64 {
	return c.lastStart
}

// Peer is a process that accepts connections.
type Peer struct {
	name    string
	address string
	zone    string
}

// NewPeer returns a process and the address at which it accepts connections.
func NewPeer(name, address string) Peer {
	return Peer{
		name:    name,
		address: address,
	}
}

func (p Peer) Name() string {
	return p.name
}

func (p Peer) Address() string {
	return p.address
}

// InZone returns the peer with its availability zone.
func (p Peer) InZone(zone string) Peer {
	p.zone = zone
	return p
}

// Zone returns the availability zone, empty if it is not known.
func (p Peer) Zone() string {
	return p.zone
}

// Frame is one message between two processes. Fields with a zero value are absent.
type Frame struct {
	Hello        *Hello
	Target       *Target
	FreeCapacity *FreeCapacity
	// ConfigRequest asks the receiver for a piece of its configuration, and ConfigPiece
	// answers such a request.
	ConfigRequest *ConfigRequest
	ConfigPiece   *ConfigPiece
	// Clock is the sender's clock, which continues while the host is suspended.
	Clock time.Duration
	// Echo is the last time of the receiver's clock that the sender received.
	Echo time.Duration
	// ConfigVersion is the number of the configuration that the sender has, 0 for none.
	ConfigVersion int64
	// NewestVersion is the highest number of a configuration that the sender knows of, 0
	// if it is ConfigVersion.
	NewestVersion int64
	// NewestAge is how long ago that configuration was confirmed, as far as the sender
	// knows; 0 if that is too long ago to matter.
	NewestAge time.Duration
	// ServiceAgents is the number of agents that the sender is connected to and whose
	// targets run the service of the receiver's target.
	ServiceAgents int
	// KeepConfig asks the receiver to keep a copy of the sender's configuration.
	KeepConfig bool
	// ReportInterval is the minimum time between two frames of the receiver that report
	// only free capacity and progress, 0 to change nothing.
	ReportInterval time.Duration
	// EarlierRunsEnded reports that all runs of earlier connections between the two
	// processes have ended.
	EarlierRunsEnded bool
	// Leaving reports that the sender takes no new work and will shut down.
	Leaving bool
	Starts  []Start
	Stops   []RunID
	Started []RunID
	Ended   []Ended
	// Progress lists runs that have advanced since they were last reported.
	Progress []Progress
	Peers    []Peer
	// Cancels lists the ids of jobs to cancel.
	Cancels []string
	// Evacuated is the set of evacuated availability zones that the sender knows of. One
	// without a revision says nothing.
	Evacuated evacuation.Set
}

// Content names what a frame mainly carries, for counters and logs.
type Content string

// The contents of frames, in the order in which one counts as the main one.
const (
	ContentConfiguration Content = "configuration"
	ContentPeers         Content = "peers"
	ContentStarts        Content = "starts"
	ContentReports       Content = "reports"
	ContentOther         Content = "other"
)

// Content returns what the frame mainly carries.
func (f Frame) Content() Content {
	switch {
	case f.ConfigRequest != nil || f.ConfigPiece != nil:
		return ContentConfiguration
	case len(f.Peers) > 0:
		return ContentPeers
	case len(f.Starts)+len(f.Stops)+len(f.Cancels) > 0:
		return ContentStarts
	case f.FreeCapacity != nil:
		return ContentReports
	}
	return ContentOther
}
