package fleet

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

const (
	team       = "fleet"
	kind       = "short"
	service    = "work"
	shardCount = 64
	zoneCount  = 3
	// readyTimeout allows for a busy machine.
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	// processesPerCluster and maxProcesses bound how many clusters run at a time.
	processesPerCluster = 10
	maxProcesses        = 50
)

// clusterSlots bounds the clusters that run at a time.
var clusterSlots = make(chan struct{}, maxProcesses/processesPerCluster)

var client = &http.Client{
	Transport: &http.Transport{
		MaxIdleConnsPerHost: 64,
	},
}

// cluster is a set of processes in three availability zones.
type cluster struct {
	store   *process
	pool    *process
	agents  []*process
	targets []*process
	entries []*process
}

// newCluster starts a cluster and waits until it is ready for jobs.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := &cluster{}
	c.store = startStandin(t, "store")
	c.pool = startStandin(t, "workers")
	c.waitForStatus(t, c.store.url+"/v1/kv/none", http.StatusNotFound)
	for i := range zoneCount {
		zone := string(rune('a' + i))
		a := c.startRole(t, "agent", "agent_"+zone, zone)
		c.agents = append(c.agents, a)
		c.targets = append(c.targets, startStandin(t, "target", "--name", "target_"+zone, "--agent", a.url, "--service", service))
	}
	for i := range 2 {
		c.entries = append(c.entries, c.startRole(t, "entry", "entry_"+strconv.Itoa(i+1), string(rune('a'+i))))
	}
	c.apply(t, 0, 1)
	for _, p := range c.productProcesses() {
		c.waitForStatus(t, p.url+"/readyz", http.StatusOK)
	}
	c.waitForOwners(t)
	return c
}

// startStandin starts a stand-in program on a free port.
func startStandin(t *testing.T, program string, args ...string) *process {
	t.Helper()
	address := freeAddress(t)
	name := program
	if len(args) > 1 {
		name = args[1]
	}
	return start(t, name, "http://"+address, "greengagedoor-standin", append([]string{program, "--listen", address}, args...)...)
}

// startRole starts a process of the product on free ports.
func (c *cluster) startRole(t *testing.T, role, name, zone string) *process {
	t.Helper()
	address := freeAddress(t)
	return start(t, name, "http://"+address, "greengagedoor", role, "--name", name, "--zone", zone,
		"--link", freeAddress(t), "--http", address, "--store", c.store.url, "--shards", strconv.Itoa(shardCount))
}

// productProcesses returns the agents and entries.
func (c *cluster) productProcesses() []*process {
	return append(append([]*process(nil), c.agents...), c.entries...)
}

// apply publishes a configuration with the command line, on top of the version base.
func (c *cluster) apply(t *testing.T, base uint64, extraTasks int) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "configuration.json")
	if err := os.WriteFile(path, encodedConfiguration(t, extraTasks), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(filepath.Join(programDir, "greengagedoor"), "config", "apply",
		"--store", c.store.url, "--base", strconv.FormatUint(base, 10), path).CombinedOutput()
	if err != nil {
		t.Fatalf("config apply: %v\n%s", err, out)
	}
}

// encodedConfiguration returns a configuration with one kind. Versions differ in
// extraTasks, which raises the task limit of a job.
func encodedConfiguration(t *testing.T, extraTasks int) []byte {
	t.Helper()
	limits, err := configuration.NewLimits(100+extraTasks, 10*time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	tm, err := configuration.NewTeam(team, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	k, err := configuration.NewKind(team, kind, service, configuration.High, 20*time.Second, 100*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := configuration.New(1, limits, []configuration.Team{tm}, []configuration.Kind{k})
	if err != nil {
		t.Fatal(err)
	}
	data, err := configuration.Encode(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// get returns the status and body of a page. Without an answer, the status is 0 and
// the body is the error.
func get(url string) (int, string) {
	c := http.Client{
		Transport: client.Transport,
		Timeout:   2 * time.Second,
	}
	resp, err := c.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// eventually polls a condition and reports whether it became true within the limit.
func eventually(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return condition()
}

func (c *cluster) waitForStatus(t *testing.T, url string, status int) {
	t.Helper()
	var got int
	var body string
	if !eventually(readyTimeout, func() bool { got, body = get(url); return got == status }) {
		t.Fatalf("%s answers with status %d %q after %v, want status %d", url, got, body, readyTimeout, status)
	}
}

// waitForOwners waits until every entry knows shards of every agent. Otherwise a
// shard could move to an agent that joins after the first job.
func (c *cluster) waitForOwners(t *testing.T) {
	t.Helper()
	for _, e := range c.entries {
		if !eventually(readyTimeout, func() bool { return c.ownerCount(e) == zoneCount }) {
			t.Fatalf("%s knows %d shard owners after %v, want %d", e.name, c.ownerCount(e), readyTimeout, zoneCount)
		}
	}
}

// ownerCount returns how many agents own shards as an entry knows them.
func (c *cluster) ownerCount(e *process) int {
	return metricValue(e, "shard_owners")
}

// metricValue returns a metric of a process, -1 without an answer.
func metricValue(p *process, name string) int {
	_, body := get(p.url + "/debug/vars")
	vars := map[string]json.RawMessage{}
	if json.Unmarshal([]byte(body), &vars) != nil {
		return -1
	}
	n, err := strconv.Atoi(string(vars[name]))
	if err != nil {
		return -1
	}
	return n
}

// setStoreFaults replaces the faults of the store's stand-in.
func (c *cluster) setStoreFaults(t *testing.T, faults string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPut, c.store.url+"/standin/faults", strings.NewReader(faults))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(r)
	if err != nil {
		t.Errorf("set faults of the store: %v", err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		var b bytes.Buffer
		_, _ = b.ReadFrom(resp.Body)
		t.Errorf("set faults of the store: status %d %s, want %d", resp.StatusCode, b.String(), http.StatusNoContent)
	}
}

// startCounts returns how often a target started each task, nil without an answer.
func startCounts(p *process) map[string]int {
	status, body := get(p.url + "/standin/starts")
	var list []struct {
		Task  string `json:"task"`
		Count int    `json:"count"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &list) != nil {
		return nil
	}
	starts := map[string]int{}
	for _, s := range list {
		starts[s.Task] = s.Count
	}
	return starts
}
