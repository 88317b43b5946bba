package dispatch

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/version/route"
)

// VersionReceived is the event of a configuration and its packed form. It is
// ignored unless it is newer than the active one.
func VersionReceived(v *route.Version, c frame.Config) Event {
	return Event{
		version: v,
		config:  c,
	}
}

// Arrival describes how a configuration reached this process, for its log.
type Arrival struct {
	source  string
	read    time.Duration
	decoded time.Duration
}

// NewArrival returns the arrival of a configuration from a source, with the time from
// the begin of its answer or transfer to its last byte, and the time of its decoding.
func NewArrival(source string, read, decoded time.Duration) Arrival {
	return Arrival{
		source:  source,
		read:    read,
		decoded: decoded,
	}
}

// Source returns the process that the configuration came from, or StoreSource.
func (a Arrival) Source() string {
	return a.source
}

// Read returns how long the configuration was being read or received.
func (a Arrival) Read() time.Duration {
	return a.read
}

// Arrived returns the event of a configuration with its arrival.
func (e Event) Arrived(a Arrival) Event {
	e.arrival = a
	return e
}

// storeRead is the result of a read of the store.
type storeRead struct {
	newest int64
	began  time.Duration
}

// StoreRead is the event of a version that was the newest stored one when a read of the
// store began.
func StoreRead(newest int64, began time.Duration) Event {
	return Event{
		storeRead: &storeRead{
			newest: newest,
			began:  began,
		},
	}
}

// StoreAnswers is the event that the store answers this entry, or has stopped to.
func StoreAnswers(answers bool) Event {
	return Event{
		storeAnswers: &answers,
	}
}

// VersionUnusable is the event of a version of another process that this entry can't
// decode, so that it keeps its own.
func VersionUnusable(number int64) Event {
	return Event{
		unusable: number,
	}
}

// StoreSource is the source of a configuration that was read from the store.
const StoreSource = "store"

// ReceivedConfig is a configuration of another process that is to be decoded.
type ReceivedConfig struct {
	config  frame.Config
	arrival Arrival
}

func (r ReceivedConfig) Config() frame.Config {
	return r.config
}

// Arrival returns how the configuration reached this process; it is not decoded yet.
func (r ReceivedConfig) Arrival() Arrival {
	return r.arrival
}
