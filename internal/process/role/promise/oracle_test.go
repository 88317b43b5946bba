package promise

import "fmt"

// oracle knows what was started and what was answered, nothing else.
type oracle struct {
	starts   map[string]int // by task
	started  map[string]int // by submission
	notRun   map[string]bool
	attempts map[string]int // open attempts of a submission
	width    map[string]int
	broken   []string
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

func (o *oracle) failf(format string, args ...any) {
	o.broken = append(o.broken, fmt.Sprintf(format, args...))
}

// call is told of every task that reaches a target.
func (o *oracle) call(submission, task string) {
	o.starts[task]++
	o.started[submission]++
	if o.starts[task] > 1 {
		o.failf("task %s started %d times", task, o.starts[task])
	}
	if o.notRun[submission] {
		o.failf("submission %s started after a refusal that said not run", submission)
	}
}

// submit is told of every attempt of a caller.
func (o *oracle) submit(submission string, width int) {
	o.attempts[submission]++
	o.width[submission] = width
	// A caller that tries again after a refusal wants the job to run.
	delete(o.notRun, submission)
}

// answer is told of every answer that ends an attempt.
func (o *oracle) answer(submission, state string, notRun bool, results []string) {
	o.attempts[submission]--
	if notRun {
		if o.started[submission] > 0 {
			o.failf("submission %s: refused as not run after %d starts", submission, o.started[submission])
		}
		// Another open attempt may still be accepted; that is the caller's wish.
		o.notRun[submission] = o.attempts[submission] == 0
	}
	if state != "complete" {
		if len(results) > 0 {
			o.failf("submission %s: %s with %d results", submission, state, len(results))
		}
		return
	}
	if len(results) != o.width[submission] {
		o.failf("submission %s: complete with %d results of %d", submission, len(results), o.width[submission])
	}
	for i, r := range results {
		if want := fmt.Sprintf("%s/%d", submission, i); r != want {
			o.failf("submission %s: result %d is %q", submission, i, r)
		}
	}
}
