package configuration

import (
	"fmt"
	"sort"
	"strconv"
)

// Change is one difference in behaviour between two versions.
type Change struct {
	place  string
	field  string
	before string
	after  string
	effect string
}

// Place is the part of the configuration that changes.
func (c Change) Place() string {
	return c.place
}

// Field is the name of the changed value, empty for a part that is added or
// removed.
func (c Change) Field() string {
	return c.field
}

func (c Change) Before() string {
	return c.before
}

func (c Change) After() string {
	return c.after
}

// Effect describes what the value controls, or the result of adding or removing the
// part.
func (c Change) Effect() string {
	return c.effect
}

// String returns the change as one line.
func (c Change) String() string {
	if c.field == "" {
		return c.place + ": " + c.effect
	}
	return fmt.Sprintf("%s: %s from %s to %s: %s", c.place, c.field, c.before, c.after, c.effect)
}

// field describes one value of a part for Diff and Show.
type field[T any] struct {
	name   string
	value  func(T) string
	effect string
}

func fieldOf[T any](name string, value func(T) string, effect string) field[T] {
	return field[T]{
		name:   name,
		value:  value,
		effect: effect,
	}
}

func formatNumber(f float64) string {
	return strconv.FormatFloat(f, 'g', -1, 64)
}

var limitFields = []field[Limits]{
	fieldOf("max_tasks", func(l Limits) string { return strconv.Itoa(l.maxTasks) }, "largest number of tasks that a job may have"),
	fieldOf("retention", func(l Limits) string { return l.retention.String() }, "how long a resubmission is recognized and its answer kept"),
	fieldOf("regions", func(l Limits) string { return strconv.Itoa(l.regions) }, "regions that teams can have as their home"),
	fieldOf("reserved_slots", func(l Limits) string { return strconv.Itoa(l.admission.reservedSlots) }, "slots of each target that only the most urgent class gets"),
	fieldOf("long_share", func(l Limits) string { return FormatPercent(l.admission.longShare) }, "share of a target's slots that long work may hold"),
	fieldOf("retry_budget", func(l Limits) string { return FormatPercent(l.admission.retryBudget) }, "retries as a part of first starts"),
	fieldOf("max_waiting", func(l Limits) string { return strconv.Itoa(l.admission.maxWaiting) }, "tasks that wait at one owner before jobs are refused"),
}

var teamFields = []field[Team]{
	fieldOf("share", func(t Team) string { return FormatPercent(t.share) }, "part of the capacity that the team gets under load"),
	fieldOf("home_region", func(t Team) string { return strconv.Itoa(t.homeRegion) }, "region whose owners keep the team's submissions; it is fixed, and a version that changes it is refused"),
	fieldOf("tokens", func(t Team) string { return describeTokens(t.tokenHashes) }, "tokens that give access to the team"),
}

var kindFields = []field[Kind]{
	fieldOf("urgency", func(k Kind) string { return k.urgency.String() }, "place among all waiting work"),
	fieldOf("commitment", func(k Kind) string { return k.commitment.String() }, "a job is refused at once when its expected wait exceeds this"),
	fieldOf("run_time", func(k Kind) string { return k.runTime.String() }, "estimate until enough run times have been observed"),
	fieldOf("spread", func(k Kind) string { return formatNumber(k.spread) }, "estimate of the slowest tasks until enough have been observed"),
	fieldOf("harm", func(k Kind) string { return strconv.Itoa(k.harm) }, "kinds with less harm are refused first"),
	fieldOf("repeatable", func(k Kind) string { return strconv.FormatBool(k.repeatable) }, "whether a task may run again"),
	fieldOf("max_starts", func(k Kind) string { return strconv.Itoa(k.maxStarts) }, "how often a task may start, the first start included"),
	fieldOf("payload_bytes", func(k Kind) string { return strconv.Itoa(k.payloadBytes) }, "larger payloads are refused"),
	fieldOf("long", func(k Kind) string { return strconv.FormatBool(k.long) }, "whether the kind is held to the share for long work"),
	fieldOf("runs_on", func(k Kind) string { return k.backEnd.String() }, "sort of back end that runs the kind"),
	fieldOf("service", func(k Kind) string { return k.service }, "back ends that offer this service run the kind"),
	fieldOf("resources", func(k Kind) string { return k.resources.String() }, "what a task takes of a worker"),
	fieldOf("preemption", func(k Kind) string { return k.preemption.String() }, "what may be done to a running task when urgent work needs its place"),
}

