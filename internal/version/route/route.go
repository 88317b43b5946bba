// Package route holds one version of the operators' configuration.
//
// A version contains the routes from requests to services and the limits of the
// front end. It is validated when it is built, never changes and is replaced as a
// whole, so that a request uses one version from start to end.
package route

import (
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxPriority and maxSlackFactor bound what a configuration may set.
	maxPriority    = 1 << 10
	maxSlackFactor = 1e6
	// maxCommitment bounds a commitment, so that sums of times do not overflow.
	maxCommitment = 10 * 365 * 24 * time.Hour
)

// ErrInvalid reports an invalid configuration.
var ErrInvalid = errors.New("configuration is invalid")

// Route maps requests of one kind to a service.
type Route struct {
	name           string
	host           string
	prefix         string
	service        string
	priority       int
	maxAttempts    int
	timeout        time.Duration
	targetDuration time.Duration
	slackFactor    float64
}

// NewRoute returns the route for a host, empty for any host, and a path prefix. The
// error wraps ErrInvalid.
func NewRoute(name, host, prefix, service string) (Route, error) {
	if name == "" || service == "" {
		return Route{}, errors.Wrapf(ErrInvalid, "route is %q and service %q, want two names", name, service)
	}
	if !strings.HasPrefix(prefix, "/") {
		return Route{}, errors.Wrapf(ErrInvalid, "route %s: prefix is %q, want a path that starts with /", name, prefix)
	}
	return Route{
		name:        name,
		host:        strings.ToLower(host),
		prefix:      prefix,
		service:     service,
		maxAttempts: 1,
		slackFactor: 1,
	}, nil
}

// WithPriority returns the route with its priority (0 is the most urgent) and the
// number of failed runs after which a task fails.
func (r Route) WithPriority(priority, maxAttempts int) Route {
	r.priority = max(0, min(priority, maxPriority))
	r.maxAttempts = max(maxAttempts, 1)
	return r
}

// WithTiming returns the route with the longest time a request may take, 0 for no
// limit, and the commitment: the length of the work times slackFactor, plus
// targetDuration.
func (r Route) WithTiming(timeout time.Duration, slackFactor float64, targetDuration time.Duration) Route {
	r.timeout = max(timeout, 0)
	r.slackFactor = max(1, min(slackFactor, maxSlackFactor))
	r.targetDuration = max(targetDuration, 0)
	return r
}

func (r Route) Name() string {
	return r.name
}

// Service returns the service whose targets run the route's jobs.
func (r Route) Service() string {
	return r.service
}

// Prefix returns the prefix of the paths that belong to the route.
func (r Route) Prefix() string {
	return r.prefix
}

// Priority returns the priority; 0 is the most urgent.
func (r Route) Priority() int {
	return r.priority
}

// Attempts returns the number of failed runs after which a task fails.
func (r Route) Attempts() int {
	return r.maxAttempts
}

// Timeout returns the time within which a request is answered whose caller does not say how
// long it waits, 0 for none.
func (r Route) Timeout() time.Duration {
	return r.timeout
}

// Commitment returns the time within which work of the given length should end.
func (r Route) Commitment(work time.Duration) time.Duration {
	return time.Duration(min(r.slackFactor*float64(work), float64(maxCommitment))) + r.targetDuration
}

// Limits bound the requests and connections that the front end accepts.
type Limits struct {
	headerBytes   int
	bodyBytes     int
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// NewLimits returns the limits; 0 selects the default of the front end.
func NewLimits(headerBytes, bodyBytes int, headerTimeout, idleTimeout time.Duration) Limits {
	return Limits{
		headerBytes:   headerBytes,
		bodyBytes:     bodyBytes,
		headerTimeout: headerTimeout,
		idleTimeout:   idleTimeout,
	}
}

// HeaderBytes returns the maximum size of a request header.
func (l Limits) HeaderBytes() int {
	return l.headerBytes
}

// BodyBytes returns the maximum size of a request body.
func (l Limits) BodyBytes() int {
	return l.bodyBytes
}

// HeaderTimeout returns the time within which a header must arrive.
func (l Limits) HeaderTimeout() time.Duration {
	return l.headerTimeout
}

// IdleTimeout returns the time for which a connection may stay unused.
func (l Limits) IdleTimeout() time.Duration {
	return l.idleTimeout
}

// Version is one complete, immutable configuration.
type Version struct {
	number int64
	routes []Route
	limits Limits
	index  index
	// leftOut has the cause for each stored route that is not in routes.
	leftOut []error
}

// NewVersion returns a version. Routes that share host and prefix are left out, since
// none of them can be told to be the valid one. The error wraps ErrInvalid.
func NewVersion(number int64, routes []Route, limits Limits) (*Version, error) {
	if number < 1 {
		return nil, errors.Wrapf(ErrInvalid, "version is %d, want 1 or more", number)
	}
	count := make(map[key]int, len(routes))
	for _, r := range routes {
		count[r.key()]++
	}
	v := &Version{
		number: number,
		limits: limits,
	}
	for _, r := range routes {
		if n := count[r.key()]; n > 1 {
			v.leftOut = append(v.leftOut, errors.Wrapf(ErrInvalid, "route %s: %d routes for %s, want one for each host and prefix", r.name, n, r.host+r.prefix))
			continue
		}
		v.routes = append(v.routes, r)
	}
	v.index = newIndex(v.routes)
	return v, nil
}

// WithLeftOut returns the version with the causes for which further routes were left
// out.
func (v *Version) WithLeftOut(causes []error) *Version {
	x := *v
	x.leftOut = append(append([]error(nil), causes...), v.leftOut...)
	return &x
}

// LeftOut returns the cause for each stored route that the version does not have.
func (v *Version) LeftOut() []error {
	return v.leftOut
}

// Number returns the number of the version; a higher version replaces a lower one.
func (v *Version) Number() int64 {
	return v.number
}

// Limits returns the limits of the front end.
func (v *Version) Limits() Limits {
	return v.limits
}

// Routes returns a copy of the routes in the order of the configuration.
func (v *Version) Routes() []Route {
	return append([]Route(nil), v.routes...)
}

// Len returns the number of routes.
func (v *Version) Len() int {
	return len(v.routes)
}

// Match returns the route of the host with the longest prefix of path. Of two with the
// same prefix, one for the host and one for any host, the first counts.
func (v *Version) Match(host, path string) (Route, bool) {
	i, ok := v.index.find(strings.ToLower(host), path)
	if !ok {
		return Route{}, false
	}
	return v.routes[i], true
}
