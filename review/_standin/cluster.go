package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	host    = "nony24.example"
	prefix  = "/lohu930/"
	service = "huvo11a"
	// resendMs of the settings: the pause before a job is sent again.
	resendPause = 1300 * time.Millisecond
	// cancelTime is cancel_ms of the settings.
	cancelTime = 3 * time.Second
	// contactTime is contactMs of the settings.
	contactTime = 3 * time.Second
	startupTime = 15 * time.Second
)

var zones = []string{"dk-east-a", "dk-east-b", "dk-east-c"}

// process is one process of the project's program.
type process struct {
	name string
	role string
	ip   string
	cmd  *exec.Cmd
}

// cluster is a small deployment on loopback. All hosts use the ports from port on. The
// addresses are 127.NET.KIND.N, where the kind is 1 for entries, 2 for agents, 3 for
// minions and 4 for the paths to entries.
type cluster struct {
	dir     string
	port    int
	net     int
	judge   *judge
	store   *store
	storeAt string
	entries []*process
	agents  []*process
	minions []*minion
	seeds   []string
	// paths are the proxies on the ways to the entries' links.
	paths []*path
}

// newCluster starts entries, agents and minions, and waits until each entry serves.
func newCluster(j *judge, entries int, kinds []string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		dir:   dir,
		judge: j,
		store: newStore(),
	}
	c.closeOnSignal()
	if err := c.build(entries, kinds); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) build(entries int, kinds []string) error {
	if err := c.choosePorts(); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.storeAt = l.Addr().String()
	go func() { _ = http.Serve(l, c.store) }()
	c.store.put("op/config", configuration())
	for n := range entries {
		c.seeds = append(c.seeds, fmt.Sprintf("%s:%d", c.ip(4, n), c.port+4))
		p, err := newPath(fmt.Sprintf("%s:%d", c.ip(4, n), c.port), fmt.Sprintf("%s:%d", c.ip(1, n), c.port))
		if err != nil {
			return err
		}
		c.paths = append(c.paths, p)
	}
	for n := range entries {
		p, err := c.startProcess("entry", fmt.Sprintf("edge-%s-%d", zones[n%len(zones)], n+1), zones[n%len(zones)], c.ip(1, n))
		if err != nil {
			return err
		}
		c.entries = append(c.entries, p)
	}
	for n, kind := range kinds {
		zone := zones[n%len(zones)]
		p, err := c.startProcess("agent", fmt.Sprintf("side-%s-%d", zone, n+1), zone, c.ip(2, n))
		if err != nil {
			return err
		}
		c.agents = append(c.agents, p)
		labels := []string{kind, fmt.Sprintf("r1-%d", n/3)}
		m, err := newMinion(fmt.Sprintf("m%02d", n), fmt.Sprintf("%s:%d", c.ip(3, n), c.port+5), fmt.Sprintf("%s:%d", c.ip(2, n), c.port+4),
			service, zone, 32_000, 65_536, labels, c.judge)
		if err != nil {
			return err
		}
		c.minions = append(c.minions, m)
	}
	return c.waitUntilServing()
}

func (c *cluster) ip(kind, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.net, kind, n+1)
}

