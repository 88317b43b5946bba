// Package local runs the whole system in one process on loopback.
//
// It starts the stand-ins for the platform (store, worker pool, targets), one
// agent in each of three availability zones and two entries. Each role has the same
// code and links as in a process of its own. The package serves demonstrations, runs
// of sample jobs, and tests that need the whole system.
package local

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"greengagedoor.example/greengagedoor/internal/connection/announcement"
	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
	"greengagedoor.example/greengagedoor/internal/process/role/host"
	"greengagedoor.example/greengagedoor/internal/process/role/publisher"
	"greengagedoor.example/greengagedoor/internal/process/role/publisher/service"
	"greengagedoor.example/greengagedoor/internal/process/standin/keyvalue"
	"greengagedoor.example/greengagedoor/internal/process/standin/pool"
	"greengagedoor.example/greengagedoor/internal/process/standin/record"
	"greengagedoor.example/greengagedoor/internal/process/standin/target"
	"greengagedoor.example/greengagedoor/internal/process/store"
	"greengagedoor.example/greengagedoor/internal/process/web"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

const (
	entries           = 2
	targetSlots       = 8
	targetConnections = 64
	workersPerRack    = 3
	shards            = 64
	anyPort           = "127.0.0.1:0"
)

var zones = []string{"a", "b", "c"}

// Size is the number of agents and targets of a system.
type Size struct {
	agents          int
	targetsPerAgent int
	slowness        []float64
}

// NewSize returns a size. It assigns agents to the availability zones in turn. Each
// agent has a worker and its own targets, which take their slowness from the list in
// turn. The numbers and the list must not be zero or empty.
func NewSize(agents, targetsPerAgent int, slowness []float64) (Size, error) {
	if agents < 1 || targetsPerAgent < 1 || len(slowness) == 0 {
		return Size{}, errors.Errorf("size has %d agents, %d targets per agent and %d slowness factors, want at least 1 of each", agents, targetsPerAgent, len(slowness))
	}
	return Size{
		agents:          agents,
		targetsPerAgent: targetsPerAgent,
		slowness:        slowness,
	}, nil
}

// Capacity returns the work that all targets complete per second, in seconds of run
// time at slowness 1.
func (z Size) Capacity() float64 {
	var sum float64
	for i := range z.agents * z.targetsPerAgent {
		sum += targetSlots / z.slowness[i%len(z.slowness)]
	}
	return sum
}

// defaultSize returns one agent in each availability zone with two equal targets.
func defaultSize() Size {
	return Size{
		agents:          len(zones),
		targetsPerAgent: 2,
		slowness:        []float64{1},
	}
}

// placement returns the availability zone, the rack and the name suffix of the i-th
// agent.
func placement(i int) (zone, rack, suffix string) {
	zone = zones[i%len(zones)]
	suffix = zone
	if n := i / len(zones); n > 0 {
		suffix = fmt.Sprint(zone, n+1)
	}
	return zone, fmt.Sprintf("rack_%s%d", zone, i/len(zones)/workersPerRack+1), suffix
}

// System is the assembled system.
type System struct {
	size     Size
	targets  []string
	log      *logrus.Entry
	seed     uint64
	now      func() time.Time
	record   *record.Record
	store    *store.Store
	storeURL string
	poolURL  string
	entries  []*host.Entry
	agents   []string
	duties   []duty.Duty
	cleanups []func()
}

// New assembles a system of the default size. The seed determines the random choices
// of the roles. The caller runs the cleanup function in the end, also if the system
// was never started.
func New(seed uint64, log *logrus.Entry) (*System, func(), error) {
	return NewWithClock(seed, time.Now, log)
}

// NewWithClock returns a system whose roles read the clock now. The clock must run at
// the speed of the real one, which the timers use.
func NewWithClock(seed uint64, now func() time.Time, log *logrus.Entry) (*System, func(), error) {
	return build(defaultSize(), seed, now, log)
}

