package intake

import "sync/atomic"

const (
	// memoryPerByte is the memory that a process must have for each byte of requests that
	// it may hold: buffers grow by doubling, and the garbage collector lets the heap grow.
	memoryPerByte = 8
	// memoryPerConnection is the memory that a process must have for each connection of its
	// main listener. The margin covers the goroutine and the buffers of a request.
	memoryPerConnection = 96 << 10
	// shares is the number of parts into which the memory for bytes and the descriptors are
	// divided; connections by memory are relative to the main listener. The main listener of a process gets mainShares, each other HTTP listener one, and
	// the links to other processes linkShares. The rest is for files, the store and targets.
	shares     = 16
	mainShares = 8
	linkShares = 3
	// tolerance is the divisor of the band around a limit of bytes: closing connections
	// aims below it, and readers refuse by themselves only above it.
	tolerance = 8
	// MinBytes is the least that a listener may hold, so that a request that is not
	// exceptionally large is served on the smallest host.
	MinBytes = 1 << 20
)

// Limits are the limits of one listener; 0 stands for none.
type Limits struct {
	bytes       int64
	connections int
}

// Bytes returns how many bytes of requests the listener may hold.
func (l Limits) Bytes() int64 {
	return l.bytes
}

// Connections returns how many connections may be open.
func (l Limits) Connections() int {
	return l.connections
}

// Resources are what a process may use; 0 stands for no limit.
type Resources struct {
	memory      int64
	descriptors int
}

// NewResources returns resources of a memory in bytes and a number of descriptors.
func NewResources(memory int64, descriptors int) Resources {
	return Resources{
		memory:      memory,
		descriptors: descriptors,
	}
}

// Main returns the limits of the main listener of a process.
func (r Resources) Main() Limits {
	return r.part(mainShares)
}

// Side returns the limits of any other HTTP listener.
func (r Resources) Side() Limits {
	return r.part(1)
}

// Links returns the limits of the listener for other processes.
func (r Resources) Links() Limits {
	return r.part(linkShares)
}

func (r Resources) part(n int64) Limits {
	var l Limits
	if r.memory > 0 {
		l.bytes = max(MinBytes, r.memory/memoryPerByte*n/shares)
		l.connections = max(1, int(r.memory/memoryPerConnection*n/mainShares))
	}
	if r.descriptors > 0 {
		c := max(1, int(int64(r.descriptors)*n/shares))
		if l.connections == 0 || c < l.connections {
			l.connections = c
		}
	}
	return l
}

// Account counts the bytes that a listener holds and its open connections. Any goroutine
// may use it.
type Account struct {
	limits      Limits
	held        atomic.Int64
	connections atomic.Int64
}

// NewAccount returns an account with the limits of a listener.
func NewAccount(l Limits) *Account {
	return &Account{
		limits: l,
	}
}

// Limits returns the limits of the listener.
func (a *Account) Limits() Limits {
	return a.limits
}

// Opened counts a connection.
func (a *Account) Opened() {
	a.connections.Add(1)
}

// Ended counts the end of a connection.
func (a *Account) Ended() {
	a.connections.Add(-1)
}

// Connections returns the number of open connections.
func (a *Account) Connections() int64 {
	return a.connections.Load()
}

// Add counts bytes that are held, or no longer if n is negative, and reports whether
// the listener stays within its limit.
func (a *Account) Add(n int64) bool {
	held := a.held.Add(n)
	return a.limits.bytes == 0 || held <= a.limits.bytes
}

// Held returns the bytes that are held.
func (a *Account) Held() int64 {
	return a.held.Load()
}

// Excess returns how many bytes must be freed to reach the limit less 1/tolerance, or 0
// while the limit is not exceeded.
func (a *Account) Excess() int64 {
	if held := a.held.Load(); a.limits.bytes > 0 && held > a.limits.bytes {
		return held - (a.limits.bytes - a.limits.bytes/tolerance)
	}
	return 0
}

// Fits reports whether n more bytes keep the listener within its limit plus 1/tolerance. Up
// to there, the server's duty frees memory by closing connections.
func (a *Account) Fits(n int64) bool {
	return a.limits.bytes == 0 || a.held.Load()+n <= a.limits.bytes+a.limits.bytes/tolerance
}
