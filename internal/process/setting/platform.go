package setting

import (
	"fmt"
	"strings"
)

// platformCommon returns the settings of every process on the users' platform.
func platformCommon() []Setting {
	return []Setting{
		row("process", "name", "name", "The name of the process. Unique in the installation; a process that is started again keeps it.").identifier(),
		row("process", "availability_zone", "zone", "The availability zone that the process stands in.").identifier(),
		row("listen", "link", "link", "Where other processes reach this one. The port is the same on all hosts, since agents find entries by it.").address(),
		row("listen", "advertised", "advertised", "The address that others use to reach the link, where it differs, as behind a proxy; empty for the link itself.").address().optional(),
		row("listen", "metrics", "metrics", "Where metrics and the state dump are served; empty for nowhere.").address().optional(),
		row("peers", "seeds", "seeds", "Addresses of hosts of entries, joined by commas, to start from; their ports are passed over. May be stale.").addresses().optional(),
		row("store", "address", "store", "The platform's key-value store.").address(),
		row("store", "timeout_ms", "store-timeout-ms", "How long one call of the store may take.").number(1000, 10, 60_000, "ms"),
		row("limits", "memory_mb", "memory-mb", "The memory that the process may use; the garbage collector works harder close to it.").number(128, 32, 1<<20, "MB"),
		row("limits", "descriptors", "descriptors", "The descriptors that the process may open, for files, listeners and connections; 0 if only memory bounds the connections.").number(0, 0, 1<<20, "descriptors"),
		row("times", "max_lease_ms", "max-lease-ms", "The longest lease that targets grant to what they run.").number(1000, 200, 60_000, "ms"),
		row("times", "grace_s", "grace-s", "The time that a process has to end after SIGTERM.").number(6, 1, 600, "s"),
	}
}

// PlatformEntry returns the settings of an entry on the users' platform.
func PlatformEntry() Table {
	return Table{
		role: "platform entry",
		settings: append(platformCommon(),
			row("listen", "callers", "callers", "Where callers reach this entry by HTTP.").address(),
			row("listen", "readiness", "readiness", "Where the load balancer asks whether the entry takes callers.").address(),
			row("times", "config_apply_ms", "config-apply-ms", "The time in which a confirmed configuration must be in force everywhere. An entry that knows for half of it of a version that it lacks refuses new jobs.").number(2000, 200, 600_000, "ms"),
			row("times", "evacuate_ms", "evacuate-ms", "The time in which no more work may start in an availability zone whose evacuation was confirmed; 0 or empty where none is ever evacuated, so that requests for it are not read.").number(0, 0, 600_000, "ms").optional(),
			row("placement", "remote_factor", "remote-factor", "How many times as long a task takes on another rack than the one with its data. Empty for the default.").decimal(1.5, 1, 10, "").optional(),
			row("placement", "wait_for_rack", "wait-for-rack", "Whether a task may wait for a place on the rack with its data while there is room elsewhere.").choice("on", "off"),
		),
		crossCheck: checkPlatform,
	}
}

// PlatformAgent returns the settings of an agent on the users' platform.
func PlatformAgent() Table {
	return Table{
		role: "platform agent",
		settings: append(platformCommon(),
			row("listen", "reports", "reports", "Where the target on this host reports its state.").address(),
		),
		crossCheck: checkPlatform,
	}
}

// minDescriptors is the least with which each listener gets connections and the process
// its own files.
const minDescriptors = 64

func checkPlatform(v *Values) []Fault {
	faults := distinctListeners(v)
	if n := v.Number("limits", "descriptors"); n > 0 && n < minDescriptors {
		faults = append(faults, v.invalid("limits", "descriptors", fmt.Sprintf("0 or at least %d", minDescriptors))...)
	}
	return faults
}

// distinctListeners reports listeners with the same address.
func distinctListeners(v *Values) []Fault {
	var faults []Fault
	seen := map[string]string{}
	for _, s := range v.table.settings {
		address := v.Text(s.section, s.key)
		if s.section != "listen" || s.key == "advertised" || address == "" || strings.HasSuffix(address, ":0") {
			continue
		}
		if other, ok := seen[address]; ok {
			faults = append(faults, v.invalid(s.section, s.key, "an address other than "+other)...)
		}
		seen[address] = s.Name()
	}
	return faults
}
