package server

import (
	"expvar"
	"fmt"

	"greengagedoor.example/greengagedoor/internal/process/dump"
)

// section is one section of the dump of each process.
type section struct {
	name    string
	purpose string
	lines   func() []string
}

// dump returns the dump of the process, with the sections of its role at the end.
func (b *base) dump() (*dump.Dump, error) {
	var sections []dump.Section
	for _, x := range b.commonSections() {
		s, err := dump.NewSection(x.name, x.purpose, x.lines)
		if err != nil {
			return nil, err
		}
		sections = append(sections, s)
	}
	held, err := b.intakeSection()
	if err != nil {
		return nil, err
	}
	return dump.New(append(append(sections, held), b.sections...)...)
}

func (b *base) commonSections() []section {
	o := b.observer
	return []section{
		{
			name:    "process",
			purpose: "Name, availability zone and addresses.",
			lines:   b.processLines,
		},
		{
			name:    "duties",
			purpose: "Each duty with depth, size and rejections of its ring.",
			lines:   b.dutyLines,
		},
		{
			name:    "events",
			purpose: "How often each event was logged.",
			lines:   countLines(o.events),
		},
		{
			name:    "refusals",
			purpose: "How often jobs were refused, by reason.",
			lines:   countLines(o.refusals),
		},
		{
			name:    "waits",
			purpose: "The waits of tasks for a better place by their outcome.",
			lines:   countLines(o.waits),
		},
		{
			name:    "sent",
			purpose: "The bytes written to other processes by content, and the age of the oldest frame that waits.",
			lines: func() []string {
				return append([]string{"unsent_age_ms " + o.unsentAge.String()}, countLines(o.sentBytes)()...)
			},
		},
	}
}

func (b *base) processLines() []string {
	s := b.settings
	return []string{
		"name = " + s.name, "zone = " + s.zone, "link = " + s.link, "advertised = " + s.advertised,
		fmt.Sprintf("boot = %d", b.hello.Incarnation()), fmt.Sprintf("seeds = %v", s.seeds),
	}
}

func (b *base) dutyLines() []string {
	var lines []string
	for _, d := range b.duties {
		depth, size, rejected := d.Gauge()
		lines = append(lines, fmt.Sprintf("%s depth=%d size=%d rejected=%d: %s", d.Name(), depth, size, rejected, d.Purpose()))
	}
	return lines
}

// countLines returns a function that returns a line for each counter of a map.
func countLines(m *expvar.Map) func() []string {
	return func() []string {
		var lines []string
		m.Do(func(kv expvar.KeyValue) { lines = append(lines, kv.Key+" "+kv.Value.String()) })
		return lines
	}
}
