package configuration

import "strings"

// Problem is one value that cannot be used, with what is allowed instead.
type Problem struct {
	place   string
	field   string
	value   string
	allowed string
}

// NewProblem returns a problem. Place is a file and line, or the part of a
// configuration that holds the field.
func NewProblem(place, field, value, allowed string) Problem {
	return Problem{
		place:   place,
		field:   field,
		value:   value,
		allowed: allowed,
	}
}

// Place is where the value stands.
func (p Problem) Place() string {
	return p.place
}

// Field is the name of the value.
func (p Problem) Field() string {
	return p.field
}

// Value is what stands there.
func (p Problem) Value() string {
	return p.value
}

// Allowed is what may stand there.
func (p Problem) Allowed() string {
	return p.allowed
}

// String is the problem on one line.
func (p Problem) String() string {
	return p.place + ": " + p.field + " is \"" + p.value + "\", allowed: " + p.allowed
}

// Problems are all problems of one input, so that an operator corrects them in
// one pass.
type Problems []Problem

// Error lists the problems, one a line.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Err is nil without problems.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}
