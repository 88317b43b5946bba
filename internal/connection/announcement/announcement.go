// Package announcement holds what a target tells its agent about itself.
//
// There is no list of targets. A target announces itself to the agent beside it
// and repeats the announcement; when the repetitions stop, or one says that the
// target is leaving, the agent gives it no more work.
package announcement

import (
	"net/url"
	"time"

	"github.com/pkg/errors"
)

// The times of an announcement.
const (
	// Interval is how often a target repeats its announcement.
	Interval = 500 * time.Millisecond
	// Lifetime is how long an announcement is valid; it must stay below the 3 s
	// after which a leaving target gets no new work.
	Lifetime = 2 * time.Second
)

// The bounds of an announcement. A target that announces more is faulty, and the
// agent keeps state for each target and service.
const (
	MaxSlots       = 10_000
	MaxConnections = 100_000
	MaxServices    = 64
	MaxNameBytes   = 128
)

// ErrInvalid reports an announcement with a field that is not allowed.
var ErrInvalid = errors.New("announcement is invalid")

// Announcement is what a target tells about itself.
type Announcement struct {
	target      string
	url         string
	services    []string
	slots       int
	connections int
	leaving     bool
}

// New checks the announcement's fields.
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

// Target is the target's name.
func (a Announcement) Target() string {
	return a.target
}

// URL is where the target takes tasks.
func (a Announcement) URL() string {
	return a.url
}

// Services names what the target can run.
func (a Announcement) Services() []string {
	return a.services
}

// Slots is how many tasks the target runs at a time.
func (a Announcement) Slots() int {
	return a.slots
}

// Connections is how many connections the target accepts.
func (a Announcement) Connections() int {
	return a.connections
}

// Leaving tells that the target wants no new work.
func (a Announcement) Leaving() bool {
	return a.leaving
}
