package server

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/dump"
	"greengagedoor.example/greengagedoor/internal/process/subset"
)

// dumpTimeout is how long a dump waits for the duty that keeps the connections.
const dumpTimeout = time.Second

// section returns the part of the dump on connections to entries.
func (l *links) section() (dump.Section, error) {
	return dump.NewSection("links", "The known entries: whether they are connected, why, and since when.", func() []string {
		return askLines(l.ring)
	})
}

// lines describes the known entries, the connected ones first.
func (l *links) lines(now time.Time) []string {
	var open, others []string
	for _, a := range slices.Sorted(maps.Keys(l.endpoints)) {
		p := l.endpoints[a]
		text := fmt.Sprintf("%s zone=%s reason=%s", a, p.member.Zone(), l.reason(p, now))
		if p.open {
			open = append(open, fmt.Sprintf("%s open_ms=%d", text, now.Sub(p.openedAt).Milliseconds()))
			continue
		}
		others = append(others, fmt.Sprintf("%s closed failures=%d announced_ms=%d", text, p.failures, now.Sub(p.lastSeen).Milliseconds()))
	}
	return append(open, others...)
}

// reason says why an entry is, or is not, to be connected.
func (l *links) reason(p *endpoint, now time.Time) string {
	switch {
	case p.released:
		return "released"
	case l.choice.Dial(p.address) && p.state(now, l.settleTime(now)) == subset.StateFailing:
		return "chosen_failing"
	case l.choice.Dial(p.address):
		return "chosen"
	case l.chosenBy[p.address]:
		return "chosen_by_it"
	case p.open && l.choice.Keep(p.address):
		return "kept_until_others_settle"
	}
	return "not_chosen"
}
