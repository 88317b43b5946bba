// Package server assembles the entry and agent processes from their duties.
//
// Each process has one duty that owns a state machine: the dispatcher of an entry
// or the agent's state machine. Every input reaches that duty through one bounded
// ring: requests, frames of other processes, answers of the target and
// configurations. The duty passes each event to the state machine, together with
// the time of a clock that includes suspension of the host, and carries out the
// output. The other duties do the blocking I/O: they serve callers, accept and open
// connections, watch the store and send commands to the target.
package server

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/connection/stream"
	"greengagedoor.example/greengagedoor/internal/process/dump"
	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/intake"
	"greengagedoor.example/greengagedoor/internal/process/keyspace"
	"greengagedoor.example/greengagedoor/internal/process/log"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
	"greengagedoor.example/greengagedoor/internal/process/web"
)

// The sizes and times of a process.
const (
	// ringSize bounds the queue of events for the state machine.
	ringSize = 8192
	// tickInterval is how often a state machine gets a tick. Its shortest timeout is
	// a few times as long.
	tickInterval = 20 * time.Millisecond
	// idleTickInterval is the same for an entry without jobs, which only keeps its
	// connections.
	idleTickInterval = 50 * time.Millisecond
	// sessionTimeout is the silence after which a peer is treated as lost. Together with
	// the lease and the stop of a run it stays below 1.3 s, after which callers
	// resend a job.
	sessionTimeout = 500 * time.Millisecond
	// maxLease bounds the lease of runs. A target shortens a lease that exceeds its
	// own limit.
	maxLease = 600 * time.Millisecond
	// heartbeatInterval is the longest time between two frames to a peer.
	heartbeatInterval = 200 * time.Millisecond
)

// Settings are the settings that entries and agents share.
type Settings struct {
	name string
	zone string
	link string
	// advertised is the address at which other processes reach this one.
	advertised string
	metrics    string
	seeds      []string
	maxLease   time.Duration
	// longestLease is the longest lease that targets grant.
	longestLease time.Duration
	grace        time.Duration
	// configApply is the time in which a confirmed configuration must be in force; 0 for
	// the dispatcher's default.
	configApply time.Duration
	// resources are what the process may use; the zero value has no limits.
	resources intake.Resources
	// remoteFactor is the run time away from a task's data over that beside it; 0 for
	// the dispatcher's default.
	remoteFactor float64
	// neverWait is set if tasks do not wait for the rack with their data.
	neverWait bool
}

// NewSettings returns the settings of a process: its name, its availability zone,
// the addresses where it listens for other processes and for metrics, and the seed
// entries. Without an address for metrics, none are served.
func NewSettings(name, zone, link, metrics string, seeds []string) (Settings, error) {
	if name == "" || zone == "" || link == "" {
		return Settings{}, errors.Errorf("name %q, availability zone %q and link address %q must not be empty", name, zone, link)
	}
	return Settings{
		name:         name,
		zone:         zone,
		link:         link,
		advertised:   link,
		metrics:      metrics,
		seeds:        seeds,
		maxLease:     maxLease,
		longestLease: maxLease,
		grace:        lingerTime + 2*drainMargin,
	}, nil
}

// WithTimes returns the settings with the longest lease that targets allow and the
// grace period after SIGTERM. Zero keeps the default.
func (s Settings) WithTimes(lease, grace time.Duration) Settings {
	if lease > 0 {
		s.maxLease = min(maxLease, lease)
		s.longestLease = lease
	}
	if grace > 0 {
		s.grace = grace
	}
	return s
}

// WithConfigApply returns the settings with the time in which a confirmed configuration
// must be in force everywhere. Zero keeps the default.
func (s Settings) WithConfigApply(d time.Duration) Settings {
	s.configApply = d
	return s
}

// WithResources returns the settings with what the process may use.
func (s Settings) WithResources(r intake.Resources) Settings {
	s.resources = r
	return s
}

// WithRemoteFactor returns the settings with the factor by which a task takes longer on
// another rack than the one with its data. Zero keeps the default.
func (s Settings) WithRemoteFactor(f float64) Settings {
	s.remoteFactor = f
	return s
}

// WithoutWaits returns the settings of an entry whose tasks do not wait for the rack with
// their data.
func (s Settings) WithoutWaits() Settings {
	s.neverWait = true
	return s
}

// newDispatch returns the dispatcher of an entry.
func (s Settings) newDispatch(hello frame.Hello) *dispatch.Dispatch {
	d := dispatch.New(hello, s.dispatchTiming()).WithRemoteFactor(s.remoteFactor)
	if s.neverWait {
		return d.WithoutWaits()
	}
	return d
}

// AdvertisedAt returns the settings of a process that others reach at a different
// address than the one it listens on. An empty address changes nothing.
func (s Settings) AdvertisedAt(address string) Settings {
	if address != "" {
		s.advertised = address
	}
	return s
}

// peer returns the process as others reach it.
func (s Settings) peer() frame.Peer {
	return frame.NewPeer(s.name, s.advertised).InZone(s.zone)
}

func (s Settings) executorTiming() executor.Timing {
	return executor.NewTiming(s.maxLease, sessionTimeout, heartbeatInterval).WithLongestLease(s.longestLease)
}

func (s Settings) dispatchTiming() dispatch.Timing {
	t := dispatch.NewTiming(sessionTimeout, s.executorTiming().RunsEndWithin(), heartbeatInterval)
	if s.configApply > 0 {
		t = t.WithConfigApply(s.configApply)
	}
	return t
}

