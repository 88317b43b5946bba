package owner

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/request/queue"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// Snapshot is a count of the owner's state for the dump. It holds no payloads.
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

// Snapshot counts the owner's state.
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

// Leased tells whether the membership lease is valid.
func (s Snapshot) Leased() bool {
	return s.leased
}

// Shards is the number of shards owned.
func (s Snapshot) Shards() int {
	return s.shards
}

// FencingShards is the number of shards that are not ready yet.
func (s Snapshot) FencingShards() int {
	return s.sealing
}

// ShardsMissingRecords is the number of shards of which an agent that may be alive has not sent
// its records.
func (s Snapshot) ShardsMissingRecords() int {
	return s.gaps
}

// PendingRequests is the number of requests that wait for a shard to be sealed.
func (s Snapshot) PendingRequests() int {
	return s.held
}

// Submissions is the number of submissions kept, ended ones included.
func (s Snapshot) Submissions() int {
	return s.live
}

// Recovered is the number of submissions known from agents' records only.
func (s Snapshot) Recovered() int {
	return s.remnants
}

// Waiting is the number of tasks of an urgency that wait.
func (s Snapshot) Waiting(u configuration.Urgency) int {
	return s.waiting[u]
}

// OldestWait is the wait of the oldest waiting task.
func (s Snapshot) OldestWait() time.Duration {
	return s.oldestWait
}

// Open is the number of starts without a result.
func (s Snapshot) Open() int {
	return s.open
}

// Agents is the size of the working set.
func (s Snapshot) Agents() int {
	return s.agents
}

// StaleAgents is the number of agents of the set without a fresh credit.
func (s Snapshot) StaleAgents() int {
	return s.asleep
}

// EjectedAgents is the number of ejected agents.
func (s Snapshot) EjectedAgents() int {
	return s.ejected
}

// LostAgents is the number of lost agents that are remembered.
func (s Snapshot) LostAgents() int {
	return s.departed
}

// Timers is the number of armed timers.
func (s Snapshot) Timers() int {
	return s.timers
}

// WaitingBytes is the size of the payloads of jobs in the queues.
func (s Snapshot) WaitingBytes() int {
	return s.bytes
}

// ResultBytes is the size of the results kept for resubmissions.
func (s Snapshot) ResultBytes() int {
	return s.kept
}
