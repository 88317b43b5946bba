package agent

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// maxRevoked limits the stored revocations. The oldest are dropped first. A start
// that was sent before a dropped revocation is still rejected once its credit is older
// than MaxCreditAge.
const maxRevoked = 65_536

// revocations is the set of revoked submissions with their order.
type revocations struct {
	at    map[identity.Submission]time.Time
	order []revocation
}

type revocation struct {
	submission identity.Submission
	at         time.Time
}

func newRevocations() revocations {
	return revocations{
		at: map[identity.Submission]time.Time{},
	}
}

func (r *revocations) has(s identity.Submission) bool {
	_, ok := r.at[s]
	return ok
}

func (r *revocations) add(now time.Time, s identity.Submission) {
	if r.has(s) {
		return
	}
	if len(r.order) >= maxRevoked {
		r.pop()
	}
	r.at[s] = now
	r.order = append(r.order, revocation{
		submission: s,
		at:         now,
	})
}

func (r *revocations) pop() {
	delete(r.at, r.order[0].submission)
	r.order[0] = revocation{}
	r.order = r.order[1:]
}

func (r *revocations) expire(now time.Time, keep time.Duration) {
	for len(r.order) > 0 && now.Sub(r.order[0].at) >= keep {
		r.pop()
	}
}

// revoke rejects all later starts of the submissions, stops their tasks on the worker
// and replies with the states of their recorded tasks. A submission whose shard has a
// newer owner is skipped and is absent from the reply.
func (a *Agent) revoke(now time.Time, owner identity.Process, m message.Revoke) {
	var done []identity.Submission
	var tasks []message.TaskState
	for n, s := range m.Submissions() {
		if n >= len(m.Grants()) || !a.ledger.RaiseEpoch(m.Grants()[n].Shard(), m.Grants()[n].Epoch()) {
			continue
		}
		a.owners[m.Grants()[n].Shard()] = owner
		a.revoked.add(now, s)
		done = append(done, s)
		for _, r := range a.ledger.BySubmission(s) {
			tasks = append(tasks, message.NewTaskState(r.Task(), r.Result().State()))
			if r.Result().State() == outcome.Running {
				a.stop(r.Task())
			}
		}
	}
	a.counts.revokes++
	a.send(owner, message.NewRevoked(done, tasks))
}