// Dependencies are the parts of a process that its environment provides.
type Dependencies struct {
	Store keyspace.Store
	// ConfigurationKey is the store key of the operators' configuration.
	ConfigurationKey string
	// OperatorsPrefix begins the keys of all that operators request. It is empty where only
	// the configuration is read.
	OperatorsPrefix string
	// EvacuatedZone returns the availability zone that an item below OperatorsPrefix
	// requests to evacuate, empty if it requests something else. The error is of a value
	// that can't be read, or of a key that names no zone.
	EvacuatedZone func(keyspace.Item) (string, error)
	Decode        Decode
	// OnPass is called before each pass of an entry's dispatcher; nil for nothing.
	OnPass func()
	// Out receives the log; nil means standard output.
	Out *os.File
	// Reload reloads the settings; the zero value disables reloading.
	Reload Reload
}

// base is the part that entries and agents share.
type base struct {
	settings Settings
	deps     Dependencies
	hello    frame.Hello
	clock    func() time.Duration
	journal  *log.Journal
	observer *observer
	unsent   unsent
	duties   []duty.Duty
	cleanups []func()
	// sections are parts of the dump beside those of each process.
	sections []dump.Section
	// accounts have what each listener holds. They are added before the process runs.
	accounts []namedAccount
	// graceEnd is when the grace period ends; nil before the stop signal.
	graceEnd atomic.Pointer[time.Time]
	// leaving is closed at the stop signal, lingered when the linger time is over.
	leaving  chan struct{}
	lingered chan struct{}
	// replyDeadline is closed when requests may no longer wait for the dispatcher.
	replyDeadline chan struct{}
}

func newBase(s Settings, deps Dependencies, role frame.Role, address string) (*base, error) {
	clock, err := bootClock()
	if err != nil {
		return nil, err
	}
	out := deps.Out
	if out == nil {
		out = os.Stdout
	}
	j, err := log.NewJournal(out, s.name, time.Now)
	if err != nil {
		return nil, err
	}
	o, err := newObserver()
	if err != nil {
		return nil, err
	}
	b := &base{
		observer:      o,
		settings:      s,
		deps:          deps,
		hello:         frame.NewHello(s.name, rand.Uint64()|1, s.zone, address, role),
		clock:         clock,
		journal:       j,
		leaving:       make(chan struct{}),
		lingered:      make(chan struct{}),
		replyDeadline: make(chan struct{}),
	}
	if err := b.add("journal", "Writes the log.", j.Ring, j.Run); err != nil {
		return nil, err
	}
	return b, nil
}

// serveMetrics adds the duty that keeps histograms and, if there is an address for
// metrics, the duty that serves it.
func (b *base) serveMetrics() error {
	if err := b.add("samples", "Keeps latency histograms.", ringGauge(b.observer.ring), func(ctx context.Context) error {
		b.observer.run(ctx.Done())
		return nil
	}); err != nil || b.settings.metrics == "" {
		return err
	}
	h, err := b.metricsHandler()
	if err != nil {
		return err
	}
	return b.serveHTTP(b.settings.metrics, web.Limits{
		Account: b.account("metrics", b.settings.resources.Side()),
		Request: smallHeads,
	}, "metrics", "Serves metrics and the state dump.", h)
}

// log writes and counts an event.
func (b *base) log(n event.Note) {
	b.journal.Note(n)
	b.observer.observe(n)
}

func (b *base) add(name, purpose string, gauge duty.Gauge, run func(context.Context) error) error {
	d, err := duty.New(name, purpose, gauge, run)
	if err != nil {
		return err
	}
	b.duties = append(b.duties, d)
	return nil
}

func (b *base) logEvent(name event.Name, fields ...event.Field) {
	b.log(event.New(name, fields...))
}

func (b *base) cleanup() {
	for i := len(b.cleanups) - 1; i >= 0; i-- {
		b.cleanups[i]()
	}
}

// smallHeads returns the limits of requests of clients that are part of an installation.
func smallHeads() web.RequestLimits {
	return web.RequestLimits{
		HeadBytes: web.SmallHeadBytes,
	}
}

// serveHTTP adds a duty that serves h at an address within limits.
func (b *base) serveHTTP(address string, limits web.Limits, name, purpose string, h http.Handler) error {
	l, _, err := web.Listen(address)
	if err != nil {
		return err
	}
	d, cleanup, err := web.ServeUntil(l, limits, web.Ending{
		Leaving:  b.leaving,
		Lingered: b.lingered,
		Limit:    b.untilCut,
		Overtime: answerOvertime,
		Note:     b.log,
		Count:    func(c web.Counter) { b.observer.count(name, c) },
	}, name, purpose, h)
	if err != nil {
		return err
	}
	b.duties = append(b.duties, d)
	b.cleanups = append(b.cleanups, cleanup)
	return nil
}

// serveStreams adds a duty that accepts connections of other processes.
func (b *base) serveStreams(h stream.Handlers) error {
	l, err := net.Listen("tcp", b.settings.link)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", b.settings.link)
	}
	l = stream.Limit(l, b.account("link", b.settings.resources.Links()), func() { b.observer.servers.Add("link_"+string(web.RefusedConnection), 1) })
	return b.add("streams", "Accepts connections of other processes.", nil, func(ctx context.Context) error {
		failed, cleanup := stream.Serve(l, b.hello, h)
		defer cleanup()
		select {
		case err := <-failed:
			return err
		case <-ctx.Done():
			return nil
		}
	})
}
