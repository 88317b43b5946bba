// Package task defines the work that callers submit.
//
// A job is a list of steps, and a step is a number of equal tasks. A task runs on
// one target at a time; each start of it has a run number, and the numbers rise.
// The types hold no dispatch state and are independent of message formats, so that
// all front ends and all decisions share them.
package task

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// The limits of a job.
const (
	// MaxTasks bounds the tasks of one job. The largest jobs at the load expected in
	// two years have 1,100 tasks.
	MaxTasks = 4096
	// MaxSteps bounds the steps of one job.
	MaxSteps = 256
	// MaxIDBytes bounds the id of a job. Entries keep and pass on ids.
	MaxIDBytes = 64
	// MaxSpecBytes bounds the payload that the tasks of a job share.
	MaxSpecBytes = 4000
	// MaxEstimate bounds a declared run time, far above every caller's time.
	MaxEstimate = 24 * time.Hour
)

// ErrInvalid reports an invalid job.
var ErrInvalid = errors.New("job is not allowed")

// Step is a number of equal tasks.
type Step struct {
	count         int
	resources     Resources
	estimate      time.Duration
	prerequisites []int
	label         string
	rack          string
	maxPerTarget  int
}

// NewStep returns a step of count tasks that each need the same resources. Estimate
// is the expected run time of a task, 0 if unknown. The error wraps ErrInvalid.
func NewStep(count int, resources Resources, estimate time.Duration) (Step, error) {
	if count < 1 || count > MaxTasks {
		return Step{}, errors.Wrapf(ErrInvalid, "step has %d tasks, allowed are 1 to %d", count, MaxTasks)
	}
	if estimate < 0 {
		return Step{}, errors.Wrapf(ErrInvalid, "estimate is %v, allowed is 0 or more", estimate)
	}
	return Step{
		count:     count,
		resources: resources,
		estimate:  min(estimate, MaxEstimate),
	}, nil
}

// WithPrerequisites returns the step with the indexes of the earlier steps that
// must end before it starts, each once. So a job has no more of them than pairs of steps.
func (s Step) WithPrerequisites(steps []int) Step {
	s.prerequisites = nil
	var named [MaxSteps]bool
	for _, p := range steps {
		if p < 0 || p >= MaxSteps {
			// NewJob refuses the step for this one.
			s.prerequisites = []int{p}
			return s
		}
		if !named[p] {
			named[p] = true
			s.prerequisites = append(s.prerequisites, p)
		}
	}
	return s
}

// WithLabel returns the step restricted to targets with a label.
func (s Step) WithLabel(label string) Step {
	s.label = label
	return s
}

// WithRack returns the step with the rack that holds its data.
func (s Step) WithRack(rack string) Step {
	s.rack = rack
	return s
}

// WithMaxPerTarget returns the step with a bound on its tasks on one target, 0 for
// no bound.
func (s Step) WithMaxPerTarget(n int) Step {
	s.maxPerTarget = n
	return s
}

// Count returns the number of tasks.
func (s Step) Count() int {
	return s.count
}

// Resources returns the resources that each task needs.
func (s Step) Resources() Resources {
	return s.resources
}

// Estimate returns the declared run time of a task, 0 if unknown.
func (s Step) Estimate() time.Duration {
	return s.estimate
}

// Prerequisites returns the indexes of the steps that must end before this one
// starts.
func (s Step) Prerequisites() []int {
	return s.prerequisites
}

// Label returns the label that a target must have, empty for any target.
func (s Step) Label() string {
	return s.label
}

// Rack returns the rack that holds the data, empty if unknown.
func (s Step) Rack() string {
	return s.rack
}

// MaxPerTarget returns the bound on the tasks of the step on one target, 0 for no
// bound.
func (s Step) MaxPerTarget() int {
	return s.maxPerTarget
}

// Job is one submission of a caller.
type Job struct {
	id    string
	spec  string
	steps []Step
}

// NewJob returns a job. Steps may depend only on earlier steps. The error wraps
// ErrInvalid.
func NewJob(id, spec string, steps []Step) (Job, error) {
	if !IsID(id) {
		return Job{}, errors.Wrapf(ErrInvalid, "id of %d bytes, allowed are names of 1 to %d without dot, slash and blank", len(id), MaxIDBytes)
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
		for _, p := range s.prerequisites {
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

// IsID reports whether a text may be the id of a job. One that is not Unicode could not be
// passed on unchanged.
func IsID(id string) bool {
	return id != "" && len(id) <= MaxIDBytes && !strings.ContainsAny(id, "./ ") && utf8.ValidString(id)
}

// ID returns the name that the caller chose.
func (j Job) ID() string {
	return j.id
}

// Spec returns the payload that all tasks receive.
func (j Job) Spec() string {
	return j.spec
}

// Steps returns the steps; callers must not change them.
func (j Job) Steps() []Step {
	return j.steps
}

// Run identifies one start of one task.
type Run struct {
	job    string
	step   int
	index  int
	number int64
}

func NewRun(job string, step, index int, number int64) Run {
	return Run{
		job:    job,
		step:   step,
		index:  index,
		number: number,
	}
}

// Job returns the id of the job.
func (r Run) Job() string {
	return r.job
}

// Step returns the index of the step in the job.
func (r Run) Step() int {
	return r.step
}

// Index returns the index of the task in its step.
func (r Run) Index() int {
	return r.index
}

// Number returns the number of the start among the starts of the task, from 1.
func (r Run) Number() int64 {
	return r.number
}

// TaskName returns the name of the task, JOB.OCCURRENCE.STEP.INDEX. The occurrence
// is always 0; only scheduled jobs would raise it.
func (r Run) TaskName() string {
	return r.job + ".0." + strconv.Itoa(r.step) + "." + strconv.Itoa(r.index)
}

// String returns the run for logs, as TASK#NUMBER.
func (r Run) String() string {
	return fmt.Sprintf("%s#%d", r.TaskName(), r.number)
}

// ParseTaskName returns the run with the given number of the task that Run.TaskName
// named.
func ParseTaskName(name string, number int64) (Run, error) {
	parts := strings.SplitN(name, ".", 5)
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
	r := NewRun(parts[0], step, index, number)
	if r.TaskName() != name {
		return Run{}, errors.Errorf("task name %q, want %q", name, r.TaskName())
	}
	return r, nil
}

// End is how a run ended.
type End int

// The ways in which a run ends.
const (
	// EndDone is a run that completed its work.
	EndDone End = iota + 1
	// EndFailed is a run that failed because of itself or its target.
	EndFailed
	// EndStopped is a run that was stopped on request.
	EndStopped
	// EndLost is a run that its target no longer has, or whose lease expired.
	EndLost
	// EndStalled is a run that was stopped because it made no progress.
	EndStalled
	// EndNoCapacity is a start that did not fit its target; nothing ran.
	EndNoCapacity
	// EndRefused is a start that was refused for another reason; nothing ran.
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

// String returns the name for logs.
func (e End) String() string {
	if n, ok := endNames[e]; ok {
		return n
	}
	return "unknown"
}

// MayHaveRun reports whether any part of the run may have been executed.
func (e End) MayHaveRun() bool {
	return e != EndNoCapacity && e != EndRefused
}
