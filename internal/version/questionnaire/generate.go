package questionnaire

import (
	"strconv"
	"strings"
	"time"

	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// longTask is the run time of the slowest tasks above which a kind is long work.
// Most tasks take at most 1 s, so one such task occupies a slot for as long as two
// of them.
const longTask = 2 * time.Second

// Points for each level of harm. The first level of loss outweighs every level of
// lateness.
const (
	lossPoints     = 10
	latenessPoints = 3
)

var harmLevels = map[string]int{
	"none":   0,
	"low":    1,
	"medium": 2,
	"high":   3,
}

// Explanation names the answers that a derived value comes from.
type Explanation struct {
	place   string
	field   string
	value   string
	reason  string
	section section
	keys    []string
}

// Place is the part of the configuration that contains the value.
func (e Explanation) Place() string {
	return e.place
}

func (e Explanation) Field() string {
	return e.field
}

func (e Explanation) Value() string {
	return e.value
}

// Reason returns the answers with their lines, and the rule that connects them to
// the value if there is one.
func (e Explanation) Reason() string {
	var from []string
	for _, k := range e.keys {
		if _, ok := e.section.given[k]; ok {
			from = append(from, k+" is "+e.section.text(k)+" (line "+strconv.Itoa(e.section.lineOf(k))+")")
		} else {
			from = append(from, k+" was left out and counts as \""+e.section.text(k)+"\"")
		}
	}
	if e.reason != "" {
		from = append(from, e.reason)
	}
	return strings.Join(from, " and ")
}

// String returns the explanation as one line.
func (e Explanation) String() string {
	return e.place + ": " + e.field + " = " + e.value + ", because " + e.Reason()
}

// Generate derives a configuration from the answers, with an explanation of each
// value. The configuration has version 0. The error lists all contradictions.
func Generate(a Answers) (*configuration.Configuration, []Explanation, error) {
	g := &generator{
		answers: a,
	}
	c := g.build()
	if err := g.check(c).Err(); err != nil {
		return nil, nil, err
	}
	return c, g.explanations, nil
}

// Check parses answers in the INI format. Its error lists all invalid lines and
// answers, and all contradictions between the valid ones.
func Check(file string, data []byte) error {
	a, ps, err := parse(file, data)
	if err != nil {
		return err
	}
	invalid := len(ps) > 0
	g := &generator{
		answers: a.withoutInvalid(),
	}
	for _, p := range g.check(g.build()) {
		// A team that is missing because its section is invalid has been reported.
		if !invalid || p.Field() != "teams" {
			ps = append(ps, p)
		}
	}
	return ps.Err()
}

// withoutInvalid returns a copy without the invalid sections and without the kinds
// of teams that are removed.
func (a Answers) withoutInvalid() Answers {
	valid := Answers{
		file: a.file,
	}
	removedTeams := map[string]bool{}
	for _, s := range a.sections {
		sc := scanner{}
		sc.check(s)
		if len(sc.problems) > 0 && s.scope == Team {
			removedTeams[s.name] = true
		}
		if len(sc.problems) == 0 {
			valid.sections = append(valid.sections, s)
		}
	}
	sections := valid.sections
	valid.sections = nil
	for _, s := range sections {
		team, _, _ := strings.Cut(s.name, "/")
		if s.scope != Kind || !removedTeams[team] {
			valid.sections = append(valid.sections, s)
		}
	}
	return valid
}

// generator derives one configuration and collects its explanations and problems.
type generator struct {
	answers      Answers
	explanations []Explanation
	problems     configuration.Problems
}

// explain records a value with the answers that it comes from. Reason formats the
// text on demand, since 5,200 kinds have 67,600 explanations.
func (g *generator) explain(s section, place, field, value, reason string, keys ...string) {
	g.explanations = append(g.explanations, Explanation{
		place:   place,
		field:   field,
		value:   value,
		reason:  reason,
		section: s,
		keys:    keys,
	})
}

func (g *generator) build() *configuration.Configuration {
	installation := section{
		scope: Installation,
		line:  1,
	}
	if found := g.answers.inScope(Installation); len(found) > 0 {
		installation = found[0]
	}
	var teams []configuration.Team
	known := map[string]bool{}
	for _, s := range g.answers.inScope(Team) {
		teams = append(teams, g.team(s))
		known[s.name] = true
	}
	var kinds []configuration.Kind
	for _, s := range g.answers.inScope(Kind) {
		team, name, _ := strings.Cut(s.name, "/")
		if !known[team] {
			g.problems = append(g.problems, configuration.NewProblem(g.answers.place(s.line), "section", s.header(), "a kind of a team with a section [team "+team+"]"))
			continue
		}
		kinds = append(kinds, g.kind(s, team, name))
	}
	limits := g.limits(installation, kinds)
	var workers []configuration.WorkerClass
	for _, s := range g.answers.inScope(Worker) {
		w, err := configuration.NewWorkerClass(s.name, resources(s))
		g.addError(s, err)
		workers = append(workers, w)
	}
	c, err := configuration.New(0, limits, teams, kinds)
	g.addError(installation, err)
	return c.WithWorkers(workers).WithTokens(tokens(installation))
}

// addError records an error of a constructor. The rules of the table are stricter
// than the constructors, so such an error is a fault in the table.
func (g *generator) addError(s section, err error) {
	if err != nil {
		g.problems = append(g.problems, configuration.NewProblem(g.answers.place(s.line), s.header(), err.Error(), "see docs/questionnaire.md"))
	}
}

func tokens(s section) []configuration.TokenHash {
	var all []configuration.TokenHash
	for _, access := range []string{"caller", "operator", "reader"} {
		for _, sum := range splitList(s.text(access + "_tokens")) {
			if h, err := configuration.ParseTokenHash(access, sum); err == nil {
				all = append(all, h)
			}
		}
	}
	return all
}

func resources(s section) configuration.Resources {
	cores, _ := strconv.ParseFloat(s.text("cores"), 64)
	memory, _ := parseSize(s.text("memory"))
	accelerators, _ := strconv.ParseInt(s.text("accelerators"), 10, 64)
	r, _ := configuration.NewResources(int64(cores*1000+0.5), memory, accelerators)
	return r
}

func (g *generator) team(s section) configuration.Team {
	share, _ := parsePercent(s.text("share"))
	home, _ := strconv.Atoi(s.text("home_region"))
	t, err := configuration.NewTeam(s.name, share, home)
	g.addError(s, err)
	place := s.header()
	g.explain(s, place, "share", configuration.FormatPercent(share), "", "share")
	g.explain(s, place, "home_region", strconv.Itoa(home), "", "home_region")
	hashes := tokens(s)
	g.explain(s, place, "tokens", strconv.Itoa(len(hashes)), "each hash is a token", "caller_tokens", "operator_tokens", "reader_tokens")
	return t.WithTokens(hashes)
}

func (g *generator) limits(s section, kinds []configuration.Kind) configuration.Limits {
	tasks, _ := strconv.Atoi(s.text("job_tasks"))
	retention, _ := time.ParseDuration(s.text("retention"))
	regions, _ := strconv.Atoi(s.text("regions"))
	l, err := configuration.NewLimits(tasks, retention)
	g.addError(s, err)
	g.explain(s, "limits", "max_tasks", strconv.Itoa(tasks), "", "job_tasks")
	g.explain(s, "limits", "retention", retention.String(), "", "retention")
	g.explain(s, "limits", "regions", strconv.Itoa(regions), "", "regions")
	return l.WithRegions(regions).WithAdmission(g.admission(s, kinds))
}

func (g *generator) admission(s section, kinds []configuration.Kind) configuration.Admission {
	d := configuration.DefaultAdmission()
	reserved, longShare, budget := 0, 1.0, 0.0
	whyReserved, whyLong, whyBudget := "no kind is critical", "no kind is long", "no kind has retries"
	for _, k := range kinds {
		name := "kind " + k.Team() + "/" + k.Name()
		if k.Urgency() == configuration.Critical && reserved == 0 {
			reserved, whyReserved = d.ReservedSlots(), "urgency of "+name+" is critical"
		}
		if k.Long() && longShare == 1 {
			longShare, whyLong = d.LongShare(), name+" is long"
		}
		if k.MaxStarts() > 1 && budget == 0 {
			budget, whyBudget = d.RetryBudget(), name+" has retries"
		}
	}
	waiting, _ := strconv.Atoi(s.text("waiting_tasks"))
	a, err := configuration.NewAdmission(reserved, longShare, budget, waiting)
	g.addError(s, err)
	g.explain(s, "limits", "reserved_slots", strconv.Itoa(reserved), whyReserved)
	g.explain(s, "limits", "long_share", configuration.FormatPercent(longShare), whyLong)
	g.explain(s, "limits", "retry_budget", configuration.FormatPercent(budget), whyBudget)
	g.explain(s, "limits", "max_waiting", strconv.Itoa(waiting), "", "waiting_tasks")
	return a
}