// NewSized returns a system of the given size.
func NewSized(size Size, seed uint64, log *logrus.Entry) (*System, func(), error) {
	return build(size, seed, time.Now, log)
}

func build(size Size, seed uint64, now func() time.Time, log *logrus.Entry) (*System, func(), error) {
	s := &System{
		size: size,
		log:  log,
		seed: seed,
		now:  now,
	}
	for _, step := range []func() error{s.buildStore, s.buildPool, s.buildAgents, s.buildEntries} {
		if err := step(); err != nil {
			s.cleanup()
			return nil, nil, err
		}
	}
	return s, s.cleanup, nil
}

func (s *System) cleanup() {
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		s.cleanups[i]()
	}
}

// Entries returns the base URLs of the entries for callers.
func (s *System) Entries() []string {
	var urls []string
	for _, e := range s.entries {
		urls = append(urls, "http://"+e.HTTPAddress())
	}
	return urls
}

// Agents returns the base URLs of the agents' pages.
func (s *System) Agents() []string {
	return append([]string(nil), s.agents...)
}

// Targets returns the URLs at which the targets receive tasks.
func (s *System) Targets() []string {
	return s.targets
}

// Slots returns the number of slots per target.
func (s *System) Slots() int {
	return targetSlots
}

// StoreURL returns the base URL of the stand-in for the store.
func (s *System) StoreURL() string {
	return s.storeURL
}

// Record returns the start counts of the tasks at targets and workers.
func (s *System) Record() *record.Record {
	return s.record
}

// Start runs the system. The channel reports the failure of a duty. The cleanup
// function stops entries, agents, targets and platform in this order, so that a
// server stops after its clients: an HTTP server waits 5 s for connections that a
// client has opened and not used.
func (s *System) Start(ctx context.Context) (failed <-chan error, cleanup func(), err error) {
	table, err := duty.NewTable(s.duties...)
	if err != nil {
		return nil, nil, err
	}
	failed, cleanup = table.Start(ctx)
	return failed, cleanup, nil
}

func (s *System) addDuty(name, purpose string, f func(context.Context) error) error {
	d, err := duty.New(name, purpose, nil, f)
	s.duties = append(s.duties, d)
	return err
}

// addServer adds an HTTP server on a free port and returns its base URL. Routes may
// be added to e until the system starts.
func (s *System) addServer(name string, e *echo.Echo) (string, error) {
	l, address, err := web.Listen(anyPort)
	if err != nil {
		return "", err
	}
	d, cleanup, err := web.Serve(l, web.ConstantLimit(web.ShutdownLimit), name, "Serves a stand-in of the platform.", e)
	s.cleanups = append(s.cleanups, cleanup)
	s.duties = append(s.duties, d)
	return "http://" + address, err
}

func (s *System) buildStore() error {
	kv, err := keyvalue.New(time.Now)
	if err != nil {
		return err
	}
	if err := s.addDuty("keyvalue", "Owns the keys and sessions of the store.", kv.Run); err != nil {
		return err
	}
	e := echo.New()
	kv.Register(e)
	s.storeURL, err = s.addServer("store", e)
	if err != nil {
		return err
	}
	var cleanup func()
	s.store, cleanup, err = store.New(s.storeURL, host.StoreTimeout)
	if err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, cleanup)
	return nil
}

func (s *System) buildPool() error {
	var err error
	s.record, err = record.New()
	if err != nil {
		return err
	}
	if err := s.addDuty("record", "Counts the starts of tasks.", s.record.Run); err != nil {
		return err
	}
	r, err := workerResources()
	if err != nil {
		return err
	}
	var workers []pool.Worker
	for i := range s.size.agents {
		zone, rack, suffix := placement(i)
		workers = append(workers, pool.NewWorker("worker_"+suffix, zone, rack, r))
	}
	p, err := pool.New(workers, s.record, time.Now)
	if err != nil {
		return err
	}
	if err := s.addDuty("pool", "Owns the leases of the workers.", p.Run); err != nil {
		return err
	}
	e := echo.New()
	p.Register(e)
	s.poolURL, err = s.addServer("workers", e)
	return err
}

