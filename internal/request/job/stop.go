package job

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/answer"
)

// Stop ends the job for a reason outside its tasks, such as a cancellation. The
// job is answered at once if it is known whether something ran. Otherwise it
// waits for the confirmations of the agents. Stop reports whether the job was
// answered.
func (j *Job) Stop(reason answer.Reason, detail string, retryAfter time.Duration) bool {
	if j.answer.Ended() || j.stop != nil {
		return false
	}
	j.stop = &stop{
		reason:     reason,
		detail:     detail,
		retryAfter: retryAfter,
	}
	return j.tryAnswerStop()
}

// tryAnswerStop answers a stopped job if it is known whether something ran, and
// reports whether it did.
func (j *Job) tryAnswerStop() bool {
	if j.stop == nil || j.answer.Ended() {
		return false
	}
	switch {
	case j.ran > 0:
		j.fail(j.stop.reason, j.stop.detail)
	case j.open > 0:
		return false
	case j.unknown > 0 || j.historyUnknown:
		j.fail(j.stop.reason, j.stop.detail)
	default:
		j.answer = answer.NotRun(j.stop.reason, j.stop.detail, j.stop.retryAfter)
		j.releaseMemory()
	}
	return true
}

// Abandon answers a job without further waiting for confirmations. It reports
// whether the job was answered by the call.
func (j *Job) Abandon(reason answer.Reason, detail string) bool {
	if j.answer.Ended() {
		return false
	}
	if j.stop != nil {
		reason, detail = j.stop.reason, j.stop.detail
	}
	j.historyUnknown = true
	j.fail(reason, detail)
	return true
}

// MarkHistoryUnknown notes that the key may have starts that this owner does not
// know of. The job can then no longer be refused as not run.
func (j *Job) MarkHistoryUnknown() {
	j.historyUnknown = true
}

// ConfirmRevocation applies the state that an agent reports for one of its tasks
// after a revocation.
func (j *Job) ConfirmRevocation(index uint32, agent identity.Process, s outcome.State) Step {
	if !j.IsOpenAt(index, agent) {
		return Ignored
	}
	switch s {
	case outcome.Revoked:
		return j.NotStarted(index, agent)
	case outcome.Running:
		// The task stays open, since its result still follows.
		if j.stop == nil || j.answer.Ended() {
			return Progress
		}
		j.fail(j.stop.reason, j.stop.detail)
		j.answer = answer.Failure(j.stop.reason, j.stop.detail, answer.RanSomething)
		return Ended
	}
	if j.stop == nil && !j.answer.Ended() {
		// The result follows in a separate message.
		return Progress
	}
	j.close(index, ended)
	return j.applyResult(index, outcome.Of(s, nil, "", 0))
}

// RecoveredTask is the state of one task according to the start records of agents.
type RecoveredTask struct {
	agent  identity.Process
	result outcome.Result
	starts uint8
}

// NewRecoveredTask returns the state according to one record.
func NewRecoveredTask(agent identity.Process, r outcome.Result) RecoveredTask {
	return RecoveredTask{
		agent:  agent,
		result: r,
		starts: 1,
	}
}

// Result returns the result of the record with the highest precedence.
func (t RecoveredTask) Result() outcome.Result {
	return t.result
}

// Agent returns the agent of the record with the highest precedence.
func (t RecoveredTask) Agent() identity.Process {
	return t.agent
}

// precedence ranks the records of one task. Another start is made only after the
// previous one failed or was revoked, so these two states rank lowest.
func precedence(s outcome.State) int {
	switch s {
	case outcome.Succeeded:
		return 4
	case outcome.Running:
		return 3
	case outcome.Unknown:
		return 2
	case outcome.Failed:
		return 1
	}
	return 0
}

// Merge combines the records of two agents about one task.
func (t RecoveredTask) Merge(other RecoveredTask) RecoveredTask {
	n := t.starts + other.starts
	if t.agent == other.agent {
		n = max(t.starts, other.starts)
	}
	if precedence(other.result.State()) >= precedence(t.result.State()) {
		t = other
	}
	t.starts = n
	return t
}

// Adopt applies what agents recorded under a previous owner, before the job is
// dispatched. If historyUnknown is set, records may be missing, and tasks without
// a record fail the job, since they may have run. Adopt reports whether the job
// ended.
func (j *Job) Adopt(recovered map[uint32]RecoveredTask, historyUnknown bool) bool {
	j.historyUnknown = j.historyUnknown || historyUnknown
	revoked := false
	var failed, unknown *outcome.Result
	for i := range j.tasks {
		t, ok := recovered[uint32(i)]
		if !ok {
			continue
		}
		r := t.result
		switch r.State() {
		case outcome.Revoked:
			revoked = true
			continue
		case outcome.Failed:
			failed = &r
		case outcome.Unknown:
			unknown = &r
		}
		j.adopt(uint32(i), t)
	}
	switch {
	case failed != nil:
		j.fail(answer.TaskFailed, failed.Detail())
	case unknown != nil:
		j.fail(answer.OutcomeUnknown, unknown.Detail())
	case j.resultBytes > MaxResultBytes:
		j.tooLarge()
	case j.remaining == 0:
		j.complete()
	case revoked:
		j.fail(answer.Cancelled, "a former owner revoked the submission's tasks")
	case historyUnknown && j.WaitingTasks() > 0:
		j.fail(answer.OutcomeUnknown, "records of the submission may be lost")
	}
	return j.answer.Ended()
}

func (j *Job) adopt(index uint32, t RecoveredTask) {
	j.assign(index, t.agent)
	j.tasks[index].starts = t.starts
	switch t.result.State() {
	case outcome.Running:
		return
	case outcome.Unknown:
		j.unknown++
	default:
		j.ran++
	}
	j.close(index, ended)
	if t.result.State() == outcome.Succeeded {
		j.succeed(index, t.result.Body())
	}
}
