// Package dump prints the state of a process for operators.
//
// A dump is a list of sections. Each section is a function that returns lines.
// The dump limits their number and length, so that an overloaded process does
// not print all of its state. Sections contain numbers and identifiers, never
// payloads or secrets.
package dump

import (
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// The limits of a section.
const (
	MaxLines     = 200
	MaxLineBytes = 400
)

// Section is one part of a dump.
type Section struct {
	name    string
	meaning string
	lines   func() []string
}

// NewSection returns a section. The name must be in snake case; meaning and lines
// are required.
func NewSection(name, meaning string, lines func() []string) (Section, error) {
	if name == "" || strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789_") != "" {
		return Section{}, errors.Errorf("dump section name is %q, want snake case", name)
	}
	if meaning == "" || lines == nil {
		return Section{}, errors.Errorf("dump section %s: meaning and lines are required", name)
	}
	return Section{
		name:    name,
		meaning: meaning,
		lines:   lines,
	}, nil
}

func (s Section) Name() string {
	return s.name
}

// Meaning returns one sentence on what the section shows.
func (s Section) Meaning() string {
	return s.meaning
}

// Dump is an ordered list of sections.
type Dump struct {
	sections []Section
}

// New returns a dump. It fails if two sections have the same name.
func New(sections ...Section) (*Dump, error) {
	seen := map[string]bool{}
	for _, s := range sections {
		if seen[s.name] {
			return nil, errors.Errorf("dump section %s is registered twice", s.name)
		}
		seen[s.name] = true
	}
	return &Dump{
		sections: sections,
	}, nil
}

// Sections returns the sections in order.
func (d *Dump) Sections() []Section {
	return append([]Section(nil), d.sections...)
}

// Write writes all sections to w. Line breaks within a line become blanks.
func (d *Dump) Write(w io.Writer) error {
	for _, s := range d.sections {
		if _, err := io.WriteString(w, s.text()); err != nil {
			return errors.Wrap(err, "write dump")
		}
	}
	return nil
}

func (s Section) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[%s] %s\n", s.name, s.meaning)
	lines := s.lines()
	for i, l := range lines {
		if i == MaxLines {
			fmt.Fprintf(&b, "  (%d more lines)\n", len(lines)-MaxLines)
			break
		}
		l = strings.ReplaceAll(l, "\n", " ")
		if len(l) > MaxLineBytes {
			l = l[:MaxLineBytes] + "..."
		}
		b.WriteString("  " + l + "\n")
	}
	return b.String()
}
