package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"greengagedoor.example/greengagedoor/platform/standin"
)

// The figures of a small site: times, the capacity of a target in thousandths of a core,
// the limits of requests.
const (
	heartbeat      = 1500 * time.Millisecond
	firstReport    = 100 * time.Millisecond
	targetCores    = 32_000
	maxHeaderBytes = 16_384
	maxBodyBytes   = 262_144
	// startTime bounds the time until each entry serves a job, and settleTime is how long
	// connections are left alone before the case begins: the contactMs of the sites.
	startTime  = 20 * time.Second
	settleTime = 3 * time.Second
	// deadline is how long the clients of the site wait, and the time of its routes.
	deadline = 1500 * time.Millisecond
)

// The route of the installation.
const (
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
	serviceName = "s"
)

// size is what an installation consists of.
type size struct {
	entries  int
	agents   int
	memoryMB int
	// timeout is the time of the route.
	timeout time.Duration
	// relays is set if a relay stands between each agent and its target.
	relays bool
}

// installation is a small deployment on loopback addresses.
type installation struct {
	size    size
	rec     *record
	dir     string
	store   *standin.Store
	runs    *runs
	entries []*process
	agents  []*process
	targets []*standin.Target
	// reporters send the reports of each target, relays stand before the targets.
	reporters []func() error
	relays    []*relay
	late      *lateCall
	ended     chan struct{}
	work      sync.WaitGroup
	cleanup   []func()
}

// newInstallation starts an installation and waits until each entry serves.
func newInstallation(s size, rec *record) (*installation, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	in := &installation{
		size:  s,
		rec:   rec,
		dir:   dir,
		ended: make(chan struct{}),
		late: &lateCall{
			owner: newOwner(),
		},
	}
	in.runs = &runs{
		rec:   rec,
		owner: newOwner(),
	}
	in.cleanup = append(in.cleanup, func() { _ = os.RemoveAll(dir) })
	store, cleanup, err := standin.NewStore()
	if err != nil {
		return in, err
	}
	in.store = store
	in.cleanup = append(in.cleanup, cleanup)
	if err := in.configure(1); err != nil {
		return in, err
	}
	if err := in.startAll(); err != nil {
		return in, err
	}
	return in, in.waitUntilServing()
}

// configure writes a version of the operators' configuration.
func (in *installation) configure(version int) error {
	b, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": routeHost, "prefix": routePrefix, "kind": "non_idempotent", "service": serviceName,
			"timeoutMs": in.size.timeout.Milliseconds(), "targetDurationMs": 60, "priority": 0, "maxAttempts": 4, "slackFactor": 1.6,
		}},
		"services": []any{map[string]any{
			"name": serviceName, "maxConns": 64, "rejectsOverload": true,
		}},
		"limits": map[string]any{
			"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000,
		},
	})
	if err != nil {
		return err
	}
	in.store.Put("op/config", string(b))
	return nil
}