// choosePorts chooses a loopback network and ports at which nothing listens.
func (c *cluster) choosePorts() error {
	for range 50 {
		c.net = 20 + rand.IntN(200)
		c.port = 20_000 + rand.IntN(12_000)
		free := true
		for i := range 6 {
			l, err := net.Listen("tcp", net.JoinHostPort(c.ip(1, 0), strconv.Itoa(c.port+i)))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

// startProcess starts a role with the command of the deploy file and the settings that
// the platform renders from the role's template.
func (c *cluster) startProcess(role, name, zone, ip string) (*process, error) {
	text, err := os.ReadFile("deploy/" + role + ".ini")
	if err != nil {
		return nil, err
	}
	values := strings.NewReplacer(
		"{{nodeName}}", name, "{{zone}}", zone, "{{ip}}", ip,
		"{{internalPortRange.0}}", strconv.Itoa(c.port), "{{internalPortRange.1}}", strconv.Itoa(c.port+1),
		"{{listenAddrs.frontend}}", fmt.Sprintf("%s:%d", ip, c.port+2), "{{listenAddrs.readiness}}", fmt.Sprintf("%s:%d", ip, c.port+3),
		"{{listenAddrs.control}}", fmt.Sprintf("%s:%d", ip, c.port+4), "{{seeds}}", strings.Join(c.seeds, ","),
		"{{platform.addr}}", c.storeAt, "{{limits.memoryMb}}", map[string]string{"entry": "284", "agent": "152"}[role],
		"{{bounds.maxHoldMs}}", "1000", "{{bounds.configApplyMs}}", "2000", "{{bounds.graceS}}", "6")
	settings := filepath.Join(c.dir, name+".ini")
	if err := os.WriteFile(settings, []byte(values.Replace(string(text))), 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	run, err := deployCommand(role)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(run[0], run[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, "GREENGAGEDOOR_CONFIG=" + settings}
	if role == "entry" {
		// Other processes reach the entry through its path, at its address in another network.
		front := strings.Replace(ip, fmt.Sprintf("127.%d.1.", c.net), fmt.Sprintf("127.%d.4.", c.net), 1)
		cmd.Env = append(cmd.Env, fmt.Sprintf("GREENGAGEDOOR_LISTEN_ADVERTISED=%s:%d", front, c.port))
	}
	cmd.Stdout = out
	cmd.Stderr = out
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go func() { _ = cmd.Wait() }()
	return &process{
		name: name,
		role: role,
		ip:   ip,
		cmd:  cmd,
	}, nil
}

// deployCommand returns the run line of a role of the deploy file.
func deployCommand(role string) ([]string, error) {
	b, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	_, section, ok := strings.Cut(string(b), "[roles."+role+"]")
	if ok {
		_, section, ok = strings.Cut(section, `run = "`)
	}
	if !ok {
		return nil, fmt.Errorf("deploy/system.toml has no role %s", role)
	}
	line, _, _ := strings.Cut(section, `"`)
	return strings.Fields(line), nil
}

func (c *cluster) signal(p *process, s syscall.Signal) {
	c.judge.note("%s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// closeOnSignal ends all processes if the case is ended before its time.
func (c *cluster) closeOnSignal() {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		c.judge.note("the case was ended before its time")
		c.close()
		c.judge.close()
		os.Exit(couldNotRun)
	}()
}

// close ends all processes and removes the temporary folder.
func (c *cluster) close() {
	for _, p := range append(append([]*process(nil), c.entries...), c.agents...) {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	_ = os.RemoveAll(c.dir)
}

func configuration() []byte {
	b, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-3hwrr6x", "host": host, "prefix": prefix, "kind": "non_idempotent", "timeoutMs": 30000, "targetDurationMs": 60,
			"priority": 0, "service": service, "maxAttempts": 4, "slackFactor": 1.6,
		}},
		"services": []any{map[string]any{
			"name": service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "rejectsOverload": true, "standby": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return b
}

// jobStep is a step of a job as a client sends it.
type jobStep struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	MemMB        int64  `json:"memMb"`
	EstimateMs   int64  `json:"estimateMs,omitempty"`
	After        []int  `json:"after,omitempty"`
	Requirements string `json:"requirements,omitempty"`
}

// jobBody returns the body of a job that needn't be kept.
func jobBody(spec string, steps ...jobStep) string {
	b, _ := json.Marshal(map[string]any{"spec": spec, "steps": steps, "bestEffort": true})
	return string(b)
}

// call sends a client's request to an entry. The status is 0 without an answer.
func (c *cluster) call(method string, p *process, id, body string, deadline time.Duration) (int, string) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", p.ip, c.port+2, prefix, id), strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	h := &http.Client{
		Timeout: deadline,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	c.judge.note("client sends %s %s to %s", method, id, p.name)
	w, err := h.Do(r)
	if err != nil {
		c.judge.note("client has no answer to %s %s from %s: %v", method, id, p.name, err)
		return 0, err.Error()
	}
	defer func() { _ = w.Body.Close() }()
	b, _ := io.ReadAll(w.Body)
	text := strings.TrimSpace(string(b))
	c.judge.note("%s answers %s %s with %d %s", p.name, method, id, w.StatusCode, text)
	return w.StatusCode, text
}

// newID returns the id of a job.
func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// waitUntilServing waits until each entry completes a job with a task on each minion.
func (c *cluster) waitUntilServing() error {
	end := time.Now().Add(startupTime)
	for _, p := range c.entries {
		for {
			if time.Now().After(end) {
				return fmt.Errorf("%s doesn't serve", p.name)
			}
			// Tasks of the whole size of a minion need all minions at once.
			status, _ := c.call(http.MethodPost, p, newID(), jobBody("32000/100", jobStep{
				Count:      len(c.minions),
				CPU:        32_000,
				MemMB:      1024,
				EstimateMs: 100,
			}), 1500*time.Millisecond)
			if status == http.StatusOK {
				break
			}
			pause(300 * time.Millisecond)
		}
	}
	pause(contactTime)
	return nil
}
