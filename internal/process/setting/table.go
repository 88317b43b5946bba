package setting

import (
	"fmt"
	"strings"
)

// common are the settings of every process.
func common() []Setting {
	return []Setting{
		row("process", "name", "name", "The name of the process. Unique in the installation; a process that is started again keeps it.").word(),
		row("process", "availability_zone", "zone", "The availability zone that the process stands in.").word(),
		row("listen", "link", "link", "Where other processes reach this one. The port is the same on all hosts, since agents find entries by it.").address(),
		row("listen", "metrics", "metrics", "Where metrics and the state dump are served; empty for nowhere.").address().orEmpty(),
		row("peers", "seeds", "seeds", "Addresses of hosts of entries, joined by commas, to start from; their ports are passed over. May be stale.").addresses().orEmpty(),
		row("store", "address", "store", "The platform's key-value store.").address(),
		row("store", "timeout_ms", "store-timeout-ms", "How long one call of the store may take.").number(1000, 10, 60_000, "ms"),
		row("limits", "memory_mb", "memory-mb", "The memory that the process may use; the garbage collector works harder close to it.").number(128, 32, 1<<20, "MB"),
		row("times", "max_lease_ms", "max-lease-ms", "The longest lease that targets grant to what they run.").number(1000, 200, 60_000, "ms"),
		row("times", "grace_s", "grace-s", "The time that a process has to end after SIGTERM.").number(6, 1, 600, "s"),
	}
}

// Entry is the table of the entry role.
func Entry() Table {
	return Table{
		role: "entry",
		settings: append(common(),
			row("listen", "callers", "callers", "Where callers reach this entry by HTTP.").address(),
			row("listen", "readiness", "readiness", "Where the load balancer asks whether the entry takes callers.").address(),
		),
		whole: wholeCommon,
	}
}

// Agent is the table of the agent role.
func Agent() Table {
	return Table{
		role: "agent",
		settings: append(common(),
			row("listen", "reports", "reports", "Where the target on this host reports its state.").address(),
		),
		whole: wholeCommon,
	}
}

// Tables lists the tables of all roles.
func Tables() []Table {
	return []Table{Agent(), Entry()}
}

func (v *Values) wrong(section, key, allowed string) []Fault {
	s, _ := v.table.find(section, key)
	return []Fault{v.fault(s, allowed)}
}

// wholeCommon reports listeners that share an address.
func wholeCommon(v *Values) []Fault {
	var faults []Fault
	seen := map[string]string{}
	for _, s := range v.table.settings {
		address := v.Text(s.section, s.key)
		if s.section != "listen" || address == "" || strings.HasSuffix(address, ":0") {
			continue
		}
		if other, ok := seen[address]; ok {
			faults = append(faults, v.wrong(s.section, s.key, "an address other than "+other)...)
		}
		seen[address] = s.Name()
	}
	return faults
}

// Markdown is the documentation of all tables.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n" +
		"Each role reads an INI file (`--settings FILE`). An environment variable overrides\n" +
		"the file, and a flag overrides both. All settings are checked before anything\n" +
		"starts; every fault is reported with its source, section, key, value and what is\n" +
		"allowed, and an unknown key is a fault. `--check` only checks. Samples are in\n" +
		"`samples/`. A password in a URL is neither logged nor dumped.\n\n" +
		"The variable of a setting is `" + environmentPrefix + "SECTION_KEY`, for example\n" +
		"`GREENGAGEDOOR_STORE_URL`.\n")
	for _, t := range Tables() {
		fmt.Fprintf(&b, "\n## %s\n\n| section | key | flag | default | allowed | meaning |\n|---|---|---|---|---|---|\n", t.role)
		for _, s := range t.settings {
			def := s.def
			switch {
			case s.required:
				def = "required"
			case def == "":
				def = "empty"
			case s.unit != "":
				def += " " + s.unit
			}
			fmt.Fprintf(&b, "| %s | `%s` | `--%s` | %s | %s | %s |\n", s.section, s.key, s.flag, def, s.allowed, s.text)
		}
	}
	return b.String()
}
