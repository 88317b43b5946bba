package setting

import (
	"fmt"
	"strings"
)

// common returns the settings of every process.
func common() []Setting {
	return []Setting{
		row("process", "name", "name", "The process id. Unique in the installation; a process that is started again keeps it.").identifier(),
		row("process", "availability_zone", "zone", "The availability zone that the process stands in.").identifier(),
		row("process", "region", "region", "The region that the process stands in, counted from 0.").number(0, 0, 15, ""),
		row("process", "region_count", "regions", "The number of regions of the installation.").number(1, 1, 16, "regions"),
		row("process", "shard_count", "shards", "The number of shards. Fixed for an installation and the same in every process.").number(1024, 1, 65_536, "shards"),
		row("process", "cell", "cell", "The cell of agents that the process belongs to; empty for the first of the availability zone with room.").identifier().optional(),
		row("process", "cell_size", "cell-size", "The number of agents that a cell takes.").number(36, 1, 200, "agents"),
		row("listen", "link", "link", "Where other processes reach this one. The address must be the one that they use; port 0 lets the system choose.").address(),
		row("listen", "http", "http", "Where callers, operators and targets reach this process by HTTP.").address(),
		row("store", "url", "store", "The key-value service.").url(),
		row("store", "timeout_ms", "store-timeout-ms", "How long one call of the key-value service may take.").number(2000, 10, 60_000, "ms"),
		row("log", "format", "log-format", "The format of the log on standard error.").choice("text", "json"),
		row("log", "level", "log-level", "The least severe lines that are logged; debug has a line for each task.").choice("info", "debug", "warn", "error"),
		row("tls", "http_certificate", "http-certificate", "The certificate of the HTTP listener in PEM, read again when it changes; empty for plain HTTP.").path().optional(),
		row("tls", "http_key", "http-key", "The key of the certificate of the HTTP listener in PEM.").path().optional(),
		row("tls", "link_certificate", "link-certificate", "The certificate of the links between processes in PEM, for the IP number of listen.link, read again when it changes; empty for plain links.").path().optional(),
		row("tls", "link_key", "link-key", "The key of the certificate of the links in PEM.").path().optional(),
		row("tls", "link_authorities", "link-authorities", "The authorities in PEM that certify the processes at the other end of links.").path().optional(),
	}
}

// Entry returns the settings of the entry role.
func Entry() Table {
	return Table{
		role: "entry",
		settings: append(common(),
			row("access", "mode", "access", "Whether callers and operators need a bearer token; auto needs one unless listen.http is on loopback.").choice("auto", "on", "off"),
		),
		crossCheck: checkCommon,
	}
}

// Agent returns the settings of the agent role.
func Agent() Table {
	return Table{
		role: "agent",
		settings: append(common(),
			row("worker", "pool_url", "pool", "The worker pool; empty on a node without worker.").url().optional(),
			row("worker", "name", "worker", "The worker of this node as the pool names it; empty on a node without worker.").identifier().optional(),
			row("worker", "rack", "rack", "The rack of the worker. The tasks of a job are spread over racks.").identifier().optional(),
			row("worker", "milli_cores", "milli-cores", "What the worker has for tasks.").number(0, 0, 1_024_000, "thousandths of a core"),
			row("worker", "memory_bytes", "memory-bytes", "What the worker has for tasks.").number(0, 0, 1<<44, "bytes"),
			row("worker", "accelerators", "accelerators", "What the worker has for tasks.").number(0, 0, 64, "accelerators"),
		),
		crossCheck: checkAgent,
	}
}

// Tables returns the tables of all roles.
func Tables() []Table {
	return []Table{Agent(), Entry(), PlatformAgent(), PlatformEntry()}
}

func (v *Values) invalid(section, key, allowed string) []Fault {
	s, _ := v.table.find(section, key)
	return []Fault{v.fault(s, allowed)}
}

func checkCommon(v *Values) []Fault {
	var faults []Fault
	if v.Number("process", "region") >= v.Number("process", "region_count") {
		faults = append(faults, v.invalid("process", "region", "less than process.region_count")...)
	}
	if v.Number("process", "shard_count") < v.Number("process", "region_count") {
		faults = append(faults, v.invalid("process", "shard_count", "at least process.region_count")...)
	}
	link := v.Text("listen", "link")
	if link == v.Text("listen", "http") && !strings.HasSuffix(link, ":0") {
		faults = append(faults, v.invalid("listen", "http", "an address other than listen.link")...)
	}
	for _, pair := range [][2]string{{"http_certificate", "http_key"}, {"link_certificate", "link_key"}, {"link_certificate", "link_authorities"}} {
		if (v.Text("tls", pair[0]) == "") != (v.Text("tls", pair[1]) == "") {
			faults = append(faults, v.invalid("tls", pair[1], "set together with tls."+pair[0]+", or neither")...)
		}
	}
	return faults
}

func checkAgent(v *Values) []Fault {
	faults := checkCommon(v)
	name := v.Text("worker", "name")
	if (name == "") != (v.Text("worker", "pool_url") == "") {
		faults = append(faults, v.invalid("worker", "name", "set together with worker.pool_url, or neither")...)
	}
	if name == "" {
		return faults
	}
	if v.Text("worker", "rack") == "" {
		faults = append(faults, v.invalid("worker", "rack", "a rack, since the node has a worker")...)
	}
	if v.Number("worker", "milli_cores") == 0 {
		faults = append(faults, v.invalid("worker", "milli_cores", "at least 1, since the node has a worker")...)
	}
	if v.Number("worker", "memory_bytes") == 0 {
		faults = append(faults, v.invalid("worker", "memory_bytes", "at least 1, since the node has a worker")...)
	}
	return faults
}

// Markdown returns the documentation page of all tables.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n" +
		"Each role reads an INI file (`--settings FILE`). An environment variable overrides\n" +
		"the file, and a flag overrides both. All settings are checked before anything\n" +
		"starts; every fault is reported with its source, section, key, value and what is\n" +
		"allowed, and an unknown key is a fault. `--check` only checks. Samples are in\n" +
		"`samples/`. A password in a URL is neither logged nor dumped.\n\n" +
		"The variable of a setting is `" + environmentPrefix + "SECTION_KEY`, for example\n" +
		"`GREENGAGEDOOR_STORE_URL`. `GREENGAGEDOOR_CONFIG` names the settings file of the\n" +
		"platform roles where no flag does.\n")
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
