package owner

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/request/queue"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// Snapshot has the counters of an owner for the dump, which prints the names of the
// fields.
type Snapshot struct {
	leased     bool
	shards     int
	sealing    int
	gaps       int
	held       int
	live       int
	remnants   int
	waiting    [configuration.Urgencies]int
	open       int
	agents     int
	asleep     int
	ejected    int
	departed   int
	timers     int
	bytes      int
	kept       int
	oldestWait time.Duration
}

// Snapshot returns the current counters.
func (o *Owner) Snapshot(now time.Time) Snapshot {
	s := Snapshot{
		leased:   o.leased(now),
		shards:   len(o.shards),
		live:     len(o.submissions),
		remnants: len(o.recovered),
		agents:   len(o.workingSet),
		asleep:   o.stale,
		ejected:  o.ejected,
		departed: len(o.lostAgents),
		timers:   o.timers.Len(),
		bytes:    o.waiting.payloadBytes,
		kept:     o.resultBytes,
	}
	for _, sh := range o.shards {
		if !sh.ready {
			s.sealing++
		}
		if sh.unfencedAgents > 0 {
			s.gaps++
		}
		s.held += len(sh.pending)
	}
	for _, svc := range o.services {
		s.open += svc.open
		for c := queue.Class(0); c < queue.Classes; c++ {
			n, oldest := svc.queue.Waiting(now, c)
			s.waiting[c.Urgency()] += n
			s.oldestWait = max(s.oldestWait, oldest)
		}
	}
	return s
}

// Leased reports whether the membership lease is valid.
func (s Snapshot) Leased() bool {
	return s.leased
}

// Shards returns the number of owned shards.
func (s Snapshot) Shards() int {
	return s.shards
}

// FencingShards returns the number of shards that are still being fenced.
func (s Snapshot) FencingShards() int {
	return s.sealing
}

// ShardsMissingRecords returns the number of shards for which an agent that may be
// alive has not sent its records.
func (s Snapshot) ShardsMissingRecords() int {
	return s.gaps
}

// PendingRequests returns the number of requests that wait until a shard is fenced.
func (s Snapshot) PendingRequests() int {
	return s.held
}

// Submissions returns the number of kept submissions, including ended ones.
func (s Snapshot) Submissions() int {
	return s.live
}

// Recovered returns the number of submissions that are known only from the records
// of agents.
func (s Snapshot) Recovered() int {
	return s.remnants
}

// Waiting returns the number of waiting tasks of an urgency.
func (s Snapshot) Waiting(u configuration.Urgency) int {
	return s.waiting[u]
}

// OldestWait returns the wait of the oldest waiting task.
func (s Snapshot) OldestWait() time.Duration {
	return s.oldestWait
}

// Open returns the number of starts without a result.
func (s Snapshot) Open() int {
	return s.open
}

// Agents returns the size of the working set.
func (s Snapshot) Agents() int {
	return s.agents
}

// StaleAgents returns the number of agents of the working set without a fresh
// credit.
func (s Snapshot) StaleAgents() int {
	return s.asleep
}

// EjectedEndpoints returns the number of ejected endpoints.
func (s Snapshot) EjectedEndpoints() int {
	return s.ejected
}

// LostAgents returns the number of lost agents that are still tracked.
func (s Snapshot) LostAgents() int {
	return s.departed
}

// Timers returns the number of armed timers.
func (s Snapshot) Timers() int {
	return s.timers
}

// WaitingBytes returns the size of the payloads of jobs in the queues.
func (s Snapshot) WaitingBytes() int {
	return s.bytes
}

// ResultBytes returns the size of the results that are kept for resubmissions.
func (s Snapshot) ResultBytes() int {
	return s.kept
}
