package configuration

import (
	"strconv"
	"strings"
	"time"
)

// The bounds of single values. A payload is sent in one frame between processes. A
// run time above an hour can only be a mistake, since tasks are sub-second.
const (
	MaxPayloadBytes = 4 << 20
	MaxRunTime      = time.Hour
	MaxSpread       = 1000
	MaxStarts       = 11
	MaxNameBytes    = 64
	MaxDrained      = 500
	MaxTargetBytes  = 128
	// shareTolerance absorbs the rounding error of shares that add up to 1.
	shareTolerance = 1e-9
)

// ValidName reports whether a name of a team, kind, service or worker class can
// appear in a URL, an INI section header and a log field.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	return strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789_-") == ""
}

// AllowedName describes the names that ValidName accepts.
const AllowedName = "1 to 64 of a-z, 0-9, _ and -"

// Check returns all contradictions of the configuration.
func (c *Configuration) Check() Problems {
	var ps Problems
	add := func(place, field, value, allowed string) {
		ps = append(ps, NewProblem(place, field, value, allowed))
	}
	c.checkTeams(add)
	for _, k := range c.Kinds() {
		checkKind(k, add)
		if k.commitment > c.limits.retention {
			// The answer would be deleted before it is due.
			add("kind "+k.team+"/"+k.name, "commitment", k.commitment.String(), "at most the retention of "+c.limits.retention.String())
		}
		c.checkWorker(k, add)
	}
	c.checkUrgencies(add)
	c.checkDrained(add)
	return ps
}

// CheckAgainst returns the values that must not differ from the base version but
// do. The home region decides which owner stores a key: after a change, another
// owner would treat a resubmission as new and start its tasks a second time.
func (c *Configuration) CheckAgainst(base *Configuration) Problems {
	var ps Problems
	for _, t := range c.Teams() {
		if b, ok := base.teams[t.name]; ok && b.homeRegion != t.homeRegion {
			ps = append(ps, NewProblem("team "+t.name, "home_region", strconv.Itoa(t.homeRegion), strconv.Itoa(b.homeRegion)+", since the home region of a team is fixed"))
		}
	}
	return ps
}

func (c *Configuration) checkTeams(add func(place, field, value, allowed string)) {
	sum := 0.0
	for _, t := range c.Teams() {
		place := "team " + t.name
		sum += t.share
		if !ValidName(t.name) {
			add(place, "name", t.name, AllowedName)
		}
		if t.homeRegion >= c.limits.regions {
			add(place, "home_region", strconv.Itoa(t.homeRegion), "0 to "+strconv.Itoa(c.limits.regions-1)+", since there are "+strconv.Itoa(c.limits.regions)+" regions")
		}
	}
	if sum > 1+shareTolerance {
		add("teams", "sum of share", FormatPercent(sum), "at most 100%")
	}
	if len(c.teams) == 0 {
		add("configuration", "teams", "", "at least one team")
	}
}

func checkKind(k Kind, add func(place, field, value, allowed string)) {
	place := "kind " + k.team + "/" + k.name
	if !ValidName(k.name) {
		add(place, "name", k.name, AllowedName)
	}
	if !ValidName(k.service) {
		add(place, "service", k.service, AllowedName)
	}
	if k.commitment < k.runTime {
		add(place, "commitment", k.commitment.String(), "at least the run time of "+k.runTime.String())
	}
	if k.commitment%time.Millisecond != 0 || k.runTime%time.Millisecond != 0 {
		add(place, "commitment and run_time", k.commitment.String()+" and "+k.runTime.String(), "whole milliseconds")
	}
	if k.runTime > MaxRunTime {
		add(place, "run_time", k.runTime.String(), "at most "+MaxRunTime.String())
	}
	if !(k.spread >= 1 && k.spread <= MaxSpread) {
		add(place, "spread", strconv.FormatFloat(k.spread, 'g', -1, 64), "1 to "+strconv.Itoa(MaxSpread))
	}
	if k.payloadBytes < 1 || k.payloadBytes > MaxPayloadBytes {
		add(place, "payload_bytes", strconv.Itoa(k.payloadBytes), "1 to "+strconv.Itoa(MaxPayloadBytes))
	}
	switch {
	case k.maxStarts < 1 || k.maxStarts > MaxStarts:
		add(place, "max_starts", strconv.Itoa(k.maxStarts), "1 to "+strconv.Itoa(MaxStarts))
	case k.maxStarts > 1 && !k.repeatable:
		add(place, "max_starts", strconv.Itoa(k.maxStarts), "1, since the kind is not repeatable")
	}
}

func (c *Configuration) checkWorker(k Kind, add func(place, field, value, allowed string)) {
	if k.backEnd != Worker {
		return
	}
	var known []string
	for _, w := range c.workers {
		if k.resources.Fits(w.resources) {
			return
		}
		known = append(known, w.name+" with "+w.resources.String())
	}
	allowed := "what fits one of the known workers: " + strings.Join(known, "; ")
	if len(known) == 0 {
		allowed = "no kind on workers, since no worker is known"
	}
	add("kind "+k.team+"/"+k.name, "resources", k.resources.String(), allowed)
}

// checkUrgencies reports each team whose kinds are all critical, and an
// installation whose kinds are all critical: urgency would then order nothing.
func (c *Configuration) checkUrgencies(add func(place, field, value, allowed string)) {
	all := map[string]int{}
	critical := map[string]int{}
	for key, k := range c.kinds {
		all[key.team]++
		if k.urgency == Critical {
			critical[key.team]++
		}
	}
	total, totalCritical := 0, 0
	reported := false
	for _, t := range c.Teams() {
		total += all[t.name]
		totalCritical += critical[t.name]
		if all[t.name] > 1 && all[t.name] == critical[t.name] {
			reported = true
			add("team "+t.name, "urgency of all kinds", Critical.String(), "at least one kind that is less urgent")
		}
	}
	if !reported && total > 1 && total == totalCritical {
		add("configuration", "urgency of all kinds", Critical.String(), "at least one kind that is less urgent")
	}
}

// checkDrained bounds the list, so that the encoded configuration stays below its
// size limit.
func (c *Configuration) checkDrained(add func(place, field, value, allowed string)) {
	if len(c.drained) > MaxDrained {
		add("configuration", "drained", strconv.Itoa(len(c.drained))+" targets", "at most "+strconv.Itoa(MaxDrained))
	}
	for _, t := range c.drained {
		if t == "" || len(t) > MaxTargetBytes {
			add("configuration", "drained", strconv.Itoa(len(t))+" bytes", "names of 1 to "+strconv.Itoa(MaxTargetBytes)+" bytes")
		}
	}
}

// FormatPercent formats a fraction as the questionnaire does, such as 12.5%.
func FormatPercent(share float64) string {
	return strconv.FormatFloat(share*100, 'g', 10, 64) + "%"
}
