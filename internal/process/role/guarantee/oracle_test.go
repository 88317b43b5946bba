package guarantee

import "fmt"

// oracle checks the calls of targets against the answers to callers. It sees
// nothing else.
type oracle struct {
	starts     map[string]int // by task
	started    map[string]int // starts of all its tasks, by submission
	notRun     map[string]bool
	attempts   map[string]int // attempts without an answer, by submission
	width      map[string]int // tasks of a job, by submission
	violations []string
}

func newOracle() *oracle {
	return &oracle{
		starts:   map[string]int{},
		started:  map[string]int{},
		notRun:   map[string]bool{},
		attempts: map[string]int{},
		width:    map[string]int{},
	}
}

func (o *oracle) reportf(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// call records a task that reaches a target.
func (o *oracle) call(submission, task string) {
	o.starts[task]++
	o.started[submission]++
	if o.starts[task] > 1 {
		o.reportf("task %s started %d times, want 1", task, o.starts[task])
	}
	if o.notRun[submission] {
		o.reportf("submission %s started after a refusal with not_run", submission)
	}
}

// submit records an attempt of a caller.
func (o *oracle) submit(submission string, width int) {
	o.attempts[submission]++
	o.width[submission] = width
	// A caller that retries after a refusal wants the job to run.
	delete(o.notRun, submission)
}

// answer records the answer that ends an attempt.
func (o *oracle) answer(submission, state string, notRun bool, results []string) {
	o.attempts[submission]--
	if notRun {
		if o.started[submission] > 0 {
			o.reportf("submission %s: refused with not_run after %d starts, want 0", submission, o.started[submission])
		}
		// Another pending attempt of the caller may still be accepted and run.
		o.notRun[submission] = o.attempts[submission] == 0
	}
	if state != "complete" {
		if len(results) > 0 {
			o.reportf("submission %s: %s with %d results, want 0", submission, state, len(results))
		}
		return
	}
	if len(results) != o.width[submission] {
		o.reportf("submission %s: complete with %d results, want %d", submission, len(results), o.width[submission])
	}
	for i, r := range results {
		if want := fmt.Sprintf("%s/%d", submission, i); r != want {
			o.reportf("submission %s: result %d is %q, want %q", submission, i, r, want)
		}
	}
}
