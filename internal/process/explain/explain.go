// Package explain prints the log events of one request in order of time.
//
// The lines of a request are spread over the logs of several processes: the
// entry logs the caller's trace and the job, and agents log the runs of the job.
// The package finds the job of a trace, selects every line that names the job or
// one of its runs, and sorts them by time. It skips lines without a JSON object
// and any prefix that a log collector adds.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// line is one parsed log line.
type line struct {
	time    string
	process string
	event   string
	fields  map[string]any
}

// Log holds the lines of all log files read so far.
type Log struct {
	lines []line
}

func New() *Log {
	return &Log{}
}

// Read adds the lines of a file or stream. It fails on a line longer than 1 MiB.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		at := strings.IndexByte(s.Text(), '{')
		if at < 0 {
			continue
		}
		var fields map[string]any
		d := json.NewDecoder(strings.NewReader(s.Text()[at:]))
		// Run and session numbers exceed the precision of a float64.
		d.UseNumber()
		if d.Decode(&fields) != nil {
			continue
		}
		l.lines = append(l.lines, line{
			time:    stringField(fields, "time"),
			process: stringField(fields, "process"),
			event:   stringField(fields, "event"),
			fields:  fields,
		})
	}
	return errors.Wrap(s.Err(), "read log")
}

func stringField(fields map[string]any, key string) string {
	s, ok := fields[key].(string)
	if !ok {
		return ""
	}
	return s
}

// Explain returns the formatted lines of the job or trace with the given id, sorted
// by time. The result is empty if the log has no such id.
func (l *Log) Explain(id string) []string {
	jobs := l.jobs(id)
	var found []line
	for _, x := range l.lines {
		if stringField(x.fields, "trace") == id || jobs[x.job()] {
			found = append(found, x)
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].time < found[j].time })
	var lines []string
	for _, x := range found {
		lines = append(lines, x.String())
	}
	return lines
}

// jobs returns the set of jobs for an id: the id itself, and the jobs of the
// trace with this id.
func (l *Log) jobs(id string) map[string]bool {
	jobs := map[string]bool{
		id: true,
	}
	for _, x := range l.lines {
		if stringField(x.fields, "trace") == id && x.job() != "" {
			jobs[x.job()] = true
		}
	}
	return jobs
}

// job returns the job that a line is about, from the field job or from the run
// name, which starts with the job.
func (x line) job() string {
	if j := stringField(x.fields, "job"); j != "" {
		return j
	}
	j, _, _ := strings.Cut(stringField(x.fields, "run"), ".")
	return j
}

// String formats the line as time, process, event and the other fields sorted by
// name.
func (x line) String() string {
	var keys []string
	for k := range x.fields {
		switch k {
		case "time", "process", "event", "level":
		default:
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", x.time, x.process, x.event)
	for _, k := range keys {
		fmt.Fprintf(&b, " %s=%v", k, x.fields[k])
	}
	return b.String()
}
