package local

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// The teams of the sample configuration.
const (
	tegnestuen = "tegnestuen"
	lakeshore  = "lakeshore"
)

// workerService is the service under which agents announce their worker.
const workerService = "worker"

const (
	maxTasks    = 1100
	retention   = 10 * time.Minute
	maxJobTasks = 8
	// Every failEvery-th sample job has a failing task; every resendEvery-th is
	// submitted twice.
	failEvery    = 25
	resendEvery  = 4
	maxRunTimeMS = 60
)

// sampleKind is a kind of the sample configuration. The field count is its weight
// among the sample jobs of its team; the weights of a team add up to ten.
type sampleKind struct {
	team       string
	name       string
	service    string
	urgency    configuration.Urgency
	commitment time.Duration
	runTime    time.Duration
	harm       int
	long       bool
	count      int
}

// sampleKinds are the requests of the two teams that the design page names.
var sampleKinds = []sampleKind{
	{
		team:       tegnestuen,
		name:       "log_sale",
		service:    "sales",
		urgency:    configuration.Critical,
		commitment: 2 * time.Second,
		runTime:    50 * time.Millisecond,
		harm:       9,
		count:      4,
	},
	{
		team:       tegnestuen,
		name:       "check_slot",
		service:    "calendar",
		urgency:    configuration.High,
		commitment: 5 * time.Second,
		runTime:    50 * time.Millisecond,
		harm:       4,
		count:      4,
	},
	{
		team:       tegnestuen,
		name:       "prepare_print",
		service:    workerService,
		urgency:    configuration.Normal,
		commitment: 20 * time.Second,
		runTime:    200 * time.Millisecond,
		harm:       2,
		count:      2,
	},
	{
		team:       lakeshore,
		name:       "funeral_pull",
		service:    "pulls",
		urgency:    configuration.Critical,
		commitment: 2 * time.Second,
		runTime:    50 * time.Millisecond,
		harm:       10,
		count:      3,
	},
	{
		team:       lakeshore,
		name:       "clip_preview",
		service:    "clips",
		urgency:    configuration.High,
		commitment: 5 * time.Second,
		runTime:    100 * time.Millisecond,
		harm:       3,
		count:      4,
	},
	{
		team:       lakeshore,
		name:       "index_lookup",
		service:    "index",
		urgency:    configuration.Normal,
		commitment: 20 * time.Second,
		runTime:    300 * time.Millisecond,
		harm:       2,
		long:       true,
		count:      3,
	},
}

// SampleConfiguration returns version 1 with both teams.
func SampleConfiguration() (*configuration.Configuration, error) {
	limits, err := configuration.NewLimits(maxTasks, retention)
	if err != nil {
		return nil, err
	}
	var teams []configuration.Team
	for _, name := range []string{tegnestuen, lakeshore} {
		t, err := configuration.NewTeam(name, 0.5, 0)
		if err != nil {
			return nil, err
		}
		teams = append(teams, t)
	}
	task, err := configuration.NewResources(1000, 1<<30, 0)
	if err != nil {
		return nil, err
	}
	var kinds []configuration.Kind
	for _, s := range sampleKinds {
		k, err := configuration.NewKind(s.team, s.name, s.service, s.urgency, s.commitment, s.runTime)
		if err != nil {
			return nil, err
		}
		k = k.WithHarm(s.harm).WithLong(s.long)
		if s.service == workerService {
			k = k.WithWorker(task, configuration.MayStop)
		}
		kinds = append(kinds, k)
	}
	c, err := configuration.New(1, limits, teams, kinds)
	if err != nil {
		return nil, err
	}
	r, err := workerResources()
	if err != nil {
		return nil, err
	}
	w, err := configuration.NewWorkerClass("local", r)
	if err != nil {
		return nil, err
	}
	return c.WithWorkers([]configuration.WorkerClass{w}), nil
}

// services returns the services of the sample targets.
func services() []string {
	var names []string
	for _, k := range sampleKinds {
		if k.service != workerService {
			names = append(names, k.service)
		}
	}
	return names
}

// sampleJob is a job with its expected answer.
type sampleJob struct {
	team    string
	kind    string
	tasks   []json.RawMessage
	results []string
	fails   bool
	resend  bool
	entry   int
}

// sampleJobs returns n jobs, alternately of the two teams. The same seed and n give
// the same jobs.
func sampleJobs(seed uint64, n int) []sampleJob {
	rnd := rand.New(rand.NewPCG(seed, uint64(n)))
	byTeam := map[string][]sampleKind{}
	for _, k := range sampleKinds {
		for range k.count {
			byTeam[k.team] = append(byTeam[k.team], k)
		}
	}
	teams := []string{tegnestuen, lakeshore}
	jobs := make([]sampleJob, n)
	for i := range jobs {
		kinds := byTeam[teams[i%len(teams)]]
		jobs[i] = newSampleJob(rnd, kinds[rnd.IntN(len(kinds))], i)
	}
	return jobs
}

// newSampleJob returns the i-th job. Some jobs have a last task that fails, and some
// are submitted twice.
func newSampleJob(rnd *rand.Rand, k sampleKind, i int) sampleJob {
	j := sampleJob{
		team:   k.team,
		kind:   k.name,
		fails:  i%failEvery == failEvery-1,
		resend: i%resendEvery == resendEvery-1,
		entry:  rnd.IntN(entries),
	}
	n := 1 + rnd.IntN(maxJobTasks)
	for t := range n {
		echo := fmt.Sprintf("%s %d.%d", k.name, i, t)
		fail := j.fails && t == n-1
		j.tasks = append(j.tasks, json.RawMessage(fmt.Sprintf(`{"run_ms":%d,"echo":%q,"fail":%t}`, 5+rnd.IntN(maxRunTimeMS), echo, fail)))
		j.results = append(j.results, fmt.Sprintf("%q", echo))
	}
	return j
}
