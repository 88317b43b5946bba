// Package announcement defines the announcement by which a target registers with its
// agent.
//
// No list of targets is configured. A target announces its address, services and
// limits to its local agent and repeats the announcement as a heartbeat. When the
// announcements stop, or one states that the target is leaving, the agent gives the
// target no more work.
package announcement

import (
	"net/url"
	"time"

	"github.com/pkg/errors"
)

// The times of an announcement.
const (
	// Interval is the time between two announcements of a target.
	Interval = 500 * time.Millisecond
	// Lifetime is the time for which an announcement is valid. It must be below
	// 3 s, the time within which a leaving target stops getting new work.
	Lifetime = 2 * time.Second
)

// The limits of an announcement. They bound the state that the agent keeps for each
// target and service. A target that announces more is faulty.
const (
	MaxSlots       = 10_000
	MaxConnections = 100_000
	MaxServices    = 64
	MaxNameBytes   = 128
)

// ErrInvalid is the error for an announcement with a value outside its limits.
var ErrInvalid = errors.New("announcement is invalid")

// Announcement is the description that a target sends of itself.
type Announcement struct {
	target      string
	url         string
	services    []string
	slots       int
	connections int
	leaving     bool
}

// New returns an announcement, or an error that wraps ErrInvalid and names the first
// invalid field.
func New(target, address string, services []string, slots, connections int, leaving bool) (Announcement, error) {
	if err := check(target, address, services, slots, connections); err != nil {
		return Announcement{}, errors.Wrap(ErrInvalid, err.Error())
	}
	return Announcement{
		target:      target,
		url:         address,
		services:    append([]string(nil), services...),
		slots:       slots,
		connections: connections,
		leaving:     leaving,
	}, nil
}

func check(target, address string, services []string, slots, connections int) error {
	if target == "" || len(target) > MaxNameBytes {
		return errors.Errorf("target: has %d bytes, allowed are 1 to %d", len(target), MaxNameBytes)
	}
	u, err := url.Parse(address)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return errors.Errorf("url: is %q, allowed is an http or https address", address)
	}
	if len(services) == 0 || len(services) > MaxServices {
		return errors.Errorf("services: has %d, allowed are 1 to %d", len(services), MaxServices)
	}
	for _, s := range services {
		if s == "" || len(s) > MaxNameBytes {
			return errors.Errorf("services: a name has %d bytes, allowed are 1 to %d", len(s), MaxNameBytes)
		}
	}
	if slots < 1 || slots > MaxSlots {
		return errors.Errorf("slots: is %d, allowed are 1 to %d", slots, MaxSlots)
	}
	if connections < 1 || connections > MaxConnections {
		return errors.Errorf("connections: is %d, allowed are 1 to %d", connections, MaxConnections)
	}
	return nil
}

func (a Announcement) Target() string {
	return a.target
}

// URL returns the address to which the agent sends tasks.
func (a Announcement) URL() string {
	return a.url
}

// Services returns the names of the services that the target can run.
func (a Announcement) Services() []string {
	return a.services
}

// Slots returns how many tasks the target runs at a time.
func (a Announcement) Slots() int {
	return a.slots
}

// Connections returns how many connections the target accepts.
func (a Announcement) Connections() int {
	return a.connections
}

// Leaving reports whether the target wants no new work.
func (a Announcement) Leaving() bool {
	return a.leaving
}
