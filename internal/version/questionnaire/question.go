// Package questionnaire derives a configuration from operators' answers about
// their requests.
//
// Operators know who calls, how urgent a request is and what harm a late, lost or
// duplicated one does. They don't know slots, budgets and classes. One table of
// questions defines the prompts, the INI format of the answers, the checks and the
// documentation, so that they stay consistent. An explanation names the answers
// that each derived value comes from.
package questionnaire

import (
	"strconv"
	"strings"
	"time"

	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// Scope is the part of the configuration that a question is about.
type Scope uint8

// Scopes, in the order in which their questions are asked.
const (
	Installation Scope = iota
	Worker
	Team
	Kind
	scopes
)

var scopeNames = [scopes]string{
	Installation: "installation",
	Worker:       "worker",
	Team:         "team",
	Kind:         "kind",
}

// String returns the name of the scope in section headers.
func (s Scope) String() string {
	return scopeNames[s]
}

// Question is one row of the table of questions.
type Question struct {
	scope         Scope
	key           string
	prompt        string
	allowed       string
	defaultAnswer string
	required      bool
	derives       string
	valid         func(string) bool
}

func (q Question) Scope() Scope {
	return q.scope
}

// Key is the key of the answer in the INI format.
func (q Question) Key() string {
	return q.key
}

// Prompt is the text of the question.
func (q Question) Prompt() string {
	return q.prompt
}

// Allowed describes the valid answers.
func (q Question) Allowed() string {
	return q.allowed
}

// Default is the answer that applies if none is given.
func (q Question) Default() string {
	return q.defaultAnswer
}

// Required reports whether the question must be answered.
func (q Question) Required() bool {
	return q.required
}

// Derives describes the values that the answer determines.
func (q Question) Derives() string {
	return q.derives
}

// Valid reports whether the answer is valid.
func (q Question) Valid(answer string) bool {
	return q.valid(answer)
}

func optional(scope Scope, key, defaultAnswer string, a rule, prompt, derives string) Question {
	return Question{
		scope:         scope,
		key:           key,
		prompt:        prompt,
		allowed:       a.allowed,
		defaultAnswer: defaultAnswer,
		derives:       derives,
		valid:         a.valid,
	}
}

func required(scope Scope, key string, a rule, prompt, derives string) Question {
	q := optional(scope, key, "", a, prompt, derives)
	q.required = true
	return q
}

// rule describes and checks the valid answers of one type.
type rule struct {
	allowed string
	valid   func(string) bool
}

func integer(low, high int) rule {
	return rule{
		allowed: "whole number from " + strconv.Itoa(low) + " to " + strconv.Itoa(high),
		valid: func(s string) bool {
			n, err := strconv.Atoi(s)
			return err == nil && n >= low && n <= high
		},
	}
}

func decimal(low, high float64) rule {
	return rule{
		allowed: "number from " + formatNumber(low) + " to " + formatNumber(high),
		valid: func(s string) bool {
			f, err := strconv.ParseFloat(s, 64)
			return err == nil && f >= low && f <= high
		},
	}
}

func formatNumber(f float64) string {
	return strconv.FormatFloat(f, 'f', -1, 64)
}

func percent() rule {
	return rule{
		allowed: "percentage from 0% to 100%, such as 12.5%",
		valid: func(s string) bool {
			f, ok := parsePercent(s)
			return ok && f >= 0 && f <= 1
		},
	}
}

func parsePercent(s string) (float64, bool) {
	n, ok := strings.CutSuffix(s, "%")
	if !ok {
		return 0, false
	}
	f, err := strconv.ParseFloat(strings.TrimSpace(n), 64)
	return f / 100, err == nil
}

func duration(low, high time.Duration) rule {
	return rule{
		allowed: "time from " + low.String() + " to " + high.String() + " in whole milliseconds, such as 250ms or 1.5s",
		valid: func(s string) bool {
			d, err := time.ParseDuration(s)
			return err == nil && d >= low && d <= high && d%time.Millisecond == 0
		},
	}
}

type unit struct {
	name  string
	bytes int64
}

// units lists the units of size, the largest first: a size is formatted in the
// largest unit that divides it, and B is a suffix of all other names.
var units = []unit{
	unitOf("GiB", 1<<30),
	unitOf("MiB", 1<<20),
	unitOf("KiB", 1<<10),
	unitOf("B", 1),
}

func unitOf(name string, bytes int64) unit {
	return unit{
		name:  name,
		bytes: bytes,
	}
}

func size(low, high int64) rule {
	return rule{
		allowed: "size from " + formatSize(low) + " to " + formatSize(high) + ", such as 64KiB or 2GiB",
		valid: func(s string) bool {
			n, ok := parseSize(s)
			return ok && n >= low && n <= high
		},
	}
}

func formatSize(n int64) string {
	for _, u := range units {
		if n >= u.bytes && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + u.name
		}
	}
	return "0B"
}

func parseSize(s string) (int64, bool) {
	for _, u := range units {
		n, ok := strings.CutSuffix(s, u.name)
		if !ok {
			continue
		}
		v, err := strconv.ParseInt(strings.TrimSpace(n), 10, 64)
		if err != nil || v < 0 || v > (1<<50)/u.bytes {
			return 0, false
		}
		return v * u.bytes, true
	}
	return 0, false
}

func choice(names ...string) rule {
	return rule{
		allowed: strings.Join(names, ", "),
		valid: func(s string) bool {
			for _, n := range names {
				if n == s {
					return true
				}
			}
			return false
		},
	}
}

func text() rule {
	return rule{
		allowed: "one line of text",
		valid:   func(s string) bool { return s != "" },
	}
}

func name() rule {
	return rule{
		allowed: configuration.AllowedName,
		valid:   configuration.ValidName,
	}
}

// splitList returns the parts of an answer between its commas, without empty ones.
func splitList(s string) []string {
	var parts []string
	for _, p := range strings.Split(s, ",") {
		if p = strings.TrimSpace(p); p != "" {
			parts = append(parts, p)
		}
	}
	return parts
}

func hashes() rule {
	return rule{
		allowed: "SHA-256 hashes of the tokens in hexadecimal, separated by commas, or nothing",
		valid: func(s string) bool {
			for _, p := range splitList(s) {
				if _, err := configuration.ParseTokenHash("caller", p); err != nil {
					return false
				}
			}
			return true
		},
	}
}

func measures() rule {
	return rule{
		allowed: "checkpoint, throttle and stop, separated by commas, or none",
		valid: func(s string) bool {
			if s == "none" {
				return true
			}
			for _, p := range splitList(s) {
				if _, err := configuration.ParsePreemption(p); err != nil {
					return false
				}
			}
			return len(splitList(s)) > 0
		},
	}
}
