// Package explain prints the log events of one request in order of time.
//
// The lines of a request are spread over the logs of several processes: the
// entry logs the caller's trace and the job, and agents log the runs of the job.
// The package finds the job of a trace, selects every line that names the job or
// one of its runs, and sorts them by time. Lines about the configuration, the store and
// the connections of the process that decided on the request, shortly before it, tell
// which version was in force there and why. It skips lines without a JSON object and any
// prefix that a log collector adds.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/event"
)

const (
	// maxLineBytes limits the length of a log line.
	maxLineBytes = 1 << 20
	// stateWindow is how long before a decision the state of its process is printed.
	stateWindow = 10 * time.Second
)

// stateEvents are the events that tell the state of a process. The last config_changed
// before a decision is printed whenever it was.
var stateEvents = map[event.Name]bool{
	event.ConfigChanged:   true,
	event.ConfigBehind:    true,
	event.ConfigCaughtUp:  true,
	event.ConfigRefusing:  true,
	event.ConfigInvalid:   true,
	event.SendDelayed:     true,
	event.SendResumed:     true,
	event.StoreLost:       true,
	event.StoreRegained:   true,
	event.OverloadBegan:   true,
	event.OverloadEnded:   true,
	event.LinksChosen:     true,
	event.EvacuationBegan: true,
	event.EvacuationEnded: true,
	event.LinksResized:    true,
}

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
	found = append(found, l.targets(found)...)
	found = append(found, l.state(found)...)
	found = append(found, l.evacuations(found)...)
	sort.SliceStable(found, func(i, j int) bool { return found[i].time < found[j].time })
	var lines []string
	for _, x := range found {
		lines = append(lines, x.String())
	}
	return lines
}

// targets returns the lines with which agents announced the targets of the runs, so that
// the target that an entry chose can be compared with the one that carried out the start.
func (l *Log) targets(found []line) []line {
	named := map[string]bool{}
	for _, x := range found {
		if x.event == string(event.TaskPlaced) || x.event == string(event.RunStarted) {
			named[stringField(x.fields, "target")] = true
		}
	}
	var list []line
	for _, x := range l.lines {
		// Only agents name the address of a target.
		if x.event == string(event.TargetSeen) && stringField(x.fields, "address") != "" && named[stringField(x.fields, "target")] {
			list = append(list, x)
		}
	}
	return list
}

// evacuations returns the lines with which the evacuations began for which processes refused
// a start or the job, unless they are among the found lines already.
func (l *Log) evacuations(found []line) []line {
	shown := map[string]bool{}
	for _, x := range found {
		shown[x.String()] = true
	}
	var list []line
	for _, x := range found {
		if !refusedByEvacuation(x) {
			continue
		}
		for _, y := range l.evacuatedAt(x) {
			if !shown[y.String()] {
				shown[y.String()] = true
				list = append(list, y)
			}
		}
	}
	return list
}

// evacuatedAt returns the lines with which the evacuations began that the process of a line
// knew of at its time.
func (l *Log) evacuatedAt(x line) []line {
	byZone := map[string]line{}
	for _, y := range l.lines {
		if y.process != x.process || y.time > x.time {
			continue
		}
		switch event.Name(y.event) {
		case event.EvacuationBegan:
			byZone[stringField(y.fields, "zone")] = y
		case event.EvacuationEnded:
			delete(byZone, stringField(y.fields, "zone"))
		}
	}
	var list []line
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		list = append(list, byZone[zone])
	}
	return list
}

// refusedByEvacuation reports whether a line is a refusal of a start by an agent, or of a
// job by an entry, since an availability zone is evacuated.
func refusedByEvacuation(x line) bool {
	switch event.Name(x.event) {
	case event.RunRefused:
		return stringField(x.fields, "cause") == event.CauseEvacuated
	case event.JobRefused:
		return stringField(x.fields, "reason") == event.ReasonEvacuated
	}
	return false
}

// state returns the lines that tell the state of the processes that accepted or refused a
// request, at the time of their decision.
func (l *Log) state(found []line) []line {
	var state []line
	for _, x := range found {
		if x.event == string(event.JobAccepted) || x.event == string(event.JobRefused) {
			state = append(state, l.stateBefore(x)...)
		}
	}
	return state
}

func (l *Log) stateBefore(decision line) []line {
	at, err := time.Parse(time.RFC3339Nano, decision.time)
	if err != nil {
		return nil
	}
	var list []line
	var version *line
	for _, x := range l.lines {
		t, err := time.Parse(time.RFC3339Nano, x.time)
		if err != nil || x.process != decision.process || !stateEvents[event.Name(x.event)] || t.After(at) {
			continue
		}
		if at.Sub(t) <= stateWindow {
			list = append(list, x)
		} else if x.event == string(event.ConfigChanged) && (version == nil || x.time > version.time) {
			version = &x
		}
	}
	if version != nil {
		list = append(list, *version)
	}
	return list
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
