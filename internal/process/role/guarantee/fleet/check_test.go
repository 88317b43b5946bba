package fleet

import (
	"fmt"
	"time"
)

// violations lists the violations of guarantees 1 to 4 of the design page and the
// attempts without an answer.
func violations(attempts []attempt, starts map[string]int) []string {
	var found []string
	started := map[string]bool{}
	for task, n := range starts {
		started[submissionOf(task)] = true
		if n > 1 {
			found = append(found, fmt.Sprintf("task %s started %d times, want 1", task, n))
		}
	}
	lastBegan := lastAttemptBegins(attempts)
	for _, a := range attempts {
		found = append(found, attemptViolations(a)...)
		// A later attempt may run the job after this refusal.
		if a.notRun && !lastBegan[a.job.key].After(a.ended) && started[team+"/"+a.job.key] {
			found = append(found, "started despite not_run: "+a.String())
		}
	}
	return found
}

// lastAttemptBegins returns when the last attempt of each job began, by key.
func lastAttemptBegins(attempts []attempt) map[string]time.Time {
	latest := map[string]time.Time{}
	for _, a := range attempts {
		if a.began.After(latest[a.job.key]) {
			latest[a.job.key] = a.began
		}
	}
	return latest
}

// attemptViolations reports a wrong answer and an answer that is late or missing.
func attemptViolations(a attempt) []string {
	var found []string
	if a.mismatch != "" {
		found = append(found, "wrong answer: "+a.String())
	}
	if !a.final() || a.ended.Sub(a.began) > attemptTimeout {
		found = append(found, "no final answer in time: "+a.String())
	}
	return found
}

// failed describes the attempts whose job failed.
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
