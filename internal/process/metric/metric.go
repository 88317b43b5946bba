// Package metric holds the metrics of a process.
//
// One table registers each metric with its unit and meaning; docs/metrics.md is
// generated from it. The values are expvar variables. Each process has its own
// set instead of the program's global one, so that several processes can run in
// one program.
package metric

import (
	"expvar"
	"fmt"
	"io"
	"runtime"
	"strings"
)

// Name is the name of a metric in the table.
type Name string

// The metrics.
const (
	RequestsReceived   Name = "requests_received"
	RequestsInvalid    Name = "requests_invalid"
	RequestsHeld       Name = "requests_held"
	AnswersRunning     Name = "answers_running"
	AnswersComplete    Name = "answers_complete"
	AnswersFailed      Name = "answers_failed"
	AnswersRefused     Name = "answers_refused"
	JobsAccepted       Name = "jobs_accepted"
	JobsComplete       Name = "jobs_complete"
	JobsFailed         Name = "jobs_failed"
	JobsRefused        Name = "jobs_refused"
	StartsSent         Name = "starts_sent"
	TasksStarted       Name = "tasks_started"
	TasksEnded         Name = "tasks_ended"
	StartsRejected     Name = "starts_rejected"
	MessagesSent       Name = "messages_sent"
	MessagesNotSent    Name = "messages_not_sent"
	ConfigVersion      Name = "config_version"
	ShardOwners        Name = "shard_owners"
	RingDepth          Name = "ring_depth"
	RingRejected       Name = "ring_rejected"
	Goroutines         Name = "goroutines"
	HeapBytes          Name = "heap_bytes"
	ProcessUptimeMilli Name = "process_uptime_ms"
)

// Metric describes one metric of the table.
type Metric struct {
	name    Name
	unit    string
	meaning string
}

// Name returns the metric's name in /debug/vars.
func (m Metric) Name() Name {
	return m.name
}

func (m Metric) Unit() string {
	return m.unit
}

// Meaning returns a one-sentence description.
func (m Metric) Meaning() string {
	return m.meaning
}

func row(name Name, unit, meaning string) Metric {
	return Metric{
		name:    name,
		unit:    unit,
		meaning: meaning,
	}
}

var table = []Metric{
	row(RequestsReceived, "requests", "Callers' requests that an entry passed to its decision."),
	row(RequestsInvalid, "requests", "Requests that were refused as malformed before any decision."),
	row(RequestsHeld, "requests", "Requests that an entry holds now."),
	row(AnswersRunning, "answers", "Callers told that their job runs."),
	row(AnswersComplete, "answers", "Callers given a complete answer."),
	row(AnswersFailed, "answers", "Callers told that their job failed."),
	row(AnswersRefused, "answers", "Callers refused by the entry or the owner."),
	row(JobsAccepted, "replies", "Submissions that an owner accepted or joined to a running job."),
	row(JobsComplete, "replies", "Replies of an owner with a complete answer."),
	row(JobsFailed, "replies", "Replies of an owner about a failed job."),
	row(JobsRefused, "replies", "Replies of an owner that refuse a submission."),
	row(StartsSent, "tasks", "Starts that an owner sent to agents."),
	row(TasksStarted, "tasks", "Tasks that an agent handed to a target or its worker."),
	row(TasksEnded, "tasks", "Results that an agent reported to owners."),
	row(StartsRejected, "tasks", "Starts that an agent refused; none of them took effect."),
	row(MessagesSent, "messages", "Messages that the decisions sent to other processes or to this one."),
	row(MessagesNotSent, "messages", "Messages for which the network had no room; the decision was told."),
	row(ConfigVersion, "version", "The configuration version in force in this process, 0 for none."),
	row(ShardOwners, "processes", "Processes that own a shard as far as an entry knows."),
	row(RingDepth, "messages", "Messages that wait in each duty's ring now."),
	row(RingRejected, "messages", "Messages for which a duty's ring had no room."),
	row(Goroutines, "goroutines", "Goroutines of the program."),
	row(HeapBytes, "bytes", "Memory in use on the program's heap."),
	row(ProcessUptimeMilli, "ms", "Time since the process was assembled."),
}

// Metrics returns the table in its order of documentation.
func Metrics() []Metric {
	return append([]Metric(nil), table...)
}

// Set holds the values of one process.
type Set struct {
	vars     *expvar.Map
	counters map[Name]*expvar.Int
}

// NewSet returns a set with a counter for each metric, all 0. Goroutines and heap
// bytes are gauges from the start.
func NewSet() *Set {
	s := &Set{
		vars:     new(expvar.Map).Init(),
		counters: map[Name]*expvar.Int{},
	}
	for _, m := range table {
		v := new(expvar.Int)
		s.counters[m.name] = v
		s.vars.Set(string(m.name), v)
	}
	s.Gauge(Goroutines, func() any { return runtime.NumGoroutine() })
	s.Gauge(HeapBytes, func() any {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	})
	return s
}

// Add adds n to a counter. It ignores names that are not in the table.
func (s *Set) Add(name Name, n int64) {
	if v, ok := s.counters[name]; ok {
		v.Add(n)
	}
}

// Store sets the value of a metric. It ignores names that are not in the table.
func (s *Set) Store(name Name, n int64) {
	if v, ok := s.counters[name]; ok {
		v.Set(n)
	}
}

// Value returns the value of a counter, or 0 for a name that is not in the table.
func (s *Set) Value(name Name) int64 {
	if v, ok := s.counters[name]; ok {
		return v.Value()
	}
	return 0
}

// Gauge replaces the counter of a metric by f, which is called on each read. It
// ignores names that are not in the table.
func (s *Set) Gauge(name Name, f func() any) {
	if _, ok := s.counters[name]; ok {
		s.vars.Set(string(name), expvar.Func(f))
	}
}

// Write writes all metrics to w as one JSON object, sorted by name.
func (s *Set) Write(w io.Writer) error {
	_, err := fmt.Fprintln(w, s.vars.String())
	return err
}

// Lines returns "name value unit" for each metric in table order.
func (s *Set) Lines() []string {
	var lines []string
	for _, m := range table {
		lines = append(lines, fmt.Sprintf("%s %s %s", m.name, s.vars.Get(string(m.name)), m.unit))
	}
	return lines
}

// Markdown returns the documentation page of the table.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nEach process serves its metrics as one JSON object at `/debug/vars`. A metric that\n" +
		"belongs to another role stays 0. Metrics per ring are objects by duty.\n\n" +
		"| metric | unit | meaning |\n|---|---|---|\n")
	for _, m := range table {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", m.name, m.unit, m.meaning)
	}
	return b.String()
}
