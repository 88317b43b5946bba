package questionnaire

import (
	"strconv"
	"strings"
	"unicode"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// MaxBytes is the largest size of a file of answers. 5,200 kinds with all answers
// and the longest names stay below it.
const MaxBytes = 8 << 20

// Answers contains the answers of one file.
type Answers struct {
	file     string
	sections []section
}

// section contains the answers about one installation, worker, team or kind.
type section struct {
	scope Scope
	name  string
	line  int
	given map[string]answer
}

type answer struct {
	text string
	line int
}

// header returns the section header in the INI format, without brackets.
func (s section) header() string {
	if s.scope == Installation {
		return s.scope.String()
	}
	return s.scope.String() + " " + s.name
}

// text returns the answer to a question, or its default.
func (s section) text(key string) string {
	if a, ok := s.given[key]; ok {
		return a.text
	}
	return questionsByKey[s.scope][key].defaultAnswer
}

// lineOf returns the line of an answer, or that of the section header if the answer
// is not given.
func (s section) lineOf(key string) int {
	if a, ok := s.given[key]; ok {
		return a.line
	}
	return s.line
}

func (a Answers) place(line int) string {
	return a.file + ":" + strconv.Itoa(line)
}

// inScope returns the sections of a scope.
func (a Answers) inScope(scope Scope) []section {
	var found []section
	for _, s := range a.sections {
		if s.scope == scope {
			found = append(found, s)
		}
	}
	return found
}

// Parse parses answers in the INI format. Its error lists all malformed lines, all
// unknown and missing answers and all invalid values.
func Parse(file string, data []byte) (Answers, error) {
	a, ps, err := parse(file, data)
	if err != nil {
		return Answers{}, err
	}
	return a, ps.Err()
}

func parse(file string, data []byte) (Answers, configuration.Problems, error) {
	if len(data) > MaxBytes {
		return Answers{}, nil, errors.Errorf("%s has %d bytes, want at most %d", file, len(data), MaxBytes)
	}
	s := &scanner{
		answers: Answers{
			file: file,
		},
		seen: map[string]int{},
	}
	for i, line := range strings.Split(string(data), "\n") {
		s.read(i+1, strings.TrimSpace(line))
	}
	if len(s.problems) == 0 {
		if err := s.readValues(data); err != nil {
			return Answers{}, nil, err
		}
	}
	for _, sec := range s.answers.sections {
		s.check(sec)
	}
	return s.answers, s.problems, nil
}

// scanner finds the line of each section and answer, which the INI library does not
// report. It rejects input that the library would merge, such as a repeated
// section, or read over several lines.
type scanner struct {
	answers  Answers
	problems configuration.Problems
	seen     map[string]int
	skip     bool
}

func (s *scanner) problem(line int, field, value, allowed string) {
	s.problems = append(s.problems, configuration.NewProblem(s.answers.place(line), field, value, allowed))
}

func (s *scanner) read(n int, line string) {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case line[0] == '[':
		s.section(n, line)
	case len(s.answers.sections) == 0 && !s.skip:
		s.problem(n, "line", line, "a section header such as [installation] before the first answer")
	default:
		s.answer(n, line)
	}
}

func (s *scanner) section(n int, line string) {
	s.skip = true
	header, ok := strings.CutSuffix(line[1:], "]")
	scope, name, known := splitHeader(header)
	if !ok || !known {
		s.problem(n, "section", line, "[installation], [worker NAME], [team NAME] or [kind TEAM/NAME], each name with "+configuration.AllowedName)
		return
	}
	if first, ok := s.seen[header]; ok {
		s.problem(n, "section", line, "one section of this name; the first is on line "+strconv.Itoa(first))
		return
	}
	s.seen[header] = n
	s.skip = false
	s.answers.sections = append(s.answers.sections, section{
		scope: scope,
		name:  name,
		line:  n,
		given: map[string]answer{},
	})
}

func splitHeader(header string) (Scope, string, bool) {
	if header == Installation.String() {
		return Installation, "", true
	}
	word, name, _ := strings.Cut(header, " ")
	switch word {
	case Worker.String():
		return Worker, name, configuration.ValidName(name)
	case Team.String():
		return Team, name, configuration.ValidName(name)
	case Kind.String():
		team, kind, _ := strings.Cut(name, "/")
		return Kind, name, configuration.ValidName(team) && configuration.ValidName(kind)
	}
	return 0, "", false
}

func (s *scanner) answer(n int, line string) {
	if s.skip {
		return
	}
	sec := s.answers.sections[len(s.answers.sections)-1]
	key, value, ok := strings.Cut(line, "=")
	key = strings.TrimRightFunc(key, unicode.IsSpace)
	value = strings.TrimSpace(value)
	if !ok {
		s.problem(n, "line", line, "an answer such as share = 10%")
		return
	}
	if _, ok := questionsByKey[sec.scope][key]; !ok {
		s.problem(n, key, value, "in section "+sec.scope.String()+": "+strings.Join(keysOf(sec.scope), ", "))
		return
	}
	if first, ok := sec.given[key]; ok {
		s.problem(n, key, value, "one answer; the first is on line "+strconv.Itoa(first.line))
		return
	}
	if strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`) {
		s.problem(n, key, value, "a value on one line without such quotation marks")
		return
	}
	sec.given[key] = answer{
		text: value,
		line: n,
	}
}

func keysOf(scope Scope) []string {
	var keys []string
	for _, q := range questionsByScope[scope] {
		keys = append(keys, q.key)
	}
	return keys
}

// readValues sets the text of the answers to the values that the INI library reads.
func (s *scanner) readValues(data []byte) error {
	f, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:      true,
		IgnoreInlineComment:     true,
		PreserveSurroundedQuote: true,
		KeyValueDelimiters:      "=",
	}, data)
	if err != nil {
		return errors.Wrap(err, s.answers.file)
	}
	f.BlockMode = false
	for _, sec := range s.answers.sections {
		got := f.Section(sec.header())
		for key, a := range sec.given {
			a.text = got.Key(key).Value()
			sec.given[key] = a
		}
	}
	return nil
}

// check reports the missing and the invalid answers of a section.
func (s *scanner) check(sec section) {
	for _, q := range questionsByScope[sec.scope] {
		a, ok := sec.given[q.key]
		switch {
		case !ok && q.required:
			s.problem(sec.line, sec.header()+": "+q.key, "", q.allowed)
		case ok && !q.valid(a.text):
			s.problem(a.line, q.key, a.text, q.allowed)
		}
	}
}

// Encode returns the answers in the INI format. Answers that are not given are left
// out.
func (a Answers) Encode() []byte {
	var b strings.Builder
	for i, s := range a.sections {
		if i > 0 {
			b.WriteString("\n")
		}
		b.WriteString("[" + s.header() + "]\n")
		for _, q := range questionsByScope[s.scope] {
			if v, ok := s.given[q.key]; ok {
				b.WriteString(strings.TrimRight(q.key+" = "+v.text, " ") + "\n")
			}
		}
	}
	return []byte(b.String())
}
