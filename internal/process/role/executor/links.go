package executor

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
)

const (
	// MinLinks is the number of entries that an agent is connected to if these have enough
	// agents.
	MinLinks = 8
	// maxLinks bounds what odd counts of entries can lead to.
	maxLinks = 1024
	// wantedAgents is the number of agents of a service that an entry should be connected
	// to, and scarceAgents and ampleAgents when that leads to a change. A wide job needs
	// the targets of several agents, and entries must not crowd on the same ones.
	wantedAgents = 24
	scarceAgents = 16
	ampleAgents  = 48
	// linksReview is the time between two reviews, in which new connections show in the
	// counts.
	linksReview = 3 * time.Second
)

// links decides how many entries the agent is connected to. Where few targets run a
// service, MinLinks connections of each agent leave some entries without any of them, so
// that they refuse jobs that others would serve.
type links struct {
	wanted   int
	reviewed time.Duration
}

// reviewLinks changes the number by how many agents of the service the entries have.
func (s *StateMachine) reviewLinks(now time.Duration) {
	l := &s.links
	if len(s.sessions) == 0 {
		l.reviewed = now
		return
	}
	if now-l.reviewed < linksReview {
		return
	}
	l.reviewed = now
	entries, agents := 0, 0
	for _, sess := range s.sessions {
		if sess.serviceAgents > 0 {
			entries++
			agents += sess.serviceAgents
		}
	}
	if entries > 0 && (agents < scarceAgents*entries || agents > ampleAgents*entries) {
		// Counts of all entries rise with the number of connections of each agent.
		wanted := min(max((l.wanted*wantedAgents*entries+agents-1)/agents, MinLinks), maxLinks)
		if wanted != l.wanted {
			s.logEvent(event.LinksResized, event.F("links", wanted), event.F("before", l.wanted),
				event.F("entries", entries), event.F("agents_of_each", agents/entries))
		}
		l.wanted = wanted
	}
	s.out.links = l.wanted
}
