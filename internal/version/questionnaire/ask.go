package questionnaire

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// prompter asks an operator questions at a terminal.
type prompter struct {
	in  *bufio.Scanner
	out io.Writer
}

// Ask writes all questions to out and reads the answers from in. It asks again
// after an invalid answer. An empty line selects the default.
func Ask(in io.Reader, out io.Writer) (Answers, error) {
	p := &prompter{
		in:  bufio.NewScanner(in),
		out: out,
	}
	a := Answers{
		file: "answers",
	}
	s, err := p.section(Installation, "")
	if err != nil {
		return Answers{}, err
	}
	a.sections = append(a.sections, s)
	for _, scope := range []Scope{Worker, Team} {
		found, err := p.sections(scope, "")
		if err != nil {
			return Answers{}, err
		}
		a.sections = append(a.sections, found...)
	}
	for _, t := range a.inScope(Team) {
		found, err := p.sections(Kind, t.name+"/")
		if err != nil {
			return Answers{}, err
		}
		a.sections = append(a.sections, found...)
	}
	return a, nil
}

// readLine writes a prompt and returns the answer without surrounding space.
func (p *prompter) readLine(prompt string) (string, error) {
	if _, err := fmt.Fprint(p.out, prompt); err != nil {
		return "", errors.Wrap(err, "write question")
	}
	if !p.in.Scan() {
		if err := p.in.Err(); err != nil {
			return "", errors.Wrap(err, "read answer")
		}
		return "", errors.New("input ended before the last question was answered")
	}
	return strings.TrimSpace(p.in.Text()), nil
}

// sections asks for names, and for the answers of each, until a name is empty.
func (p *prompter) sections(scope Scope, prefix string) ([]section, error) {
	var found []section
	seen := map[string]bool{}
	for {
		what := "Name of the next " + scope.String()
		if prefix != "" {
			what += " of team " + strings.TrimSuffix(prefix, "/")
		}
		name, err := p.readLine(what + " (empty for no more): ")
		if err != nil || name == "" {
			return found, err
		}
		if !configuration.ValidName(name) || seen[name] {
			_, _ = fmt.Fprintf(p.out, "  %q is invalid; allowed: %s, each once\n", name, configuration.AllowedName)
			continue
		}
		seen[name] = true
		s, err := p.section(scope, prefix+name)
		if err != nil {
			return nil, err
		}
		found = append(found, s)
	}
}

func (p *prompter) section(scope Scope, name string) (section, error) {
	s := section{
		scope: scope,
		name:  name,
		given: map[string]answer{},
	}
	for _, q := range questionsByScope[scope] {
		if err := p.ask(s, q); err != nil {
			return section{}, err
		}
	}
	return s, nil
}

func (p *prompter) ask(s section, q Question) error {
	prompt := "[" + s.header() + "] " + q.prompt + "\n  " + q.key + " (" + q.allowed
	if !q.required {
		prompt += "; default: " + q.defaultAnswer
	}
	for {
		text, err := p.readLine(prompt + "): ")
		if err != nil {
			return err
		}
		if text == "" && !q.required {
			return nil
		}
		if q.valid(text) && !strings.HasPrefix(text, "`") && !strings.HasPrefix(text, `"""`) {
			s.given[q.key] = answer{
				text: text,
			}
			return nil
		}
		_, _ = fmt.Fprintf(p.out, "  %q is invalid; allowed: %s\n", text, q.allowed)
	}
}