// startAll starts the entries, the targets and their agents. Hosts differ by their
// loopback address, ports are the same on all of them.
func (in *installation) startAll() error {
	network := 10 + os.Getpid()%200
	host := func(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", network, kind, n+1) }
	ports, err := freePorts(host(1, 0), 4)
	if err != nil {
		return err
	}
	seeds := ""
	for n := range min(in.size.entries, 3) {
		if n > 0 {
			seeds += ","
		}
		seeds += net.JoinHostPort(host(1, n), fmt.Sprint(ports[3]))
	}
	common := settings{
		memoryMB: in.size.memoryMB,
		seeds:    seeds,
		store:    in.store.Address(),
		ports:    ports,
		dir:      in.dir,
	}
	for n := range in.size.entries {
		p, err := startProcess(common, "entry", fmt.Sprintf("edge-%d", n+1), zoneOf(n), host(1, n), in.rec)
		if err != nil {
			return err
		}
		in.entries = append(in.entries, p)
	}
	for n := range in.size.agents {
		if err := in.startAgent(common, n, host(2, n)); err != nil {
			return err
		}
	}
	return nil
}

func zoneOf(n int) string {
	return "zone-" + string(rune('a'+n%3))
}

// startAgent starts a target and the agent beside it. The target reports at its start and
// at each heartbeat.
func (in *installation) startAgent(common settings, n int, host string) error {
	name := fmt.Sprintf("side-%d", n+1)
	x, cleanup, err := standin.NewTarget(name, net.JoinHostPort(host, "0"), targetCores, standin.RunObserver{
		Started: in.runs.started,
		Ended:   in.runs.endedOn,
	})
	if err != nil {
		return err
	}
	in.cleanup = append(in.cleanup, cleanup)
	x.SetZone(zoneOf(n))
	in.targets = append(in.targets, x)
	p, err := startProcess(common, "agent", name, zoneOf(n), host, in.rec)
	if err != nil {
		return err
	}
	in.agents = append(in.agents, p)
	report := func() error { return x.Report(p.control, x.Address()) }
	if in.size.relays {
		r, cleanup, err := newRelay(x, host, "i-"+name, p.control, in.late, in.rec)
		if err != nil {
			return err
		}
		in.cleanup = append(in.cleanup, cleanup)
		in.relays = append(in.relays, r)
		report = func() error { return x.Report(r.reportsAddr, r.callsAddr) }
	}
	in.reporters = append(in.reporters, report)
	in.work.Add(1)
	go func() {
		defer in.work.Done()
		pause := firstReport
		for {
			if report() == nil {
				pause = heartbeat
			}
			select {
			case <-time.After(pause):
			case <-in.ended:
				return
			}
		}
	}()
	return nil
}

// waitUntilServing waits until each entry has completed a job, and then for the time in
// which connections settle.
func (in *installation) waitUntilServing() error {
	end := time.Now().Add(startTime)
	for n, p := range in.entries {
		for i := 0; ; i++ {
			a := p.post(fmt.Sprintf("5e771e%02x%08x", n, i), oneTask(50), time.Second)
			if a.status == 200 {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve: %v", p.name, a)
			}
			pause(100 * time.Millisecond)
		}
	}
	pause(settleTime)
	in.rec.note("%d entries and %d targets serve", len(in.entries), len(in.targets))
	return nil
}

// end ends all processes and stand-ins.
func (in *installation) end() {
	close(in.ended)
	in.work.Wait()
	for _, p := range append(append([]*process(nil), in.entries...), in.agents...) {
		p.kill()
	}
	for i := len(in.cleanup) - 1; i >= 0; i-- {
		in.cleanup[i]()
	}
}

// freePorts returns n ports that are free on a host.
func freePorts(host string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// runs records what targets start and end.
type runs struct {
	rec   *record
	owner owner
	list  []run
	// quiet keeps runs out of the record.
	quiet bool
}

// run is one run of a task on a target.
type run struct {
	target string
	task   string
	number int64
	began  time.Time
	ended  time.Time
	how    string
}

func (r *runs) started(target, task string, number int64) {
	r.owner.call(func() {
		r.list = append(r.list, run{
			target: target,
			task:   task,
			number: number,
			began:  time.Now(),
		})
		if !r.quiet {
			r.rec.note("%s starts task %s, run %d", target, task, number)
		}
	})
}

func (r *runs) endedOn(target, task string, number int64, how string) {
	r.owner.call(func() {
		for i := range r.list {
			x := &r.list[i]
			if x.target == target && x.task == task && x.number == number && x.ended.IsZero() {
				x.ended = time.Now()
				x.how = how
			}
		}
		if !r.quiet {
			r.rec.note("%s ends task %s, run %d: %s", target, task, number, how)
		}
	})
}

// setQuiet keeps further runs out of the record.
func (r *runs) setQuiet() {
	r.owner.call(func() { r.quiet = true })
}

// of returns the runs of a job that began after a time.
func (r *runs) of(job string, after time.Time) []run {
	var list []run
	r.owner.call(func() {
		for _, x := range r.list {
			if strings.HasPrefix(x.task, job+".") && x.began.After(after) {
				list = append(list, x)
			}
		}
	})
	return list
}

// logFile is where a process writes its log.
func logFile(dir, name string) string {
	return filepath.Join(dir, name+".log")
}