func workerResources() (configuration.Resources, error) {
	return configuration.NewResources(16_000, 32<<30, 2)
}

func (s *System) newCommon(name, zone string) (host.Common, error) {
	p, err := identity.NewProcess(name, s.seed|1)
	if err != nil {
		return host.Common{}, err
	}
	st, cleanup, err := store.New(s.storeURL, host.StoreTimeout)
	if err != nil {
		return host.Common{}, err
	}
	s.cleanups = append(s.cleanups, cleanup)
	c, err := host.NewCommon(p, 0, 1, shards, zone, anyPort, anyPort, st, s.log.WithField("process", name))
	return c.WithClock(s.now), err
}

func (s *System) buildAgents() error {
	for i := range s.size.agents {
		if err := s.buildAgent(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) buildAgent(i int) error {
	zone, rack, suffix := placement(i)
	name := "agent_" + suffix
	c, err := s.newCommon(name, zone)
	if err != nil {
		return err
	}
	r, err := workerResources()
	if err != nil {
		return err
	}
	a, cleanup, err := host.NewAgent(c, s.poolURL, agent.NewWorker("worker_"+suffix, rack, r), s.seed)
	if err != nil {
		return err
	}
	s.agents = append(s.agents, "http://"+a.HTTPAddress())
	for j := range s.size.targetsPerAgent {
		slowness := s.size.slowness[(i*s.size.targetsPerAgent+j)%len(s.size.slowness)]
		if err := s.buildTarget(fmt.Sprintf("target_%s_%d", suffix, j+1), "http://"+a.HTTPAddress(), slowness); err != nil {
			cleanup()
			return err
		}
	}
	return s.addRole(name, "Runs an agent of availability zone "+zone+".", a.Run, cleanup)
}

// addRole adds the duty of a role, which closes the role's connections at its end.
func (s *System) addRole(name, purpose string, run func(context.Context) error, cleanup func()) error {
	s.cleanups = append(s.cleanups, cleanup)
	return s.addDuty(name, purpose, func(ctx context.Context) error {
		defer cleanup()
		return run(ctx)
	})
}

func (s *System) buildTarget(name, agentURL string, slowness float64) error {
	e := echo.New()
	url, err := s.addServer(name, e)
	if err != nil {
		return err
	}
	n, err := announcement.New(name, url+"/task", services(), targetSlots, targetConnections, false)
	if err != nil {
		return err
	}
	s.targets = append(s.targets, url+"/task")
	t, err := target.New(n, agentURL, slowness, s.record, s.log.WithField("process", name))
	if err != nil {
		return err
	}
	t.Register(e)
	return s.addDuty("announce_"+name, "Announces the target to its agent.", t.Run)
}

func (s *System) buildEntries() error {
	for i := range entries {
		name := fmt.Sprintf("entry_%d", i+1)
		c, err := s.newCommon(name, zones[i])
		if err != nil {
			return err
		}
		e, cleanup, err := host.NewEntry(c)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		if err := s.addRole(name, "Runs an entry.", e.Run, cleanup); err != nil {
			return err
		}
	}
	return nil
}

// Apply publishes the configuration as the first active version.
func (s *System) Apply(ctx context.Context, cfg *configuration.Configuration) error {
	p, err := service.New(s.store, time.Now)
	if err != nil {
		return err
	}
	r, err := p.Execute(ctx, publisher.NewApply(uuid.NewString(), "local", 0, cfg))
	if err != nil {
		return errors.Wrap(err, "apply configuration")
	}
	if r.State() != publisher.Applied {
		return errors.Errorf("apply configuration: state %v, want %v: %s %v", r.State(), publisher.Applied, r.Detail(), r.Problems())
	}
	return nil
}
