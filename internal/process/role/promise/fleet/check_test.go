package fleet

import (
	"fmt"
	"time"
)

// broken lists the breaches of promises 1 to 4 and attempts without an answer.
func broken(attempts []attempt, starts map[string]int) []string {
	var found []string
	started := map[string]bool{}
	for task, n := range starts {
		started[submissionOf(task)] = true
		if n > 1 {
			found = append(found, fmt.Sprintf("task %s started %d times", task, n))
		}
	}
	again := lastBegins(attempts)
	for _, a := range attempts {
		found = append(found, faultsOf(a)...)
		// A later attempt may run what this refusal says has not run.
		if a.notRun && !again[a.job.key].After(a.ended) && started[team+"/"+a.job.key] {
			found = append(found, "started in spite of not_run: "+a.String())
		}
	}
	return found
}

func lastBegins(attempts []attempt) map[string]time.Time {
	last := map[string]time.Time{}
	for _, a := range attempts {
		if a.began.After(last[a.job.key]) {
			last[a.job.key] = a.began
		}
	}
	return last
}

func faultsOf(a attempt) []string {
	var found []string
	if a.wrong != "" {
		found = append(found, "wrong answer: "+a.String())
	}
	if !a.final() || a.ended.Sub(a.began) > attemptLimit {
		found = append(found, "no answer in time: "+a.String())
	}
	return found
}

// failed lists the attempts whose job failed.
func failed(attempts []attempt) []string {
	var found []string
	for _, a := range attempts {
		if a.state == "failed" {
			found = append(found, a.String())
		}
	}
	return found
}

func completed(attempts []attempt) int {
	n := 0
	for _, a := range attempts {
		if a.state == "complete" {
			n++
		}
	}
	return n
}
