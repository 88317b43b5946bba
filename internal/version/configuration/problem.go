package configuration

import "strings"

// Problem is one invalid value, with the values that are allowed instead.
type Problem struct {
	place   string
	field   string
	value   string
	allowed string
}

// NewProblem returns a problem. Place is a file and line, or the part of the
// configuration that contains the field.
func NewProblem(place, field, value, allowed string) Problem {
	return Problem{
		place:   place,
		field:   field,
		value:   value,
		allowed: allowed,
	}
}

// Place is a file and line, or the part of the configuration that contains the
// field.
func (p Problem) Place() string {
	return p.place
}

func (p Problem) Field() string {
	return p.field
}

// Value is the invalid value.
func (p Problem) Value() string {
	return p.value
}

// Allowed describes the valid values.
func (p Problem) Allowed() string {
	return p.allowed
}

// String returns the problem as one line.
func (p Problem) String() string {
	return p.place + ": " + p.field + " is \"" + p.value + "\", allowed: " + p.allowed
}

// Problems lists all problems of one input, so that an operator can correct them
// in one pass.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil if there are no problems.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}
