// Package dump prints the state of a process for operators.
//
// One table registers the sections with their meaning. Each section is a function
// that returns lines; the dump bounds their number and length, so that a process
// in trouble does not answer with its whole memory. Sections hold numbers and
// identifiers, never payloads or secrets.
package dump

import (
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// The bounds of a section.
const (
	MaxLines     = 200
	MaxLineBytes = 400
)

// Section is one part of the dump.
type Section struct {
	name    string
	meaning string
	lines   func() []string
}

// NewSection describes a section; its name is in snake case.
func NewSection(name, meaning string, lines func() []string) (Section, error) {
	if name == "" || strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789_") != "" {
		return Section{}, errors.Errorf("dump section %q is not in snake case", name)
	}
	if meaning == "" || lines == nil {
		return Section{}, errors.Errorf("dump section %s needs a meaning and a source", name)
	}
	return Section{
		name:    name,
		meaning: meaning,
		lines:   lines,
	}, nil
}

// Name is the section's name.
func (s Section) Name() string {
	return s.name
}

// Meaning says what the section shows.
func (s Section) Meaning() string {
	return s.meaning
}

// Dump is the ordered table of sections.
type Dump struct {
	sections []Section
}

// New returns a dump; the names of the sections must differ.
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

// Sections lists the sections in order.
func (d *Dump) Sections() []Section {
	return append([]Section(nil), d.sections...)
}

// Write prints all sections.
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
