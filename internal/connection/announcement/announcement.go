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

// MaxSlots bounds the slots of one target.
const MaxSlots = 10_000

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
	if target == "" {
		return Announcement{}, errors.New("target: is empty")
	}
	u, err := url.Parse(address)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return Announcement{}, errors.Errorf("url: is %q, allowed is an http or https address", address)
	}
	if len(services) == 0 {
		return Announcement{}, errors.New("services: is empty, at least one is needed")
	}
	if slots < 1 || slots > MaxSlots {
		return Announcement{}, errors.Errorf("slots: is %d, allowed are 1 to %d", slots, MaxSlots)
	}
	if connections < 1 {
		return Announcement{}, errors.Errorf("connections: is %d, at least 1 is needed", connections)
	}
	return Announcement{
		target:      target,
		url:         address,
		services:    services,
		slots:       slots,
		connections: connections,
		leaving:     leaving,
	}, nil
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
