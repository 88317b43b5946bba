package questionnaire

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// Bounds of answers. Memory is in bytes.
const (
	maxRegions      = 16
	maxJobTasks     = 100_000
	maxWaiting      = 1_000_000
	maxCores        = 1024
	maxMemory       = 16 << 40
	maxAccelerators = 64
	minRetention    = time.Minute
	maxRetention    = time.Hour
	maxCommitment   = maxRetention
)

// table contains all questions in the order in which they are asked.
var table = []Question{
	optional(Installation, "regions", "1", integer(1, maxRegions),
		"How many regions does the installation have?",
		"The regions that a team can have as its home."),
	optional(Installation, "job_tasks", "1100", integer(1, maxJobTasks),
		"How many tasks does the widest job have?",
		"max_tasks: wider jobs are refused."),
	optional(Installation, "retention", "10m", duration(minRetention, maxRetention),
		"How long after its first sending may a caller resubmit a job?",
		"retention: how long answers are kept. Later resubmissions are refused as expired."),
	optional(Installation, "waiting_tasks", "20000", integer(1, maxWaiting),
		"How many tasks may wait at one owner?",
		"max_waiting: when as many tasks wait, jobs are refused, those with the least harm first."),
	optional(Installation, "operator_tokens", "", hashes(),
		"Which tokens may change the whole installation?",
		"Access to the administration interface."),
	optional(Installation, "reader_tokens", "", hashes(),
		"Which tokens may look at the whole installation?",
		"Access to the administration interface without changes."),

	required(Worker, "cores", decimal(0, maxCores),
		"How many cores does a worker of this size have?",
		"Kinds that run on workers must fit one size."),
	required(Worker, "memory", size(0, maxMemory),
		"How much memory does a worker of this size have?",
		"Kinds that run on workers must fit one size."),
	optional(Worker, "accelerators", "0", integer(0, maxAccelerators),
		"How many accelerators does a worker of this size have?",
		"Kinds that run on workers must fit one size."),

	required(Team, "share", percent(),
		"Which part of the capacity is the team's?",
		"share: what the team gets under load. The shares of all teams must not exceed the whole."),
	optional(Team, "home_region", "0", integer(0, maxRegions-1),
		"Which region is nearest to the team's callers?",
		"home_region: where the team's submissions are kept. It cannot change once it is in force."),
	optional(Team, "caller_tokens", "", hashes(),
		"Which tokens may submit, query and cancel the team's jobs?",
		"Access to the team's jobs."),
	optional(Team, "operator_tokens", "", hashes(),
		"Which tokens belong to the team's operators?",
		"Access to the team's jobs and to its part of the configuration."),
	optional(Team, "reader_tokens", "", hashes(),
		"Which tokens may query the team's jobs?",
		"Access to the team's jobs without changes."),

	required(Kind, "callers", text(),
		"Who sends this kind of request?",
		"Nothing; it tells readers of the answers whom a change concerns."),
	required(Kind, "urgency", choice("critical", "high", "normal", "low"),
		"How urgent is it compared with all other kinds?",
		"urgency: more urgent work goes first, and slots are reserved for the most urgent. Not all kinds can be critical."),
	required(Kind, "harm_of_lateness", choice("none", "low", "medium", "high"),
		"How much harm does a late answer do?",
		"harm: 3 points for each step. Kinds with less harm are refused first."),
	required(Kind, "harm_of_loss", choice("none", "low", "medium", "high"),
		"How much harm does a request do that never runs?",
		"harm: 10 points for each step."),
	required(Kind, "harm_of_duplication", choice("none", "low", "medium", "high"),
		"How much harm does a request do that runs twice?",
		"repeatable: with medium or high harm a task starts at most once."),
	required(Kind, "run_time", duration(time.Millisecond, configuration.MaxRunTime),
		"How long does one task usually run?",
		"run_time: the estimate until run times have been observed."),
	optional(Kind, "spread", "2", decimal(1, configuration.MaxSpread),
		"How many times longer does the slowest of a hundred tasks run?",
		"spread, and long: a kind whose slowest tasks exceed 2s is held to the share for long work."),
	optional(Kind, "payload", "64KiB", size(1, configuration.MaxPayloadBytes),
		"How large is the largest payload of one task?",
		"payload_bytes: larger payloads are refused."),
	optional(Kind, "runs_on", "target", choice("target", "worker"),
		"Does it run on a target or on a worker?",
		"runs_on: the sort of back end."),
	optional(Kind, "service", "", optionalName(),
		"Which service of the back ends runs it?",
		"service; the kind's name if left out."),
	optional(Kind, "cores", "0", decimal(0, maxCores),
		"How many cores does a task take of a worker?",
		"resources of a kind that runs on workers."),
	optional(Kind, "memory", "0B", size(0, maxMemory),
		"How much memory does a task take of a worker?",
		"resources of a kind that runs on workers."),
	optional(Kind, "accelerators", "0", integer(0, maxAccelerators),
		"How many accelerators does a task take of a worker?",
		"resources of a kind that runs on workers."),
	optional(Kind, "preemption", "none", measures(),
		"What may be done to a running task when urgent work needs its place?",
		"preemption of a kind that runs on workers."),
	required(Kind, "commitment", duration(time.Millisecond, maxCommitment),
		"Within which time was the team promised an answer?",
		"commitment: a job that is expected to wait longer is refused at once. It cannot be shorter than the run time, nor longer than the retention."),
	optional(Kind, "retries", "0", integer(0, configuration.MaxStarts-1),
		"How often may a task be tried again after a failure?",
		"max_starts, and retry_budget if any kind has retries. Only a kind whose duplication does no or low harm can have retries."),
}

func optionalName() rule {
	n := name()
	return rule{
		allowed: n.allowed + ", or nothing",
		valid:   func(s string) bool { return s == "" || n.valid(s) },
	}
}

// Questions returns all questions in the order in which they are asked.
func Questions() []Question {
	return append([]Question(nil), table...)
}

// The questions of each scope, in the order of the table and by key.
var questionsByScope, questionsByKey = index()

func index() (lists [scopes][]Question, keys [scopes]map[string]Question) {
	for s := range scopes {
		keys[s] = map[string]Question{}
	}
	for _, q := range table {
		lists[q.scope] = append(lists[q.scope], q)
		keys[q.scope][q.key] = q
	}
	return lists, keys
}
