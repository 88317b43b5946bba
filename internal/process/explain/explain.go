// Package explain prints the life of a request from log files.
//
// The lines of a request stand in the logs of several processes: its entry knows
// the caller's trace and the job, agents know the runs of the job. The package
// finds the job of a trace, takes every line that names the job or one of its
// runs, and orders them by time. Lines that are no JSON objects, and what a log
// collector puts before an object, are passed over.
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

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// line is one line of a log.
type line struct {
	time    string
	process string
	event   string
	fields  map[string]any
}

// Log is what was read of log files.
type Log struct {
	lines []line
}

// New returns an empty log.
func New() *Log {
	return &Log{}
}

// Read takes the lines of a file or a stream.
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
		// Numbers keep their digits; run and session numbers exceed what a float holds.
		d.UseNumber()
		if d.Decode(&fields) != nil {
			continue
		}
		l.lines = append(l.lines, line{
			time:    text(fields, "time"),
			process: text(fields, "process"),
			event:   text(fields, "event"),
			fields:  fields,
		})
	}
	return errors.Wrap(s.Err(), "read log")
}

func text(fields map[string]any, key string) string {
	s, ok := fields[key].(string)
	if !ok {
		return ""
	}
	return s
}

// Explain returns the lines of the job or trace with the given id, in order of
// time; none if the log does not know it.
func (l *Log) Explain(id string) []string {
	jobs := l.jobs(id)
	var found []line
	for _, x := range l.lines {
		if text(x.fields, "trace") == id || jobs[x.job()] {
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

// jobs are the jobs that an id names: itself, or those of a trace.
func (l *Log) jobs(id string) map[string]bool {
	jobs := map[string]bool{
		id: true,
	}
	for _, x := range l.lines {
		if text(x.fields, "trace") == id && x.job() != "" {
			jobs[x.job()] = true
		}
	}
	return jobs
}

// job is the job that a line is about, by its field or by the name of its run.
func (x line) job() string {
	if j := text(x.fields, "job"); j != "" {
		return j
	}
	j, _, _ := strings.Cut(text(x.fields, "run"), ".")
	return j
}

// String is the line with its fields in the order of their names.
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