// describeTokens identifies tokens by their access and the first 4 bytes of their
// hash.
func describeTokens(hashes []TokenHash) string {
	var names []string
	for _, h := range hashes {
		names = append(names, fmt.Sprintf("%s %x", h.access, h.sum[:4]))
	}
	sort.Strings(names)
	return fmt.Sprint(names)
}

// Diff returns the differences in behaviour from before to after.
func Diff(before, after *Configuration) []Change {
	changes := compare(nil, "limits", limitFields, before.limits, after.limits)
	changes = compare(changes, "installation", []field[*Configuration]{
		fieldOf("tokens", func(c *Configuration) string { return describeTokens(c.tokens) }, "tokens that give access to the whole installation"),
		fieldOf("workers", func(c *Configuration) string { return describeWorkers(c.workers) }, "sizes of worker against which kinds are checked"),
		fieldOf("drained", func(c *Configuration) string { return fmt.Sprint(c.drained) }, "targets that get no new work"),
	}, before, after)
	changes = compareParts(changes, "team", teamFields, byName(before.Teams(), Team.Name), byName(after.Teams(), Team.Name))
	name := func(k Kind) string { return k.team + "/" + k.name }
	return compareParts(changes, "kind", kindFields, byName(before.Kinds(), name), byName(after.Kinds(), name))
}

func describeWorkers(workers []WorkerClass) string {
	var names []string
	for _, w := range workers {
		names = append(names, w.name+" "+w.resources.String())
	}
	return fmt.Sprint(names)
}

func compare[T any](changes []Change, place string, fields []field[T], before, after T) []Change {
	for _, f := range fields {
		b, a := f.value(before), f.value(after)
		if a == b {
			continue
		}
		changes = append(changes, Change{
			place:  place,
			field:  f.name,
			before: b,
			after:  a,
			effect: f.effect,
		})
	}
	return changes
}

func byName[T any](parts []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(parts))
	for _, p := range parts {
		m[name(p)] = p
	}
	return m
}

func compareParts[T any](changes []Change, partType string, fields []field[T], before, after map[string]T) []Change {
	for _, name := range union(before, after) {
		place := partType + " " + name
		b, inBefore := before[name]
		a, inAfter := after[name]
		switch {
		case !inBefore:
			changes = append(changes, Change{
				place:  place,
				effect: "is new; its requests are accepted",
			})
		case !inAfter:
			changes = append(changes, Change{
				place:  place,
				effect: "is gone; its requests are refused as unknown",
			})
		default:
			changes = compare(changes, place, fields, b, a)
		}
	}
	return changes
}

func union[T any](a, b map[string]T) []string {
	var names []string
	for n := range a {
		names = append(names, n)
	}
	for n := range b {
		if _, ok := a[n]; !ok {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	return names
}

// Show returns all values of a configuration, one per line.
func Show(c *Configuration) []string {
	var lines []string
	lines = showPart(lines, "limits", limitFields, c.limits)
	for _, w := range c.workers {
		lines = append(lines, "worker "+w.name+": "+w.resources.String())
	}
	for _, t := range c.Teams() {
		lines = showPart(lines, "team "+t.name, teamFields, t)
	}
	for _, k := range c.Kinds() {
		lines = showPart(lines, "kind "+k.team+"/"+k.name, kindFields, k)
	}
	return lines
}

func showPart[T any](lines []string, place string, fields []field[T], v T) []string {
	for _, f := range fields {
		lines = append(lines, place+": "+f.name+" = "+f.value(v))
	}
	return lines
}
