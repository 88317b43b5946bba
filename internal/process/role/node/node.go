// Package node assembles the processes of the system.
//
// An entry and an agent each have one duty that owns their decision. All that
// happens reaches it through one bounded ring: requests, frames of other
// processes, answers of the target, configurations. The duty hands each event to
// the decision with the time of a clock that counts while the host is suspended,
// and carries out what the decision returns. Other duties wait for the outside:
// one serves callers, one takes connections, one opens connections, one follows
// the store, and some give orders to the target.
package node

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
	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/keyspace"
	"greengagedoor.example/greengagedoor/internal/process/log"
	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/process/role/station"
	"greengagedoor.example/greengagedoor/internal/process/web"
)

// The sizes and times of a process.
const (
	// ringSize bounds the events that wait for a decision.
	ringSize = 8192
	// tickInterval is how often a decision is told that time has passed; the
	// shortest pause that a decision counts is a few times as long.
	tickInterval = 20 * time.Millisecond
	// silence is after how long a silent peer counts as lost. With the lease and
	// the stop it stays below the 1.3 s after which callers send a job again.
	silence = 500 * time.Millisecond
	// maxLease bounds the lease of runs; targets shorten longer ones than they
	// allow.
	maxLease = 600 * time.Millisecond
	// beat is the longest time between two frames to a peer.
	beat = 200 * time.Millisecond
	// lingerTime is how long a leaving entry goes on serving, so that the load
	// balancer has seen two refusals of its question, one a second.
	lingerTime = 2500 * time.Millisecond
	// endMargin is what remains of the time to end after the last answer.
	endMargin = 300 * time.Millisecond
	// graceMargin is what remains of the time to end after the last work.
	graceMargin = 700 * time.Millisecond
)

// Settings are what every process is told.
type Settings struct {
	name string
	zone string
	link string
	// advertised is the address that others use.
	advertised string
	metrics    string
	seeds      []string
	maxLease   time.Duration
	grace      time.Duration
}

// NewSettings returns the settings of a process: its name, availability zone,
// and the addresses for other processes and for metrics.
func NewSettings(name, zone, link, metrics string, seeds []string) (Settings, error) {
	if name == "" || zone == "" || link == "" {
		return Settings{}, errors.Errorf("process %q in zone %q at %q: all three are needed", name, zone, link)
	}
	return Settings{
		name:       name,
		zone:       zone,
		link:       link,
		advertised: link,
		metrics:    metrics,
		seeds:      seeds,
		maxLease:   maxLease,
		grace:      lingerTime + 2*graceMargin,
	}, nil
}

// WithTimes returns the settings with the longest lease that targets allow and
// the time that a process has to end after SIGTERM.
func (s Settings) WithTimes(lease, grace time.Duration) Settings {
	if lease > 0 {
		s.maxLease = min(maxLease, lease)
	}
	if grace > 0 {
		s.grace = grace
	}
	return s
}

// AdvertisedAt returns the settings of a process that others reach at another
// address than the one it listens on; empty changes nothing.
func (s Settings) AdvertisedAt(address string) Settings {
	if address != "" {
		s.advertised = address
	}
	return s
}

func (s Settings) stationTiming() station.Timing {
	return station.NewTiming(s.maxLease, silence, beat)
}

func (s Settings) dispatchTiming() dispatch.Timing {
	return dispatch.NewTiming(silence, s.stationTiming().RunsEndWithin(), beat)
}

// Dependencies are what a process needs from the platform.
type Dependencies struct {
	// Store is the platform's store.
	Store keyspace.Store
	// ConfigurationKey is where the operators keep the configuration.
	ConfigurationKey string
	// Decode reads a configuration as it is stored.
	Decode Decode
	// Out takes the log.
	Out *os.File
	// Reload reads the settings again; without it a process keeps them.
	Reload Reload
}

