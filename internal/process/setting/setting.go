// Package setting reads and checks the settings of a process.
//
// Each role has one table of settings with key, unit, default, allowed values and
// meaning. Parsing of the INI file, the environment and flags, the checks and the
// documentation all use this table. All settings are checked before a process
// starts any component, and all faults are reported together.
package setting

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Setting describes one setting of a table.
type Setting struct {
	section  string
	key      string
	flag     string
	unit     string
	def      string
	required bool
	allowed  string
	text     string
	check    func(string) bool
	redact   func(string) string
}

// Section returns the section in the INI file.
func (s Setting) Section() string {
	return s.section
}

// Key returns the key within the section.
func (s Setting) Key() string {
	return s.key
}

// Name returns section.key.
func (s Setting) Name() string {
	return s.section + "." + s.key
}

// Flag returns the command line flag, which overrides file and environment.
func (s Setting) Flag() string {
	return s.flag
}

// Environment returns the environment variable, which overrides the file.
func (s Setting) Environment() string {
	return environmentPrefix + strings.ToUpper(s.section+"_"+s.key)
}

// Unit returns the unit of a number, or an empty string if it has none.
func (s Setting) Unit() string {
	return s.unit
}

// Default returns the value that applies if no source sets the setting.
func (s Setting) Default() string {
	return s.def
}

// Required reports whether the setting must be set.
func (s Setting) Required() bool {
	return s.required
}

// Allowed returns a description of the allowed values.
func (s Setting) Allowed() string {
	return s.allowed
}

// Text returns what the setting is for.
func (s Setting) Text() string {
	return s.text
}

// redacted returns the value with secrets removed.
func (s Setting) redacted(value string) string {
	if s.redact == nil {
		return value
	}
	return s.redact(value)
}

// optional also accepts the empty value, for a component that a process may not
// have.
func (s Setting) optional() Setting {
	check := s.check
	s.required = false
	s.allowed += ", or empty"
	s.check = func(v string) bool { return v == "" || check(v) }
	return s
}

func row(section, key, flag, text string) Setting {
	return Setting{
		section: section,
		key:     key,
		flag:    flag,
		text:    text,
	}
}

// identifier restricts the value to a name without blanks.
func (s Setting) identifier() Setting {
	s.required = true
	s.allowed = "a name of 1 to 64 letters, digits, and the characters - _ ."
	s.check = func(v string) bool {
		return v != "" && len(v) <= 64 && strings.Trim(v, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == ""
	}
	return s
}

// address restricts the value to ip:port.
func (s Setting) address() Setting {
	s.required = true
	s.allowed = "ip:port"
	s.check = func(v string) bool {
		host, port, err := net.SplitHostPort(v)
		if err != nil || net.ParseIP(host) == nil {
			return false
		}
		_, err = strconv.ParseUint(port, 10, 16)
		return err == nil
	}
	return s
}

// addresses restricts the value to a comma-separated list of ip:port.
func (s Setting) addresses() Setting {
	one := s.address()
	s.required = true
	s.allowed = "ip:port, joined by commas"
	s.check = func(v string) bool {
		for _, a := range strings.Split(v, ",") {
			if !one.check(strings.TrimSpace(a)) {
				return false
			}
		}
		return true
	}
	return s
}

// url restricts the value to an HTTP URL. Lines and faults redact its password
// and query.
func (s Setting) url() Setting {
	s.required = true
	s.allowed = "http://host:port or https://host:port"
	s.check = func(v string) bool {
		u, err := url.Parse(v)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	}
	s.redact = redactURL
	return s
}

func redactURL(v string) string {
	u, err := url.Parse(v)
	if err != nil {
		return "(malformed)"
	}
	if u.User != nil {
		u.User = url.User("redacted")
	}
	if u.RawQuery != "" {
		u.RawQuery = "redacted"
	}
	return u.String()
}

// path restricts the value to a file name. The file is read when the process starts.
func (s Setting) path() Setting {
	s.required = true
	s.allowed = "a file name"
	s.check = func(v string) bool { return v != "" && !strings.ContainsRune(v, 0) }
	return s
}

// number restricts the value to a whole number from low to high.
func (s Setting) number(def, low, high int64, unit string) Setting {
	s.def = strconv.FormatInt(def, 10)
	s.unit = unit
	s.allowed = strconv.FormatInt(low, 10) + " to " + strconv.FormatInt(high, 10)
	s.check = func(v string) bool {
		n, err := strconv.ParseInt(v, 10, 64)
		return err == nil && n >= low && n <= high
	}
	return s
}

// decimal restricts the value to a number from low to high that may have a fraction.
func (s Setting) decimal(def, low, high float64, unit string) Setting {
	s.def = strconv.FormatFloat(def, 'f', -1, 64)
	s.unit = unit
	s.allowed = strconv.FormatFloat(low, 'f', -1, 64) + " to " + strconv.FormatFloat(high, 'f', -1, 64) + ", with or without a fraction"
	s.check = func(v string) bool {
		n, err := strconv.ParseFloat(v, 64)
		return err == nil && n >= low && n <= high
	}
	return s
}

// choice restricts the value to a list; the first one is the default.
func (s Setting) choice(values ...string) Setting {
	s.def = values[0]
	s.allowed = strings.Join(values, ", ")
	s.check = func(v string) bool {
		for _, allowed := range values {
			if v == allowed {
				return true
			}
		}
		return false
	}
	return s
}

// Table lists all settings of a role, with a check across several settings.
type Table struct {
	role       string
	settings   []Setting
	crossCheck func(*Values) []Fault
}

// Role returns the subcommand that uses the settings.
func (t Table) Role() string {
	return t.role
}

// Settings returns the settings in the order of the documentation.
func (t Table) Settings() []Setting {
	return append([]Setting(nil), t.settings...)
}

func (t Table) find(section, key string) (Setting, bool) {
	for _, s := range t.settings {
		if s.section == section && s.key == key {
			return s, true
		}
	}
	return Setting{}, false
}

// Fault describes one invalid setting.
type Fault struct {
	source  string
	section string
	key     string
	value   string
	allowed string
}

// String formats the fault as source, section, key, value and allowed values.
func (f Fault) String() string {
	return f.source + ": [" + f.section + "] " + f.key + ": " + f.value + ", allowed: " + f.allowed
}

// ErrSettings is wrapped by the error for invalid settings.
var ErrSettings = errors.New("invalid settings")

// faultsError returns one error with a line per fault, or nil if there is none.
func faultsError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	var lines []string
	for _, f := range faults {
		lines = append(lines, f.String())
	}
	return fmt.Errorf("%w, %d faults:\n%s", ErrSettings, len(faults), strings.Join(lines, "\n"))
}
