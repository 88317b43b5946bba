package frame

import (
	"fmt"
	"time"
)

// Start asks an agent to run tasks of one step.
type Start struct {
	number       uint64
	job          string
	step         int
	indexes      []int
	runs         []int64
	spec         string
	milliCores   int64
	memoryMB     int64
	accelerators int64
	// notAfter is a time of the agent's clock; see the comment of package executor.
	notAfter  time.Duration
	timeLimit time.Duration
	rank      int64
}

// NewStart returns a start of the tasks with the given indexes and run numbers. The
// number counts the starts of a connection.
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

// WithResources returns the start with the resources of each task: thousandths of a
// core, megabytes and accelerators.
func (s Start) WithResources(milliCores, memoryMB, accelerators int64) Start {
	s.milliCores = milliCores
	s.memoryMB = memoryMB
	s.accelerators = accelerators
	return s
}

// WithTimes returns the start with the time on the agent's clock after which it is
// void, the time from its arrival within which its tasks must end, and its rank
// among queued starts, in µs of the agent's clock; a lower rank goes first.
func (s Start) WithTimes(notAfter, timeLimit time.Duration, rank int64) Start {
	s.notAfter = notAfter
	s.timeLimit = timeLimit
	s.rank = rank
	return s
}

// Number returns the number of the start; it counts the starts of a connection.
func (s Start) Number() uint64 {
	return s.number
}

// Job returns the id of the job.
func (s Start) Job() string {
	return s.job
}

// Step returns the index of the step.
func (s Start) Step() int {
	return s.step
}

// Indexes returns the indexes of the tasks in the step.
func (s Start) Indexes() []int {
	return s.indexes
}

// Runs returns the run number of each task.
func (s Start) Runs() []int64 {
	return s.runs
}

// Spec returns the payload of the job.
func (s Start) Spec() string {
	return s.spec
}

// Resources returns the resources of each task: thousandths of a core, megabytes
// and accelerators.
func (s Start) Resources() (milliCores, memoryMB, accelerators int64) {
	return s.milliCores, s.memoryMB, s.accelerators
}

// NotAfter returns the time on the agent's clock after which the start is void.
func (s Start) NotAfter() time.Duration {
	return s.notAfter
}

// TimeLimit returns the time from the arrival of the start within which the tasks
// must end.
func (s Start) TimeLimit() time.Duration {
	return s.timeLimit
}

// Rank returns the order among queued starts; a lower rank goes first.
func (s Start) Rank() int64 {
	return s.rank
}

// RunID identifies a run within a connection.
type RunID struct {
	job   string
	step  int
	index int
	run   int64
}

func NewRunID(job string, step, index int, run int64) RunID {
	return RunID{
		job:   job,
		step:  step,
		index: index,
		run:   run,
	}
}

// Job returns the id of the job.
func (r RunID) Job() string {
	return r.job
}

// Step returns the index of the step.
func (r RunID) Step() int {
	return r.step
}

// Index returns the index of the task in the step.
func (r RunID) Index() int {
	return r.index
}

// Run returns the run number.
func (r RunID) Run() int64 {
	return r.run
}

// Ended reports the end of a run.
type Ended struct {
	id      RunID
	end     int
	runTime time.Duration
}

// NewEnded returns the report of a run with its task.End and its run time.
func NewEnded(id RunID, end int, runTime time.Duration) Ended {
	return Ended{
		id:      id,
		end:     end,
		runTime: runTime,
	}
}

func (e Ended) ID() RunID {
	return e.id
}

// End returns the number of a task.End.
func (e Ended) End() int {
	return e.end
}

func (e Ended) RunTime() time.Duration {
	return e.runTime
}

// Progress reports how far a run has come.
type Progress struct {
	id      RunID
	percent int
	runTime time.Duration
}

// NewProgress returns the report of a run that has done the given percent of its
// work after a run time.
func NewProgress(id RunID, percent int, runTime time.Duration) Progress {
	return Progress{
		id:      id,
		percent: percent,
		runTime: runTime,
	}
}

func (p Progress) ID() RunID {
	return p.id
}

// Percent returns the percent of the work that is done.
func (p Progress) Percent() int {
	return p.percent
}

// RunTime returns how long the run has run so far.
func (p Progress) RunTime() time.Duration {
	return p.runTime
}

// CanMerge reports whether o starts tasks of the same step, so that both can be
// merged into one start.
func (s Start) CanMerge(o Start) bool {
	return s.job == o.job && s.step == o.step
}

// Merge returns a start of the tasks of both.
func (s Start) Merge(o Start) Start {
	s.number = o.number
	s.notAfter = o.notAfter
	s.indexes = append(s.indexes, o.indexes...)
	s.runs = append(s.runs, o.runs...)
	return s
}

// String returns the run for logs, as JOB.0.STEP.INDEX#NUMBER.
func (r RunID) String() string {
	return fmt.Sprintf("%s.0.%d.%d#%d", r.job, r.step, r.index, r.run)
}
