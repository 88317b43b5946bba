package questionnaire

import "strings"

var scopeTexts = [scopes]string{
	Installation: "One section `[installation]`; it may be left out.",
	Worker:       "One section `[worker NAME]` for each size of worker that the platform has.",
	Team:         "One section `[team NAME]` for each team.",
	Kind:         "One section `[kind TEAM/NAME]` for each kind of request.",
}

// Page returns the content of docs/questionnaire.md, which a test compares with it.
func Page() string {
	var b strings.Builder
	b.WriteString(`# Questionnaire

Operators control greengagedoor through their answers to these questions.
` + "`greengagedoor questionnaire ask`" + ` puts them at a terminal and writes the answers as
an INI file, ` + "`check`" + ` reports all contradictions at once, ` + "`generate`" + ` derives the
configuration and explains each value, and ` + "`diff`" + ` tells what changes in behaviour
between two files of answers. Samples are in ` + "`samples/`" + `.

An answer is one line ` + "`key = value`" + `. Lines that begin with ` + "`#` or `;`" + ` are comments.
This page is generated from the table of questions.
`)
	for s := range scopes {
		b.WriteString("\n## " + s.String() + "\n\n" + scopeTexts[s] + "\n\n")
		b.WriteString("| key | question | allowed | default | derives |\n|---|---|---|---|---|\n")
		for _, q := range questionsByScope[s] {
			defaultAnswer := q.defaultAnswer
			if q.required {
				defaultAnswer = "(must be answered)"
			}
			b.WriteString("| `" + q.key + "` | " + q.prompt + " | " + q.allowed + " | " + defaultAnswer + " | " + q.derives + " |\n")
		}
	}
	b.WriteString(`
## Contradictions

These are errors, each reported with its file and line, field, value and what is allowed:

- a commitment shorter than the run time, or longer than the retention;
- shares of all teams that exceed the whole;
- all kinds of a team, or of the installation, marked critical;
- retries of a kind whose duplication does medium or high harm;
- a kind whose task fits no known size of worker;
- a home region that does not exist;
- resources or preemption of a kind that runs on targets;
- a kind whose team has no section.
`)
	return b.String()
}
