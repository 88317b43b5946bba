// Package route holds one version of the operators' configuration.
//
// A version lists the routes by which callers reach a kind of request, the
// services that run them and the limits of the front end. It is built once,
// checked whole, never changed and replaced as a whole, so that a request sees
// one version from its start to its end.
package route

import (
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalid reports a configuration that is not allowed.
var ErrInvalid = errors.New("configuration is not allowed")

// Route leads requests of one kind to a service.
type Route struct {
	name     string
	host     string
	prefix   string
	service  string
	priority int
	attempts int
	timeout  time.Duration
	target   time.Duration
	slack    float64
}

// NewRoute returns the route for a host and a path prefix.
func NewRoute(name, host, prefix, service string) (Route, error) {
	if name == "" || service == "" {
		return Route{}, errors.Wrapf(ErrInvalid, "route %q to service %q: both need a name", name, service)
	}
	if !strings.HasPrefix(prefix, "/") {
		return Route{}, errors.Wrapf(ErrInvalid, "route %s: prefix %q, allowed are paths from /", name, prefix)
	}
	return Route{
		name:     name,
		host:     strings.ToLower(host),
		prefix:   prefix,
		service:  service,
		attempts: 1,
		slack:    1,
	}, nil
}

// WithPriority returns the route with its priority (0 is the most urgent) and the
// number of failed runs after which a task is given up.
func (r Route) WithPriority(priority, attempts int) Route {
	r.priority = priority
	r.attempts = max(attempts, 1)
	return r
}

// WithTiming returns the route with the longest time a request may take, 0 for no
// limit, and the commitment: slack times the work plus target.
func (r Route) WithTiming(timeout time.Duration, slack float64, target time.Duration) Route {
	r.timeout = max(timeout, 0)
	r.slack = max(slack, 1)
	r.target = max(target, 0)
	return r
}

// Name is the route's name.
func (r Route) Name() string {
	return r.name
}

// Service names the targets that run the route's jobs.
func (r Route) Service() string {
	return r.service
}

// Prefix is the start of the paths that belong to the route.
func (r Route) Prefix() string {
	return r.prefix
}

// Priority ranks the route; 0 comes first.
func (r Route) Priority() int {
	return r.priority
}

// Attempts is the number of failed runs after which a task is given up.
func (r Route) Attempts() int {
	return r.attempts
}

// Timeout is the longest time a request may take; 0 for no limit.
func (r Route) Timeout() time.Duration {
	return r.timeout
}

// Commitment is the time within which work of the given length should end.
func (r Route) Commitment(work time.Duration) time.Duration {
	return time.Duration(r.slack*float64(work)) + r.target
}

// Limits bound what the front end takes from a caller.
type Limits struct {
	headerBytes   int
	bodyBytes     int
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// NewLimits returns the limits; 0 stands for the default of the front end.
func NewLimits(headerBytes, bodyBytes int, headerTimeout, idleTimeout time.Duration) Limits {
	return Limits{
		headerBytes:   headerBytes,
		bodyBytes:     bodyBytes,
		headerTimeout: headerTimeout,
		idleTimeout:   idleTimeout,
	}
}

// HeaderBytes bounds the header of a request.
func (l Limits) HeaderBytes() int {
	return l.headerBytes
}

// BodyBytes bounds the body of a request.
func (l Limits) BodyBytes() int {
	return l.bodyBytes
}

// HeaderTimeout bounds the time in which a header must have arrived.
func (l Limits) HeaderTimeout() time.Duration {
	return l.headerTimeout
}

// IdleTimeout bounds the time for which a connection may stay unused.
func (l Limits) IdleTimeout() time.Duration {
	return l.idleTimeout
}

// Version is one whole configuration.
type Version struct {
	number int64
	routes []Route
	limits Limits
}

// NewVersion returns a version; no two routes may share host and prefix.
func NewVersion(number int64, routes []Route, limits Limits) (*Version, error) {
	if number < 1 {
		return nil, errors.Wrapf(ErrInvalid, "version %d, allowed are numbers from 1", number)
	}
	seen := map[string]bool{}
	for _, r := range routes {
		key := r.host + r.prefix
		if seen[key] {
			return nil, errors.Wrapf(ErrInvalid, "two routes lead from %s", key)
		}
		seen[key] = true
	}
	sorted := append([]Route(nil), routes...)
	sort.SliceStable(sorted, func(i, j int) bool { return len(sorted[i].prefix) > len(sorted[j].prefix) })
	return &Version{
		number: number,
		routes: sorted,
		limits: limits,
	}, nil
}

// Number orders the versions; a higher one replaces a lower one.
func (v *Version) Number() int64 {
	return v.number
}

// Limits are the limits of the front end.
func (v *Version) Limits() Limits {
	return v.limits
}

// Routes lists the routes, the longest prefix first.
func (v *Version) Routes() []Route {
	return append([]Route(nil), v.routes...)
}

// Match returns the route of the longest prefix that the path begins with.
func (v *Version) Match(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	for _, r := range v.routes {
		if (r.host == "" || r.host == host) && strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}
	return Route{}, false
}
