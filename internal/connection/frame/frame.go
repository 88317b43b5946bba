// Package frame defines what an entry and an agent say to each other.
//
// A connection carries one kind of message, the frame. All that a process has to
// say to a peer at one moment goes into one frame, which keeps the number of
// writes and wake-ups low. The package has the types; codec.go maps them to
// bytes by hand with field numbers, so that versions of the program that know
// more or fewer fields understand each other.
package frame

import "time"

// Hello introduces a process; it is in the first frame of each connection.
type Hello struct {
	name    string
	boot    uint64
	zone    string
	address string
	role    Role
}

// Role tells what a process is for.
type Role int

// The roles.
const (
	RoleEntry Role = iota + 1
	RoleAgent
)

// NewHello introduces a process: its name, the random number of its start, its
// availability zone, and where it takes connections (empty if it takes none).
func NewHello(name string, boot uint64, zone, address string, role Role) Hello {
	return Hello{
		name:    name,
		boot:    boot,
		zone:    zone,
		address: address,
		role:    role,
	}
}

// Name is the process's name.
func (h Hello) Name() string {
	return h.name
}

// Incarnation is a random number of the process's start.
func (h Hello) Incarnation() uint64 {
	return h.boot
}

// Zone is the availability zone of the process.
func (h Hello) Zone() string {
	return h.zone
}

// Address is where the process takes connections; empty for none.
func (h Hello) Address() string {
	return h.address
}

// Role is what the process is for.
func (h Hello) Role() Role {
	return h.role
}

// Target is what an agent knows about its target.
type Target struct {
	boot       string
	service    string
	zone       string
	labels     []string
	milliCores int64
	memoryMB   int64
	accels     int64
	usable     bool
	cold       time.Duration
}

// NewTarget describes a target that takes new work if usable is set.
func NewTarget(boot, service, zone string, labels []string, usable bool) Target {
	return Target{
		boot:    boot,
		service: service,
		zone:    zone,
		labels:  labels,
		usable:  usable,
	}
}

// WithCapacity returns the target with its whole capacity.
func (t Target) WithCapacity(milliCores, memoryMB, accels int64) Target {
	t.milliCores = milliCores
	t.memoryMB = memoryMB
	t.accels = accels
	return t
}

// WithWarmUp returns the target with the time for which it is still slow after its
// start.
func (t Target) WithWarmUp(d time.Duration) Target {
	t.cold = d
	return t
}

// Incarnation names one life of the target.
func (t Target) Incarnation() string {
	return t.boot
}

// Service names what the target runs.
func (t Target) Service() string {
	return t.service
}

// Zone is the availability zone of the target.
func (t Target) Zone() string {
	return t.zone
}

// Labels lists the labels of the target.
func (t Target) Labels() []string {
	return t.labels
}

// Capacity is the whole capacity: thousandths of a core, megabytes, accelerators.
func (t Target) Capacity() (milliCores, memoryMB, accels int64) {
	return t.milliCores, t.memoryMB, t.accels
}

// Usable tells whether the target takes new work.
func (t Target) Usable() bool {
	return t.usable
}

// WarmUp is how long the target is still slow after its start.
func (t Target) WarmUp() time.Duration {
	return t.cold
}

// FreeCapacity is what an agent has left on its target after all it has accepted. The
// amounts are negative while accepted starts wait.
type FreeCapacity struct {
	milliCores int64
	memoryMB   int64
	accels     int64
	waiting    int
	// seen is the number of the last start that the amounts include.
	seen uint64
}

// NewFreeCapacity returns the amounts left, the number of waiting starts, and the number
// of the last start of the receiver that they include.
func NewFreeCapacity(milliCores, memoryMB, accels int64, waiting int, seen uint64) FreeCapacity {
	return FreeCapacity{
		milliCores: milliCores,
		memoryMB:   memoryMB,
		accels:     accels,
		waiting:    waiting,
		seen:       seen,
	}
}

// Amounts is what is left: thousandths of a core, megabytes, accelerators.
func (r FreeCapacity) Amounts() (milliCores, memoryMB, accels int64) {
	return r.milliCores, r.memoryMB, r.accels
}

// Queued is the number of accepted starts that wait for capacity.
func (r FreeCapacity) Queued() int {
	return r.waiting
}

// LastStart is the number of the receiver's last start that the amounts include.
func (r FreeCapacity) LastStart() uint64 {
	return r.seen
}

// Peer is a process that takes connections.
type Peer struct {
	name    string
	address string
}

// NewPeer names a process and where it takes connections.
func NewPeer(name, address string) Peer {
	return Peer{
		name:    name,
		address: address,
	}
}

// Name is the process's name.
func (p Peer) Name() string {
	return p.name
}

// Address is where the process takes connections.
func (p Peer) Address() string {
	return p.address
}

// Config is an operators' configuration as it was stored.
type Config struct {
	number int64
	body   []byte
}

// NewConfig is a version with the bytes that it was stored as.
func NewConfig(number int64, body []byte) Config {
	return Config{
		number: number,
		body:   body,
	}
}

// Number is the version.
func (c Config) Number() int64 {
	return c.number
}

// Body is the version as it was stored.
func (c Config) Body() []byte {
	return c.body
}

// Frame is all that one process says to another at one moment. Zero values mean
// that nothing is said.
type Frame struct {
	Hello        *Hello
	Target       *Target
	FreeCapacity *FreeCapacity
	Config       *Config
	// Clock is the sender's clock, which counts while the host is suspended.
	Clock time.Duration
	// Echo is the receiver's clock as the sender last saw it.
	Echo time.Duration
	// ConfigVersion is the number of the sender's configuration.
	ConfigVersion int64
	// EarlierRunsEnded tells that no run of earlier connections of the two is left.
	EarlierRunsEnded bool
	// Leaving tells that the sender takes no new work and will end.
	Leaving bool
	Starts  []Start
	Stops   []RunID
	Started []RunID
	Ended   []Ended
	// Progress lists runs whose progress says more than the last report of it.
	Progress []Progress
	Peers    []Peer
	Cancels  []string
}