// base is what both kinds of process have.
type base struct {
	settings Settings
	seams    Dependencies
	hello    frame.Hello
	clock    func() time.Duration
	journal  *log.Journal
	observer *observer
	duties   []duty.Duty
	cleanups []func()
	// endAt is when the process must have ended, in ns of Unix time; 0 while it runs.
	endAt atomic.Int64
}

func newBase(s Settings, seams Dependencies, role frame.Role, address string) (*base, error) {
	clock, err := bootClock()
	if err != nil {
		return nil, err
	}
	out := seams.Out
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
		observer: o,
		settings: s,
		seams:    seams,
		hello:    frame.NewHello(s.name, rand.Uint64()|1, s.zone, address, role),
		clock:    clock,
		journal:  j,
	}
	if err := b.add("journal", "Writes the log.", j.Ring, j.Run); err != nil {
		return nil, err
	}
	return b, b.serveMetrics()
}

// serveMetrics adds the duties behind the metrics address, if there is one.
func (b *base) serveMetrics() error {
	if err := b.add("samples", "Keeps histograms of times.", gauge(b.observer.ring), func(ctx context.Context) error {
		b.observer.run(ctx.Done())
		return nil
	}); err != nil || b.settings.metrics == "" {
		return err
	}
	h, err := b.handler()
	if err != nil {
		return err
	}
	return b.serveHTTP(b.settings.metrics, "metrics", "Serves metrics and the state dump.", h)
}

// log writes and counts a note.
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

func (b *base) note(name event.Name, fields ...event.Field) {
	b.log(event.New(name, fields...))
}

func (b *base) cleanup() {
	for i := len(b.cleanups) - 1; i >= 0; i-- {
		b.cleanups[i]()
	}
}

// serveHTTP adds a duty that serves h at an address.
func (b *base) serveHTTP(address, name, purpose string, h http.Handler) error {
	l, _, err := web.Listen(address)
	if err != nil {
		return err
	}
	d, cleanup, err := web.Serve(l, b.remaining, name, purpose, h)
	if err != nil {
		return err
	}
	b.duties = append(b.duties, d)
	b.cleanups = append(b.cleanups, cleanup)
	return nil
}

// serveStreams adds a duty that takes connections of other processes.
func (b *base) serveStreams(h stream.Handlers) error {
	l, err := net.Listen("tcp", b.settings.link)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", b.settings.link)
	}
	return b.add("streams", "Takes connections of other processes.", nil, func(ctx context.Context) error {
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

// run starts all duties and waits until the process is told to end and has
// nothing left to do, or a duty fails.
func (b *base) run(ctx context.Context, leave func(), idle func() bool, linger time.Duration) error {
	table, err := duty.NewTable(b.duties...)
	if err != nil {
		return err
	}
	failed, stop := table.Start(context.WithoutCancel(ctx))
	defer stop()
	b.note(event.ProcessStarted, event.F("zone", b.settings.zone), event.F("link", b.settings.link), event.F("boot", b.hello.Incarnation()), event.F("pid", os.Getpid()))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	b.endAt.Store(time.Now().Add(b.settings.grace).UnixNano())
	b.note(event.ProcessStopping)
	leave()
	b.drain(idle, linger)
	b.note(event.ProcessStopped)
	return nil
}

// remaining is how long requests that came at the last moment may still take.
func (b *base) remaining() time.Duration {
	return max(0, time.Until(time.Unix(0, b.endAt.Load()))-endMargin)
}

// drain waits for the linger time and then until nothing is left, but no longer
// than the process has to end.
func (b *base) drain(idle func() bool, linger time.Duration) {
	end := time.NewTimer(b.settings.grace - graceMargin)
	defer end.Stop()
	lingered := time.NewTimer(linger)
	defer lingered.Stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	over := false
	for {
		select {
		case <-end.C:
			return
		case <-lingered.C:
			over = true
		case <-ticker.C:
		}
		if over && idle() {
			return
		}
	}
}
