package frame

import (
	"fmt"
	"time"
)

// Start asks an agent to run tasks of one step.
type Start struct {
	number   uint64
	job      string
	step     int
	indexes  []int
	runs     []int64
	spec     string
	cores    int64
	memoryMB int64
	accels   int64
	// notAfter is a time of the agent's clock; see the station's package comment.
	notAfter time.Duration
	limit    time.Duration
	rank     int64
}

// NewStart asks for the tasks with the given indexes and run numbers. The number
// counts the starts of a connection.
func NewStart(number uint64, job string, step int, indexes []int, runs []int64, spec string) Start {
	return Start{
		number:  number,
		job:     job,
		step:    step,
		indexes: indexes,
		runs:    runs,
		spec:    spec,
	}
}

// WithResources returns the start with what each task needs.
func (s Start) WithResources(milliCores, memoryMB, accels int64) Start {
	s.cores = milliCores
	s.memoryMB = memoryMB
	s.accels = accels
	return s
}

// WithTimes returns the start with the time on the agent's clock after which it
// is void, the time that its tasks may take from its arrival, and its rank
// among starts that wait; a lower rank goes first.
func (s Start) WithTimes(notAfter, limit time.Duration, rank int64) Start {
	s.notAfter = notAfter
	s.limit = limit
	s.rank = rank
	return s
}

// Number counts the starts of a connection.
func (s Start) Number() uint64 {
	return s.number
}

// Job is the id of the job.
func (s Start) Job() string {
	return s.job
}

// Step is the number of the step.
func (s Start) Step() int {
	return s.step
}

// Indexes lists the numbers of the tasks in the step.
func (s Start) Indexes() []int {
	return s.indexes
}

// Runs lists the run number of each task.
func (s Start) Runs() []int64 {
	return s.runs
}

// Spec is the payload of the job.
func (s Start) Spec() string {
	return s.spec
}

// Resources is what each task needs: thousandths of a core, megabytes, accelerators.
func (s Start) Resources() (milliCores, memoryMB, accels int64) {
	return s.cores, s.memoryMB, s.accels
}

// NotAfter is the time on the agent's clock after which the start is void.
func (s Start) NotAfter() time.Duration {
	return s.notAfter
}

// TimeLimit is how long the tasks may take from the arrival of the start.
func (s Start) TimeLimit() time.Duration {
	return s.limit
}

// Rank orders starts that wait; a lower rank goes first.
func (s Start) Rank() int64 {
	return s.rank
}

// RunID names a run within a connection.
type RunID struct {
	job   string
	step  int
	index int
	run   int64
}

// NewRunID names a run.
func NewRunID(job string, step, index int, run int64) RunID {
	return RunID{
		job:   job,
		step:  step,
		index: index,
		run:   run,
	}
}

// Job is the id of the job.
func (r RunID) Job() string {
	return r.job
}

// Step is the number of the step.
func (r RunID) Step() int {
	return r.step
}

// Index is the number of the task in the step.
func (r RunID) Index() int {
	return r.index
}

// Run is the number of the run.
func (r RunID) Run() int64 {
	return r.run
}

// Ended reports the end of a run.
type Ended struct {
	id  RunID
	end int
	ran time.Duration
}

// NewEnded reports how a run ended and how long it ran.
func NewEnded(id RunID, end int, ran time.Duration) Ended {
	return Ended{
		id:  id,
		end: end,
		ran: ran,
	}
}

// ID is the run.
func (e Ended) ID() RunID {
	return e.id
}

// End is a task.End.
func (e Ended) End() int {
	return e.end
}

// RunTime is how long the run took.
func (e Ended) RunTime() time.Duration {
	return e.ran
}

// Progress reports how far a run is.
type Progress struct {
	id      RunID
	percent int
	ran     time.Duration
}

// NewProgress reports the percent of its work that a run has done, and how long it
// has run.
func NewProgress(id RunID, percent int, ran time.Duration) Progress {
	return Progress{
		id:      id,
		percent: percent,
		ran:     ran,
	}
}

// ID is the run.
func (p Progress) ID() RunID {
	return p.id
}

// Percent is the share of the work that is done.
func (p Progress) Percent() int {
	return p.percent
}

// RunTime is how long the run has run.
func (p Progress) RunTime() time.Duration {
	return p.ran
}

// CanMerge tells whether o asks for more tasks of the same step, so that both can be
// one start.
func (s Start) CanMerge(o Start) bool {
	return s.job == o.job && s.step == o.step
}

// Merge is the start that asks for the tasks of both.
func (s Start) Merge(o Start) Start {
	s.number = o.number
	s.notAfter = o.notAfter
	s.indexes = append(s.indexes, o.indexes...)
	s.runs = append(s.runs, o.runs...)
	return s
}

// String is the run for logs, in the form of a task's name and the run's number.
func (r RunID) String() string {
	return fmt.Sprintf("%s.0.%d.%d#%d", r.job, r.step, r.index, r.run)
}
