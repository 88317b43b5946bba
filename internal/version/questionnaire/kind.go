package questionnaire

import (
	"strconv"
	"strings"
	"time"

	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

func (g *generator) kind(s section, team, name string) configuration.Kind {
	urgency, _ := configuration.ParseUrgency(s.text("urgency"))
	commitment, _ := time.ParseDuration(s.text("commitment"))
	runTime, _ := time.ParseDuration(s.text("run_time"))
	service := s.text("service")
	if service == "" {
		service = name
	}
	k, err := configuration.NewKind(team, name, service, urgency, commitment, runTime)
	g.addError(s, err)
	place := s.header()
	g.explain(s, place, "urgency", urgency.String(), "", "urgency")
	g.explain(s, place, "commitment", commitment.String(), "", "commitment")
	g.explain(s, place, "run_time", runTime.String(), "", "run_time")
	g.explain(s, place, "service", service, "", "service")
	k = g.times(s, place, k, runTime)
	k = g.harm(s, place, k)
	return g.backEnd(s, place, k)
}

// times derives the values that depend on the run time and its spread.
func (g *generator) times(s section, place string, k configuration.Kind, runTime time.Duration) configuration.Kind {
	spread, _ := strconv.ParseFloat(s.text("spread"), 64)
	slowest := time.Duration(float64(runTime) * spread)
	long := slowest > longTask
	relation := "at most "
	if long {
		relation = "over "
	}
	reason := "the slowest of a hundred tasks takes " + slowest.Round(time.Millisecond).String() + ", " + relation + longTask.String()
	g.explain(s, place, "spread", formatNumber(spread), "", "spread")
	g.explain(s, place, "long", strconv.FormatBool(long), reason, "run_time", "spread")
	return k.WithSpread(spread).WithLong(long)
}

// harm derives the values that depend on the harm of lateness, loss and
// duplication.
func (g *generator) harm(s section, place string, k configuration.Kind) configuration.Kind {
	harm := lossPoints*harmLevels[s.text("harm_of_loss")] + latenessPoints*harmLevels[s.text("harm_of_lateness")]
	repeatable := isRepeatable(s)
	retries, _ := strconv.Atoi(s.text("retries"))
	g.explain(s, place, "harm", strconv.Itoa(harm), "", "harm_of_loss", "harm_of_lateness")
	g.explain(s, place, "repeatable", strconv.FormatBool(repeatable), "", "harm_of_duplication")
	g.explain(s, place, "max_starts", strconv.Itoa(retries+1), "the first start counts", "retries")
	return k.WithHarm(harm).WithRepeatable(repeatable).WithMaxStarts(retries + 1)
}

func isRepeatable(s section) bool {
	return harmLevels[s.text("harm_of_duplication")] < harmLevels["medium"]
}

// backEnd derives the type of back end and the resources of a task.
func (g *generator) backEnd(s section, place string, k configuration.Kind) configuration.Kind {
	payload, _ := parseSize(s.text("payload"))
	k = k.WithPayloadBytes(int(payload))
	g.explain(s, place, "payload_bytes", strconv.FormatInt(payload, 10), "", "payload")
	g.explain(s, place, "runs_on", s.text("runs_on"), "", "runs_on")
	r := resources(s)
	p := preemption(s)
	if s.text("runs_on") == "worker" {
		k = k.WithWorker(r, p)
	} else if r != (configuration.Resources{}) || p != 0 {
		g.reportWorkerOnly(s)
	}
	g.explain(s, place, "resources", r.String(), "", "cores", "memory", "accelerators")
	g.explain(s, place, "preemption", p.String(), "", "preemption")
	return k
}

func preemption(s section) configuration.Preemption {
	var p configuration.Preemption
	if s.text("preemption") == "none" {
		return p
	}
	for _, n := range splitList(s.text("preemption")) {
		if m, err := configuration.ParsePreemption(n); err == nil {
			p |= m
		}
	}
	return p
}

// reportWorkerOnly reports the answers that are valid only for kinds on workers.
func (g *generator) reportWorkerOnly(s section) {
	for _, key := range []string{"cores", "memory", "accelerators", "preemption"} {
		if a, ok := s.given[key]; ok && a.text != questionsByKey[Kind][key].defaultAnswer {
			g.problems = append(g.problems, configuration.NewProblem(g.answers.place(a.line), key, a.text,
				questionsByKey[Kind][key].defaultAnswer+", since "+s.header()+" runs on targets"))
		}
	}
}

// questionOfField maps a field of the configuration to the question whose answer
// determines it.
var questionOfField = map[string]string{
	"commitment":    "commitment",
	"run_time":      "run_time",
	"spread":        "spread",
	"payload_bytes": "payload",
	"max_starts":    "retries",
	"resources":     "runs_on",
	"home_region":   "home_region",
	"service":       "service",
}

// check returns the contradictions of the configuration, located in the answers.
func (g *generator) check(c *configuration.Configuration) configuration.Problems {
	sections := map[string]section{}
	for _, s := range g.answers.sections {
		sections[s.header()] = s
	}
	ps := g.problems
	for _, p := range c.Check() {
		ps = append(ps, g.translate(sections, p))
	}
	return ps
}

func (g *generator) translate(sections map[string]section, p configuration.Problem) configuration.Problem {
	s, ok := sections[p.Place()]
	if !ok {
		return configuration.NewProblem(g.answers.file, p.Field(), p.Value()+g.shares(p.Field()), p.Allowed())
	}
	key, ok := questionOfField[p.Field()]
	if !ok {
		return configuration.NewProblem(g.answers.place(s.line), s.header()+": "+p.Field(), p.Value(), p.Allowed())
	}
	value, allowed := s.text(key), p.Allowed()
	switch key {
	case "retries":
		allowed = "0, since harm_of_duplication is " + s.text("harm_of_duplication")
	case "runs_on":
		value = p.Value()
	}
	return configuration.NewProblem(g.answers.place(s.lineOf(key)), s.header()+": "+key, value, allowed)
}

// shares lists the first shares of a sum with their lines, so that the
// operator sees which lines to change. It is empty for other fields.
func (g *generator) shares(field string) string {
	if field != "sum of share" {
		return ""
	}
	const maxListed = 5
	var shares []string
	for _, s := range g.answers.inScope(Team) {
		if len(shares) == maxListed {
			shares = append(shares, "…")
			break
		}
		shares = append(shares, s.name+" "+s.text("share")+" on line "+strconv.Itoa(s.lineOf("share")))
	}
	return " (" + strings.Join(shares, ", ") + ")"
}

// Diff returns the differences in behaviour between the configurations that two
// sets of answers give.
func Diff(before, after Answers) ([]configuration.Change, error) {
	b, _, err := Generate(before)
	if err != nil {
		return nil, err
	}
	a, _, err := Generate(after)
	if err != nil {
		return nil, err
	}
	return configuration.Diff(b, a), nil
}
