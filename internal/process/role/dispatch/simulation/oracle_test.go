package simulation_test

import (
	"fmt"
	"slices"

	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// oracle checks what targets run and how callers are answered.
type oracle struct {
	c          *cluster
	running    map[string]*simTarget
	runs       map[string]int
	violations []string
}

func (o *oracle) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf("%v: ", o.c.now)+fmt.Sprintf(format, args...))
}

// began checks that no other run of the task is in progress.
func (o *oracle) began(t *simTarget, id task.Run) {
	for _, a := range o.c.agents {
		for other, r := range a.target.running {
			if a.target.up && other.TaskName() == id.TaskName() && !r.unfenced {
				o.addViolation("task %s starts on %s as run %d while run %d is in progress on %s", id.TaskName(), t.name, id.Number(), other.Number(), a.target.name)
			}
		}
	}
	if o.c.evacuations != nil {
		o.c.evacuations.check(t, id)
	}
	j := o.c.jobs[id.Job()]
	if j == nil {
		o.addViolation("task %s started, but its job was not submitted", id.TaskName())
		return
	}
	if j.label != "" && !slices.Contains(t.labels, j.label) {
		o.addViolation("task %s needs label %s and starts on %s, which has %v", id.TaskName(), j.label, t.name, t.labels)
	}
	o.runs[id.Job()]++
	o.c.record("%v on %s", id, t.name)
}

// beganUnfenced checks that a late start that nothing could refuse ends with its lease.
func (o *oracle) beganUnfenced(t *simTarget, id task.Run) {
	o.c.record("%v on %s, unfenced", id, t.name)
	o.checkUnfenced(t, t.incarnation, id)
}

// checkUnfenced looks at the run again once its lease has expired. Each further call that
// nothing could refuse extends it.
func (o *oracle) checkUnfenced(t *simTarget, incarnation executor.Incarnation, id task.Run) {
	o.c.after(t.unfencedAt+unfencedSpan-o.c.now, func() {
		r, ok := t.running[id]
		switch {
		case !ok || !r.unfenced || t.incarnation != incarnation:
		case o.c.now < t.unfencedAt+unfencedSpan:
			o.checkUnfenced(t, incarnation, id)
		default:
			o.addViolation("%v still runs on %s, %v after the last call that nothing could refuse", id, t.name, unfencedSpan)
		}
	})
}

// end checks how callers were answered.
func (o *oracle) end() {
	for id, j := range o.c.jobs {
		refusals := 0
		for _, s := range j.answers {
			if s == dispatch.StateRefused {
				refusals++
			}
		}
		if refusals > 0 && refusals == j.submissions && o.runs[id] > 0 {
			o.addViolation("job %s was refused, but %d of its tasks started", id, o.runs[id])
		}
	}
}
