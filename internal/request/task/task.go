// Package task describes the work that callers hand in.
//
// A job is a list of steps, and a step a number of equal tasks. A task runs on
// one target at a time; each start of it has a run number, which rises. The
// types hold no state of a dispatch and know no message format, so that every
// front end and every decision uses the same ones.
package task

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// The bounds of a job.
const (
	// MaxTasks bounds the tasks of one job; jobs of 1,100 tasks are the largest
	// that the two-year target names.
	MaxTasks = 4096
	// MaxSteps bounds the steps of one job.
	MaxSteps = 256
	// MaxSpecBytes bounds the payload that tasks of a job share.
	MaxSpecBytes = 4000
)

// ErrInvalid reports a job that is not allowed.
var ErrInvalid = errors.New("job is not allowed")

// Step is a number of equal tasks.
type Step struct {
	count     int
	need      Resources
	estimate  time.Duration
	after     []int
	label     string
	rack      string
	perTarget int
}

// NewStep returns a step of count tasks that each need the same resources and
// run for about estimate, which may be 0 if unknown.
func NewStep(count int, need Resources, estimate time.Duration) (Step, error) {
	if count < 1 || count > MaxTasks {
		return Step{}, errors.Wrapf(ErrInvalid, "step has %d tasks, allowed are 1 to %d", count, MaxTasks)
	}
	if estimate < 0 {
		return Step{}, errors.Wrapf(ErrInvalid, "estimate is %v, allowed is 0 or more", estimate)
	}
	return Step{
		count:    count,
		need:     need,
		estimate: estimate,
	}, nil
}

// WithPrerequisites returns the step bound to the end of earlier steps.
func (s Step) WithPrerequisites(steps []int) Step {
	s.after = append([]int(nil), steps...)
	return s
}

// WithLabel returns the step bound to targets with a label.
func (s Step) WithLabel(label string) Step {
	s.label = label
	return s
}

// WithRack returns the step with the rack that holds its data.
func (s Step) WithRack(rack string) Step {
	s.rack = rack
	return s
}

// WithMaxPerTarget returns the step with a bound on its tasks on one target; 0
// for none.
func (s Step) WithMaxPerTarget(n int) Step {
	s.perTarget = n
	return s
}

// Count is the number of tasks.
func (s Step) Count() int {
	return s.count
}

// Resources is what each task needs.
func (s Step) Resources() Resources {
	return s.need
}

// Estimate is the declared run time of a task, 0 if unknown.
func (s Step) Estimate() time.Duration {
	return s.estimate
}

// Prerequisites lists the steps that must have ended before.
func (s Step) Prerequisites() []int {
	return s.after
}

// Label is the label that a target must have; empty for any target.
func (s Step) Label() string {
	return s.label
}

// Rack is the rack that holds the data; empty for none.
func (s Step) Rack() string {
	return s.rack
}

// MaxPerTarget bounds the tasks of the step on one target; 0 for no bound.
func (s Step) MaxPerTarget() int {
	return s.perTarget
}

// Job is one submission of a caller.
type Job struct {
	id    string
	spec  string
	steps []Step
}

// NewJob returns a job; steps may only depend on earlier ones.
func NewJob(id, spec string, steps []Step) (Job, error) {
	if id == "" || strings.ContainsAny(id, "./ ") {
		return Job{}, errors.Wrapf(ErrInvalid, "id %q, allowed are names without dot, slash and blank", id)
	}
	if len(spec) > MaxSpecBytes {
		return Job{}, errors.Wrapf(ErrInvalid, "payload has %d bytes, allowed are %d", len(spec), MaxSpecBytes)
	}
	if len(steps) == 0 || len(steps) > MaxSteps {
		return Job{}, errors.Wrapf(ErrInvalid, "%d steps, allowed are 1 to %d", len(steps), MaxSteps)
	}
	total := 0
	for i, s := range steps {
		total += s.count
		for _, p := range s.after {
			if p < 0 || p >= i {
				return Job{}, errors.Wrapf(ErrInvalid, "step %d comes after step %d, allowed are earlier steps", i, p)
			}
		}
	}
	if total > MaxTasks {
		return Job{}, errors.Wrapf(ErrInvalid, "%d tasks, allowed are %d", total, MaxTasks)
	}
	return Job{
		id:    id,
		spec:  spec,
		steps: append([]Step(nil), steps...),
	}, nil
}

// ID is the name that the caller chose.
func (j Job) ID() string {
	return j.id
}

// Spec is the payload that all tasks get.
func (j Job) Spec() string {
	return j.spec
}

// Steps lists the steps; callers must not change them.
func (j Job) Steps() []Step {
	return j.steps
}

// Run names one start of one task.
type Run struct {
	job    string
	step   int
	index  int
	number int64
}

// NewRun names a start.
func NewRun(job string, step, index int, number int64) Run {
	return Run{
		job:    job,
		step:   step,
		index:  index,
		number: number,
	}
}

// Job is the id of the task's job.
func (r Run) Job() string {
	return r.job
}

// Step is the number of the task's step.
func (r Run) Step() int {
	return r.step
}

// Index is the number of the task in its step.
func (r Run) Index() int {
	return r.index
}

// Number counts the starts of the task, from 1.
func (r Run) Number() int64 {
	return r.number
}

// TaskName is the name of the task among all tasks, with the number 0 of the
// occurrence, which only scheduled jobs raise.
func (r Run) TaskName() string {
	return r.job + ".0." + strconv.Itoa(r.step) + "." + strconv.Itoa(r.index)
}

// String is the run for logs.
func (r Run) String() string {
	return fmt.Sprintf("%s#%d", r.TaskName(), r.number)
}

// ParseTaskName is the inverse of Run.Task.
func ParseTaskName(name string, number int64) (Run, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || parts[0] == "" {
		return Run{}, errors.Errorf("task name %q, want JOB.OCCURRENCE.STEP.INDEX", name)
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil {
		return Run{}, errors.Wrapf(err, "step of task %q", name)
	}
	index, err := strconv.Atoi(parts[3])
	if err != nil {
		return Run{}, errors.Wrapf(err, "index of task %q", name)
	}
	return NewRun(parts[0], step, index, number), nil
}

// End tells how a run ended.
type End int

// The ends of a run.
const (
	// EndDone is a run that did its work.
	EndDone End = iota + 1
	// EndFailed is a run that failed by its own fault or the target's.
	EndFailed
	// EndStopped is a run that was stopped on order.
	EndStopped
	// EndLost is a run that its target no longer has, or that expired.
	EndLost
	// EndStalled is a run that was stopped since it made no progress.
	EndStalled
	// EndNoCapacity is a start that did not fit its target; nothing ran.
	EndNoCapacity
	// EndRefused is a start that was refused for another cause; nothing ran.
	EndRefused
)

var endNames = map[End]string{
	EndDone:       "done",
	EndFailed:     "failed",
	EndStopped:    "stopped",
	EndLost:       "lost",
	EndStalled:    "stalled",
	EndNoCapacity: "no_room",
	EndRefused:    "refused",
}

// String is the end's name in logs.
func (e End) String() string {
	if n, ok := endNames[e]; ok {
		return n
	}
	return "unknown"
}

// MayHaveRun tells whether something may have run.
func (e End) MayHaveRun() bool {
	return e != EndNoCapacity && e != EndRefused
}
