package local

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/pkg/caller"
)

// ErrGuaranteeViolated reports that a run violated a guarantee of the system.
var ErrGuaranteeViolated = errors.New("a system guarantee was violated")

// maxListedFaults bounds the faults that Write prints.
const maxListedFaults = 20

// answered is a sample job with its answer, kept for the comparison with the starts.
type answered struct {
	submission string
	tasks      int
	complete   bool
	notRun     bool
}

// Summary is the result of a run of sample jobs.
type Summary struct {
	answered     int
	accepted     int
	complete     int
	failed       int
	refused      int
	resubmitted  int
	partial      int
	started      int
	startedTwice int
	byTeam       map[string]int
	jobs         []answered
	faults       []string
	took         time.Duration
}

func (s *Summary) reportf(format string, args ...any) {
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

// add evaluates the answers of one job.
func (s *Summary) add(a attempt) {
	s.answered++
	id, err := a.submission()
	if err == nil {
		err = a.err
	}
	if err != nil {
		s.reportf("%s: no answer: %v", id, err)
		return
	}
	if s.byTeam == nil {
		s.byTeam = map[string]int{}
	}
	s.byTeam[a.job.Team()]++
	first := a.answers[0]
	if a.sample.resend {
		s.resubmitted++
	}
	for _, other := range a.answers[1:] {
		if !sameAnswer(first, other) {
			s.reportf("%s: two attempts got different answers: %s and %s", id, first.State(), other.State())
		}
	}
	s.countAnswer(id, a, first)
	s.jobs = append(s.jobs, answered{
		submission: id.String(),
		tasks:      a.job.Tasks(),
		complete:   first.State() == caller.Complete,
		notRun:     first.NotRun(),
	})
}

// countAnswer counts the first answer of a job and compares it with the expected one.
func (s *Summary) countAnswer(id identity.Submission, a attempt, first caller.Answer) {
	switch first.State() {
	case caller.Complete:
		s.accepted++
		s.complete++
		if a.sample.fails {
			s.reportf("%s: complete, want failed: one of its tasks fails", id)
		}
		if !resultsMatch(a.sample, first) {
			s.partial++
			s.reportf("%s: the results are not those of the tasks of this job", id)
		}
	case caller.Failed:
		s.accepted++
		s.failed++
		if len(first.Results()) > 0 {
			s.partial++
		}
		if !a.sample.fails {
			s.reportf("%s: failed, want complete: %s: %s", id, first.Reason(), first.Detail())
		}
	default:
		s.refused++
		s.reportf("%s: refused, want accepted: %s: %s", id, first.Reason(), first.Detail())
	}
}

func sameAnswer(a, b caller.Answer) bool {
	return a.State() == b.State() && a.Reason() == b.Reason() && fmt.Sprint(a.Results()) == fmt.Sprint(b.Results())
}

func resultsMatch(j sampleJob, a caller.Answer) bool {
	if len(a.Results()) != len(j.results) {
		return false
	}
	for i, r := range a.Results() {
		if string(r) != j.results[i] {
			return false
		}
	}
	return true
}

// compare checks the answers against the recorded starts, by task.
func (s *Summary) compare(starts map[string]int) {
	for task, n := range starts {
		s.started += n
		if n > 1 {
			s.startedTwice++
			s.reportf("task %s started %d times, want 1", task, n)
		}
	}
	for _, j := range s.jobs {
		for i := range j.tasks {
			n := starts[fmt.Sprintf("%s/%d", j.submission, i)]
			if j.complete && n == 0 {
				s.reportf("%s is complete, but its task %d did not start", j.submission, i)
			}
			if j.notRun && n > 0 {
				s.reportf("%s was refused with not_run, but its task %d started", j.submission, i)
			}
		}
	}
}

// Err returns ErrGuaranteeViolated with the number of faults, nil for a run without
// faults.
func (s Summary) Err() error {
	if len(s.faults) == 0 {
		return nil
	}
	return errors.Wrapf(ErrGuaranteeViolated, "%d faults", len(s.faults))
}

type summaryDocument struct {
	JobsAccepted      int   `json:"jobs_accepted"`
	JobsComplete      int   `json:"jobs_complete"`
	JobsFailed        int   `json:"jobs_failed"`
	JobsRefused       int   `json:"jobs_refused"`
	JobsResubmitted   int   `json:"jobs_resubmitted"`
	TasksStarted      int   `json:"tasks_started"`
	TasksStartedTwice int   `json:"tasks_started_twice"`
	AnswersPartial    int   `json:"answers_partial"`
	Faults            int   `json:"faults"`
	TookMS            int64 `json:"took_ms"`
}

// Write prints the summary. The last line is a JSON object.
func (s Summary) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%d sample jobs in %v: %d of %s, %d of %s\n", s.answered, s.took.Round(time.Millisecond),
		s.byTeam[tegnestuen], tegnestuen, s.byTeam[lakeshore], lakeshore)
	fmt.Fprintf(&b, "  %d complete, %d failed (one of every %d jobs has a failing task), %d refused\n", s.complete, s.failed, failEvery, s.refused)
	fmt.Fprintf(&b, "  %d submitted a second time through the other entry\n", s.resubmitted)
	fmt.Fprintf(&b, "  %d tasks started as counted by targets and workers, %d of them more than once\n", s.started, s.startedTwice)
	for i, f := range s.faults {
		if i == maxListedFaults {
			fmt.Fprintf(&b, "  and %d more faults\n", len(s.faults)-maxListedFaults)
			break
		}
		fmt.Fprintf(&b, "  fault: %s\n", f)
	}
	line, err := json.Marshal(summaryDocument{
		JobsAccepted:      s.accepted,
		JobsComplete:      s.complete,
		JobsFailed:        s.failed,
		JobsRefused:       s.refused,
		JobsResubmitted:   s.resubmitted,
		TasksStarted:      s.started,
		TasksStartedTwice: s.startedTwice,
		AnswersPartial:    s.partial,
		Faults:            len(s.faults),
		TookMS:            s.took.Milliseconds(),
	})
	if err != nil {
		return errors.Wrap(err, "encode summary")
	}
	b.Write(line)
	b.WriteByte('\n')
	_, err = io.WriteString(w, b.String())
	return errors.Wrap(err, "write summary")
}
