// Package setting reads the settings of a process.
//
// Each role has one table of settings with key, unit, default, allowed values and
// meaning. The table drives the reading of the INI file, environment and flags,
// the checks, and the documentation. Settings are checked as a whole before a
// process starts anything, and every fault is reported at once.
package setting

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Setting is one row of a table.
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

// Section is the section of the INI file.
func (s Setting) Section() string {
	return s.section
}

// Key is the key within the section.
func (s Setting) Key() string {
	return s.key
}

// Name is section and key as one word.
func (s Setting) Name() string {
	return s.section + "." + s.key
}

// Flag is the command line flag that overrides file and environment.
func (s Setting) Flag() string {
	return s.flag
}

// Environment is the variable that overrides the file.
func (s Setting) Environment() string {
	return environmentPrefix + strings.ToUpper(s.section+"_"+s.key)
}

// Unit is the unit of a number, empty for none.
func (s Setting) Unit() string {
	return s.unit
}

// Default is the value without file, environment and flag.
func (s Setting) Default() string {
	return s.def
}

// Required tells that there is no default.
func (s Setting) Required() bool {
	return s.required
}

// Allowed says which values are allowed.
func (s Setting) Allowed() string {
	return s.allowed
}

// Text says what the setting is for.
func (s Setting) Text() string {
	return s.text
}

// shown is the value without what must stay secret.
func (s Setting) shown(value string) string {
	if s.redact == nil {
		return value
	}
	return s.redact(value)
}

// orEmpty accepts the empty value too, for a part that a process may lack.
func (s Setting) orEmpty() Setting {
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

// word makes the value a name without blanks.
func (s Setting) word() Setting {
	s.required = true
	s.allowed = "a name of 1 to 64 letters, digits, and the characters - _ ."
	s.check = func(v string) bool {
		return v != "" && len(v) <= 64 && strings.Trim(v, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == ""
	}
	return s
}

// address makes the value a host and a port.
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

// addresses makes the value a list of hosts and ports.
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

// url makes the value an HTTP address. A password in it is never shown.
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

// path makes the value the name of a file, which is read when the process starts.
func (s Setting) path() Setting {
	s.required = true
	s.allowed = "a file name"
	s.check = func(v string) bool { return v != "" && !strings.ContainsRune(v, 0) }
	return s
}

// number makes the value a whole number.
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

// choice makes the value one of a list; the first is the default.
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

// Table is all settings of a role.
type Table struct {
	role     string
	settings []Setting
	whole    func(*Values) []Fault
}

// Role is the subcommand that reads the settings.
func (t Table) Role() string {
	return t.role
}

// Settings lists the rows in the order of the documentation.
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

// Fault is one setting that is not allowed.
type Fault struct {
	source  string
	section string
	key     string
	value   string
	allowed string
}

// String names source, section, key, the value and what is allowed.
func (f Fault) String() string {
	return f.source + ": [" + f.section + "] " + f.key + ": " + f.value + ", allowed: " + f.allowed
}

// ErrSettings reports settings that are not allowed.
var ErrSettings = errors.New("settings are not allowed")

// faultsError joins all faults to one error, one fault a line.
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
