package setting

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

const environmentPrefix = "GREENGAGEDOOR_"

// FileVariable is the environment variable with the path of the settings file,
// used when the flag is not given.
const FileVariable = environmentPrefix + "CONFIG"

// commandVariables are read by commands that are not roles. A role that runs in
// the same environment ignores them.
var commandVariables = map[string]bool{
	FileVariable:               true,
	"GREENGAGEDOOR_ENTRIES":    true,
	"GREENGAGEDOOR_STORE":      true,
	"GREENGAGEDOOR_TOKEN_FILE": true,
}

// The sources of values that do not come from a file.
const (
	fromDefault     = "default"
	fromEnvironment = "environment"
	fromFlag        = "command line"
)

type value struct {
	text   string
	source string
}

// Values holds the checked settings of a process.
type Values struct {
	table  Table
	values map[string]value
}

// Text returns the value of a setting.
func (v *Values) Text(section, key string) string {
	return v.values[section+"."+key].text
}

// Number returns the value of a whole-number setting, or 0 for any other setting.
func (v *Values) Number(section, key string) int64 {
	n, err := strconv.ParseInt(v.Text(section, key), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Decimal returns the value of a number that may have a fraction, or 0 if it is empty or
// another kind of setting.
func (v *Values) Decimal(section, key string) float64 {
	n, err := strconv.ParseFloat(v.Text(section, key), 64)
	if err != nil {
		return 0
	}
	return n
}

// List returns the elements of a comma-separated setting, without empty ones.
func (v *Values) List(section, key string) []string {
	var list []string
	for _, part := range strings.Split(v.Text(section, key), ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

// Milliseconds returns the duration of a setting in ms.
func (v *Values) Milliseconds(section, key string) time.Duration {
	return time.Duration(v.Number(section, key)) * time.Millisecond
}

// Lines returns "section.key = value (source)" for each setting, with secrets
// redacted.
func (v *Values) Lines() []string {
	var lines []string
	for _, s := range v.table.settings {
		x := v.values[s.Name()]
		lines = append(lines, fmt.Sprintf("%s = %s (%s)", s.Name(), s.redacted(x.text), x.source))
	}
	return lines
}

// Sources are the places that settings are read from. Flags override the
// environment, and the environment overrides the file.
type Sources struct {
	file        string
	environment []string
	flags       map[string]string
}

// NewSources returns sources. File is the path of the INI file, empty for none;
// environment has the form NAME=value; flags maps flag names to given values.
func NewSources(file string, environment []string, flags map[string]string) Sources {
	return Sources{
		file:        file,
		environment: environment,
		flags:       flags,
	}
}

// Load reads and checks all settings of a role. It returns an error that wraps
// ErrSettings and lists every fault.
func Load(t Table, s Sources) (*Values, error) {
	v := &Values{
		table:  t,
		values: map[string]value{},
	}
	for _, row := range t.settings {
		v.values[row.Name()] = value{
			text:   row.def,
			source: fromDefault,
		}
	}
	faults, err := v.readFile(s.file)
	if err != nil {
		return nil, err
	}
	faults = append(faults, v.readEnvironment(s.environment)...)
	faults = append(faults, v.readFlags(s.flags)...)
	faults = append(faults, v.check()...)
	if len(faults) == 0 && t.crossCheck != nil {
		// Cross-checks assume that each setting is valid by itself.
		faults = t.crossCheck(v)
	}
	if err := faultsError(faults); err != nil {
		return nil, err
	}
	return v, nil
}

func (v *Values) readFile(path string) ([]Fault, error) {
	if path == "" {
		return nil, nil
	}
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
	}, path)
	if err != nil {
		return nil, errors.Wrapf(ErrSettings, "%s: %v", path, err)
	}
	var faults []Fault
	for _, section := range f.Sections() {
		for _, key := range section.Keys() {
			faults = append(faults, v.readFileKey(path, section.Name(), key)...)
		}
	}
	return faults, nil
}

func (v *Values) readFileKey(path, section string, key *ini.Key) []Fault {
	fault := Fault{
		source:  path,
		section: section,
		key:     key.Name(),
	}
	s, ok := v.table.find(section, key.Name())
	if !ok {
		fault.value = "is not a setting of " + v.table.role
		fault.allowed = strings.Join(v.table.names(section), ", ")
		return []Fault{fault}
	}
	all := key.ValueWithShadows()
	if len(all) > 1 {
		fault.value = fmt.Sprintf("is given %d times", len(all))
		fault.allowed = "one value"
		return []Fault{fault}
	}
	v.values[s.Name()] = value{
		text:   key.Value(),
		source: path,
	}
	return nil
}

// names returns the keys of a section, or all sections if the section is unknown.
func (t Table) names(section string) []string {
	var keys, sections []string
	for _, s := range t.settings {
		if s.section == section {
			keys = append(keys, s.key)
		}
		if len(sections) == 0 || sections[len(sections)-1] != "["+s.section+"]" {
			sections = append(sections, "["+s.section+"]")
		}
	}
	if len(keys) > 0 {
		return keys
	}
	return sections
}

func (v *Values) readEnvironment(environment []string) []Fault {
	var faults []Fault
	for _, e := range environment {
		name, text, _ := strings.Cut(e, "=")
		if !strings.HasPrefix(name, environmentPrefix) || commandVariables[name] {
			continue
		}
		found := false
		for _, s := range v.table.settings {
			if s.Environment() == name {
				found = true
				v.values[s.Name()] = value{
					text:   text,
					source: fromEnvironment + " " + name,
				}
			}
		}
		if !found {
			faults = append(faults, Fault{
				source:  fromEnvironment,
				section: "",
				key:     name,
				value:   "is not a setting of " + v.table.role,
				allowed: "see docs/settings.md",
			})
		}
	}
	sort.Slice(faults, func(i, j int) bool { return faults[i].key < faults[j].key })
	return faults
}

func (v *Values) readFlags(flags map[string]string) []Fault {
	for _, s := range v.table.settings {
		if text, ok := flags[s.flag]; ok {
			v.values[s.Name()] = value{
				text:   text,
				source: fromFlag + " --" + s.flag,
			}
		}
	}
	return nil
}

func (v *Values) check() []Fault {
	var faults []Fault
	for _, s := range v.table.settings {
		x := v.values[s.Name()]
		if s.check(x.text) {
			continue
		}
		f := v.fault(s, s.allowed)
		if x.text == "" && s.required {
			f.value = "is missing"
			f.source = "not set"
		}
		faults = append(faults, f)
	}
	return faults
}

// fault returns the fault of a setting with its current value.
func (v *Values) fault(s Setting, allowed string) Fault {
	x := v.values[s.Name()]
	return Fault{
		source:  x.source,
		section: s.section,
		key:     s.key,
		value:   strconv.Quote(s.redacted(x.text)),
		allowed: allowed,
	}
}
