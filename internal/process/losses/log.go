// Package losses tells from the logs of entries and agents which jobs were not answered in
// time, when and where, and which of them no target could have ended in time.
//
// A site that loses jobs wants to know what more targets, another configuration or a change
// of the program could win back. So the package derives the run time of each task on the
// fastest target: from its run, if it ended, otherwise from the progress at which its run
// was found to take too long. What exceeds the time that the caller or the route gave the
// job could not be won back.
package losses

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/event"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// record has the fields of all log events that the package uses.
type record struct {
	Time       time.Time `json:"time"`
	Process    string    `json:"process"`
	Event      string    `json:"event"`
	Zone       string    `json:"zone"`
	Job        string    `json:"job"`
	Route      string    `json:"route"`
	Run        string    `json:"run"`
	Target     string    `json:"target"`
	State      string    `json:"state"`
	End        string    `json:"end"`
	Tasks      int       `json:"tasks"`
	SizeClass  int       `json:"size_class"`
	Percent    int64     `json:"percent"`
	LimitMS    int64     `json:"limit_ms"`
	QueuedMS   int64     `json:"queued_ms"`
	TookMS     int64     `json:"took_ms"`
	LateMS     int64     `json:"late_ms"`
	RanMS      int64     `json:"ran_ms"`
	ExpectedMS int64     `json:"expected_ms"`
	WorkCoreMS int64     `json:"work_core_ms"`
}

// Log holds the jobs and runs of all log files read so far.
type Log struct {
	jobs  map[string]*job
	runs  map[string]*run
	zones map[string]string
}

// New returns a Log without jobs.
func New() *Log {
	return &Log{
		jobs:  map[string]*job{},
		runs:  map[string]*run{},
		zones: map[string]string{},
	}
}

// Read adds the lines of a file or stream. The lines of one process must be in their order;
// files may be read in any. It skips lines without a JSON object and fails on a line longer
// than 1 MiB.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		at := strings.IndexByte(s.Text(), '{')
		if at < 0 {
			continue
		}
		var x record
		if json.Unmarshal(s.Bytes()[at:], &x) == nil {
			l.add(x)
		}
	}
	return errors.Wrap(s.Err(), "read log")
}

func (l *Log) add(x record) {
	switch event.Name(x.Event) {
	case event.ProcessStarted:
		l.zones[x.Process] = x.Zone
	case event.JobAccepted:
		j := l.job(x)
		j.at = x.Time.Add(-milliseconds(x.QueuedMS))
		j.limit = milliseconds(x.LimitMS + x.QueuedMS)
		j.tasks = x.Tasks
		j.declaredWork = float64(x.WorkCoreMS)
		j.sizeClass = x.SizeClass
	case event.JobEnded, event.JobRefused:
		l.end(x)
	case event.JobLeft:
		l.job(x).left = true
	case event.TaskPlaced:
		r := l.run(x.Run)
		r.target = x.Target
		r.expected = milliseconds(x.ExpectedMS)
	case event.TaskOverdue:
		l.run(x.Run).project(milliseconds(x.RanMS), x.Percent)
	case event.RunEnded:
		l.run(x.Run).end(x.End, milliseconds(x.RanMS))
	}
}

// end records the outcome of a job, which it may have before it was accepted.
func (l *Log) end(x record) {
	j := l.job(x)
	if x.Time.Before(j.endedAt) {
		return
	}
	j.endedAt = x.Time
	j.entry = x.Process
	if j.at.IsZero() {
		j.at = x.Time
		j.sizeClass = x.SizeClass
	}
	j.took = max(milliseconds(x.TookMS), milliseconds(x.QueuedMS))
	switch {
	case event.Name(x.Event) == event.JobRefused:
		j.outcome = Refused
	case x.State == "complete" && x.LateMS <= 0:
		j.outcome = Served
	case x.State == "complete":
		j.outcome = Late
	case j.left:
		j.outcome = Left
	default:
		j.outcome = GivenUp
	}
}

// job returns the job of a line of its entry. A job that is submitted again counts with the
// entry that ended it last, whatever the order of the files.
func (l *Log) job(x record) *job {
	j, ok := l.jobs[x.Job]
	if !ok {
		j = &job{
			id:   x.Job,
			runs: map[string]*run{},
		}
		l.jobs[x.Job] = j
	}
	if j.endedAt.IsZero() {
		j.entry = x.Process
	}
	if x.Route != "" {
		j.route = x.Route
	}
	return j
}

func (l *Log) run(name string) *run {
	r, ok := l.runs[name]
	if !ok {
		r = &run{}
		l.runs[name] = r
	}
	return r
}

// assign gives each run to its job.
func (l *Log) assign() {
	for name, r := range l.runs {
		id, _, _ := strings.Cut(name, ".")
		if j, ok := l.jobs[id]; ok {
			j.runs[name] = r
		}
	}
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
