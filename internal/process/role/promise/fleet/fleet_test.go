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
	team      = "fleet"
	kind      = "short"
	service   = "work"
	shards    = 64
	zoneCount = 3
	// readyLimit leaves room for a busy machine.
	readyLimit   = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	// processesOfFleet and maxProcesses bound how many fleets run at a time.
	processesOfFleet = 10
	maxProcesses     = 50
)

// places limits the fleets that run at a time.
var places = make(chan struct{}, maxProcesses/processesOfFleet)

var client = &http.Client{
	Transport: &http.Transport{
		MaxIdleConnsPerHost: 64,
	},
}

// fleet is an installation of three availability zones.
type fleet struct {
	store   *process
	pool    *process
	agents  []*process
	targets []*process
	entries []*process
}

// newFleet starts an installation that is ready for jobs.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	places <- struct{}{}
	t.Cleanup(func() { <-places })
	f := &fleet{}
	f.store = standin(t, "store")
	f.pool = standin(t, "workers")
	f.waitAnswer(t, f.store.url+"/v1/kv/none", http.StatusNotFound)
	for i := range zoneCount {
		zone := string(rune('a' + i))
		a := f.role(t, "agent", "agent_"+zone, zone)
		f.agents = append(f.agents, a)
		f.targets = append(f.targets, standin(t, "target", "--name", "target_"+zone, "--agent", a.url, "--service", service))
	}
	for i := range 2 {
		f.entries = append(f.entries, f.role(t, "entry", "entry_"+strconv.Itoa(i+1), string(rune('a'+i))))
	}
	f.apply(t, 0, 1)
	for _, p := range f.roles() {
		f.waitAnswer(t, p.url+"/readyz", http.StatusOK)
	}
	f.waitOwners(t)
	return f
}

func standin(t *testing.T, program string, args ...string) *process {
	t.Helper()
	address := freeAddress(t)
	name := program
	if len(args) > 1 {
		name = args[1]
	}
	return start(t, name, "http://"+address, "greengagedoor-standin", append([]string{program, "--listen", address}, args...)...)
}

func (f *fleet) role(t *testing.T, role, name, zone string) *process {
	t.Helper()
	address := freeAddress(t)
	return start(t, name, "http://"+address, "greengagedoor", role, "--name", name, "--zone", zone,
		"--link", freeAddress(t), "--http", address, "--store", f.store.url, "--shards", strconv.Itoa(shards))
}

// roles lists the processes of the product.
func (f *fleet) roles() []*process {
	return append(append([]*process(nil), f.agents...), f.entries...)
}

// apply brings a configuration into force with the command line.
func (f *fleet) apply(t *testing.T, base uint64, maxTasks int) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "configuration.json")
	if err := os.WriteFile(path, encoded(t, maxTasks), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(filepath.Join(programs, "greengagedoor"), "config", "apply",
		"--store", f.store.url, "--base", strconv.FormatUint(base, 10), path).CombinedOutput()
	if err != nil {
		t.Fatalf("config apply: %v\n%s", err, out)
	}
}

// encoded is a configuration with one kind; extra distinguishes versions.
func encoded(t *testing.T, extra int) []byte {
	t.Helper()
	limits, err := configuration.NewLimits(100+extra, 10*time.Minute)
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

// get returns the status and body of a page; status 0 means no answer.
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

// until asks until the answer is yes and reports whether it came in time.
func until(limit time.Duration, ask func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if ask() {
			return true
		}
	}
	return ask()
}

func (f *fleet) waitAnswer(t *testing.T, url string, status int) {
	t.Helper()
	var got int
	var body string
	if !until(readyLimit, func() bool { got, body = get(url); return got == status }) {
		t.Fatalf("%s answers %d %q after %v, want %d", url, got, body, readyLimit, status)
	}
}

// waitOwners waits until every entry knows shards of every agent, so that no
// shard moves to an agent that joins after the first job.
func (f *fleet) waitOwners(t *testing.T) {
	t.Helper()
	for _, e := range f.entries {
		if !until(readyLimit, func() bool { return f.owners(e) == zoneCount }) {
			t.Fatalf("%s knows %d owners after %v, want %d", e.name, f.owners(e), readyLimit, zoneCount)
		}
	}
}

func (f *fleet) owners(e *process) int {
	return variable(e, "shard_owners")
}

// variable reads a number from the metrics of a process, -1 without answer.
func variable(p *process, name string) int {
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

// storeFaults replaces what is wrong with the store.
func (f *fleet) storeFaults(t *testing.T, faults string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPut, f.store.url+"/standin/faults", strings.NewReader(faults))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(r)
	if err != nil {
		t.Errorf("faults of the store: %v", err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		var b bytes.Buffer
		_, _ = b.ReadFrom(resp.Body)
		t.Errorf("faults of the store: %d %s", resp.StatusCode, b.String())
	}
}

// startsAt lists the tasks that a target started; nil without answer.
func startsAt(p *process) map[string]int {
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
