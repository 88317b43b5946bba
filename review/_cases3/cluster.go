package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"greengagedoor.example/greengagedoor/platform"
	"greengagedoor.example/greengagedoor/platform/standin"
)

// The bounds of the small deployments that the cases use.
const (
	configApply = 2 * time.Second
	contact     = 3 * time.Second
	ackTime     = 4 * time.Second
	cancelTime  = 3 * time.Second
	stopTime    = 50 * time.Millisecond
)

// The size of the installation.
const (
	numEntries = 3
	numAgents  = 11
	// startLimit is how long the processes have to answer a first job.
	startLimit = 20 * time.Second
	// settleTime is how long all processes run without a disruption before the case begins.
	settleTime = 4 * time.Second
)

const (
	service   = "huvo11a"
	queueHost = "nony24.example"
	prefix    = "/lohu930/"
)

// cluster is an installation on loopback.
type cluster struct {
	rec     *record
	dir     string
	store   *standin.Store
	entries []*process
	agents  []*process
	minions []*minion
	fronts  []string
	runs    *runs
	cleanup []func()
}

// zones has the availability zones of the installation.
var zones = []string{"harbor-a", "ridge-b", "pine-c"}

// freePort returns a port that is free on all hosts.
func freePort(hosts []string) (int, error) {
	for range 100 {
		port := 20_000 + rand.IntN(12_000)
		free := true
		for _, h := range hosts {
			l, err := net.Listen("tcp", net.JoinHostPort(h, fmt.Sprint(port)))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free on %d hosts", len(hosts))
}

func newCluster(rec *record) (*cluster, error) {
	c := &cluster{
		rec:  rec,
		runs: newRuns(rec),
	}
	dir, err := os.MkdirTemp("", "cases3")
	if err != nil {
		return nil, err
	}
	c.dir = dir
	c.onClose(func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
	})
	if err := c.build(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) onClose(f func()) {
	c.cleanup = append(c.cleanup, f)
}

func (c *cluster) close() {
	for i := len(c.cleanup) - 1; i >= 0; i-- {
		c.cleanup[i]()
	}
}

func (c *cluster) build() error {
	store, stop, err := standin.NewStore()
	if err != nil {
		return err
	}
	c.store = store
	c.onClose(stop)
	c.configure(1, true)
	network := 20 + rand.IntN(200)
	host := func(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", network, kind, n+1) }
	var hosts, seeds []string
	for n := range numEntries {
		hosts = append(hosts, host(1, n))
	}
	for n := range numAgents {
		hosts = append(hosts, host(2, n), host(3, n))
	}
	ports := map[string]int{}
	for _, name := range []string{"link", "metrics", "front", "ready", "control", "app"} {
		if ports[name], err = freePort(hosts); err != nil {
			return err
		}
	}
	at := func(h, port string) string { return net.JoinHostPort(h, fmt.Sprint(ports[port])) }
	for n := range numEntries {
		seeds = append(seeds, at(host(1, n), "control"))
	}
	values := func(name, zone, h string) map[string]string {
		return map[string]string{
			"nodeName": name, "zone": zone, "ip": h, "seeds": strings.Join(seeds, ","), "platform.addr": store.Address(),
			"internalPortRange.0": fmt.Sprint(ports["link"]), "internalPortRange.1": fmt.Sprint(ports["metrics"]),
			"listenAddrs.frontend": at(h, "front"), "listenAddrs.readiness": at(h, "ready"), "listenAddrs.control": at(h, "control"),
			"bounds.maxHoldMs": "1000", "bounds.graceS": "6", "bounds.configApplyMs": fmt.Sprint(configApply.Milliseconds()),
		}
	}
	for n := range numEntries {
		v := values(fmt.Sprintf("edge-%d", n+1), zones[n%len(zones)], host(1, n))
		v["limits.memoryMb"] = "284"
		p, err := newProcess(c.rec, c.dir, "entry", v["nodeName"], v,
			"GREENGAGEDOOR_LIMITS_DESCRIPTORS=4100", "GREENGAGEDOOR_TIMES_EVACUATE_MS=", "GREENGAGEDOOR_PLACEMENT_REMOTE_FACTOR=1.5")
		if err != nil {
			return err
		}
		c.entries = append(c.entries, p)
		c.fronts = append(c.fronts, v["listenAddrs.frontend"])
	}
	for n := range numAgents {
		zone := zones[n%len(zones)]
		v := values(fmt.Sprintf("side-%d", n+1), zone, host(2, n))
		v["limits.memoryMb"] = "152"
		p, err := newProcess(c.rec, c.dir, "agent", v["nodeName"], v, "GREENGAGEDOOR_LIMITS_DESCRIPTORS=4096")
		if err != nil {
			return err
		}
		c.agents = append(c.agents, p)
		c.minions = append(c.minions, newMinion(c.rec, c.runs, fmt.Sprintf("i-%08x", rand.Uint32()), at(host(3, n), "app"), v["listenAddrs.control"], zone, []string{"a", fmt.Sprintf("r%d", n/3)}))
	}
	for _, p := range append(append([]*process(nil), c.entries...), c.agents...) {
		if err := p.start(); err != nil {
			return err
		}
		c.onClose(p.close)
	}
	for _, m := range c.minions {
		if err := m.start(); err != nil {
			return err
		}
		c.onClose(m.crash)
	}
	return c.waitUntilServing()
}

// configure writes a version of the operators' configuration, with or without the queue.
// Another queue is in each version.
func (c *cluster) configure(version int, withQueue bool) {
	route := func(name, path string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"kind":"non_idempotent","timeoutMs":1500,"targetDurationMs":60,"priority":0,"service":%q,"maxAttempts":4,"slackFactor":1.5}`,
			name, queueHost, path, service)
	}
	routes := []string{route("r-other", "/other77/")}
	if withQueue {
		routes = append(routes, route("r-queue", prefix))
	}
	text := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"rejectsOverload":true}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144}}`,
		version, strings.Join(routes, ","), service)
	c.store.Put(platform.ConfigurationKey, text)
	c.rec.add("the store confirms configuration %d, with %d queues", version, len(routes))
}

// waitUntilServing waits until each entry completes a short job, and a while longer.
func (c *cluster) waitUntilServing() error {
	end := time.Now().Add(startLimit)
	for n := range c.fronts {
		for {
			a := c.submit(n, newID(), 5*time.Second, oneTask(50))
			if a.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s completes no job: %s", c.entries[n].name, a)
			}
			pause(200 * time.Millisecond)
		}
	}
	pause(settleTime)
	return nil
}
