package host

import (
	"context"
	"fmt"
	"net/http"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"greengagedoor.example/greengagedoor/internal/process/dump"
	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/metric"
	"greengagedoor.example/greengagedoor/internal/process/ring"
)

// inspectTimeout is how long the dump waits for the snapshot of a role.
const inspectTimeout = time.Second

// inspect is the event that requests a snapshot. Only the duty of a role may read
// its state machine.
type inspect struct {
	reply *ring.Ring[[]string]
}

// section requests a snapshot from the role's duty and returns its lines. If the
// duty does not answer, the section says so.
func (r *role) section() []string {
	if r.snapshot == nil {
		return []string{"this decision has no snapshot"}
	}
	reply, err := ring.New[[]string]("inspect", 1)
	if err != nil {
		return []string{err.Error()}
	}
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	err = r.ring.Push(ctx, inspect{
		reply: reply,
	})
	if err == nil {
		lines, perr := reply.Pop(ctx)
		if perr == nil {
			return lines
		}
		err = perr
	}
	return []string{"the duty did not answer: " + err.Error()}
}

// describeValue returns one line for each field of a snapshot, with its name in
// snake case, and one line for each element of a slice of structs.
func describeValue(name string, v reflect.Value) []string {
	switch {
	case v.Type() == reflect.TypeFor[time.Time]():
		// Reflection cannot call methods on unexported fields, so the time cannot be
		// formatted.
		if v.IsZero() {
			return []string{name + " = none"}
		}
		return []string{name + " = set"}
	case v.Type() == reflect.TypeFor[time.Duration]():
		return []string{fmt.Sprintf("%s = %v", name, time.Duration(v.Int()))}
	case v.Kind() == reflect.Struct:
		var lines []string
		for i := range v.NumField() {
			lines = append(lines, describeValue(join(name, snake(v.Type().Field(i).Name)), v.Field(i))...)
		}
		return lines
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		var lines []string
		for i := range v.Len() {
			fields := describeValue("", v.Index(i))
			for f, text := range fields {
				fields[f] = strings.Replace(text, " = ", "=", 1)
			}
			lines = append(lines, name+" = "+strings.Join(fields, " "))
		}
		return lines
	}
	return []string{fmt.Sprintf("%s = %v", name, v)}
}

func join(name, field string) string {
	if name == "" {
		return field
	}
	return name + "." + field
}

var camelBoundary = regexp.MustCompile(`([a-z0-9])([A-Z])`)

func snake(s string) string {
	return strings.ToLower(camelBoundary.ReplaceAllString(s, "${1}_${2}"))
}

// numberSuffix matches the suffix of a duty that is one of several identical ones.
var numberSuffix = regexp.MustCompile(`_[0-9]+$`)

// dutyLines returns the table of duties with their rings. Duties whose names differ
// only in their number share a ring and a line.
func dutyLines(t *duty.Table) []string {
	var lines []string
	seen := map[string]int{}
	for _, d := range t.Duties() {
		name := numberSuffix.ReplaceAllString(d.Name(), "")
		seen[name]++
		if seen[name] == 1 {
			depth, size, rejected := d.Gauge()
			lines = append(lines, fmt.Sprintf("%s depth=%d size=%d rejected=%d %s", name, depth, size, rejected, d.Purpose()))
		}
	}
	for name, n := range seen {
		if n == 1 {
			continue
		}
		for i, l := range lines {
			if strings.HasPrefix(l, name+" ") {
				lines[i] = fmt.Sprintf("%s count=%d%s", name, n, strings.TrimPrefix(l, name))
			}
		}
	}
	return lines
}

func ringGauge(t func() *duty.Table, value func(depth int, rejected int64) int64) func() any {
	return func() any {
		out := map[string]int64{}
		for _, d := range t().Duties() {
			if depth, size, rejected := d.Gauge(); size > 0 {
				out[numberSuffix.ReplaceAllString(d.Name(), "")] = value(depth, rejected)
			}
		}
		return out
	}
}

// observe adds the metrics and dump endpoints to a router. It takes the duty table
// as a function, because the table does not exist yet: the duty that serves these
// endpoints is part of it.
func (c Common) observe(e *echo.Echo, table func() *duty.Table, roles ...*role) error {
	c.metrics.Gauge(metric.RingDepth, ringGauge(table, func(depth int, _ int64) int64 { return int64(depth) }))
	c.metrics.Gauge(metric.RingRejected, ringGauge(table, func(_ int, rejected int64) int64 { return rejected }))
	startedAt := c.now()
	c.metrics.Gauge(metric.ProcessUptimeMilli, func() any { return c.now().Sub(startedAt).Milliseconds() })
	d, err := c.dump(table, roles)
	if err != nil {
		return err
	}
	e.GET("/debug/vars", func(ctx echo.Context) error {
		ctx.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
		ctx.Response().WriteHeader(http.StatusOK)
		return c.metrics.Write(ctx.Response())
	})
	e.GET("/debug/dump", func(ctx echo.Context) error {
		ctx.Response().Header().Set(echo.HeaderContentType, echo.MIMETextPlainCharsetUTF8)
		ctx.Response().WriteHeader(http.StatusOK)
		return d.Write(ctx.Response())
	})
	return nil
}

// dump returns the dump of a process with its sections.
func (c Common) dump(table func() *duty.Table, roles []*role) (*dump.Dump, error) {
	rows := []struct {
		name    string
		meaning string
		lines   func() []string
	}{
		{
			name:    "process",
			meaning: "Identity and addresses.",
			lines:   c.identityLines,
		},
		{
			name:    "settings",
			meaning: "Settings in force and where they come from.",
			lines:   func() []string { return c.settings },
		},
		{
			name:    "duties",
			meaning: "The goroutines that own state, with their rings.",
			lines:   func() []string { return dutyLines(table()) },
		},
		{
			name:    "metrics",
			meaning: "Counters since the process was assembled.",
			lines:   c.metrics.Lines,
		},
	}
	var sections []dump.Section
	for _, r := range rows {
		s, err := dump.NewSection(r.name, r.meaning, r.lines)
		if err != nil {
			return nil, err
		}
		sections = append(sections, s)
	}
	for _, r := range roles {
		if r == nil {
			// Only agents have a directory.
			continue
		}
		s, err := dump.NewSection("role_"+r.name, "The state of this role's decision.", r.section)
		if err != nil {
			return nil, err
		}
		sections = append(sections, s)
	}
	return dump.New(sections...)
}

func (c Common) identityLines() []string {
	return []string{
		"process = " + c.process.String(),
		"availability_zone = " + c.zone,
		fmt.Sprintf("region = %d of %d", c.region, c.regions),
		fmt.Sprintf("shard_count = %d", c.shards),
		"link_address = " + c.linkAddress,
		"http_address = " + c.httpAddress,
	}
}
