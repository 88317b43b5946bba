// Package job tracks one submission from acceptance to its answer.
//
// Each task of a job starts at most as often as its kind permits. The job is
// complete when every task has succeeded, and failed as soon as one no longer can.
// A job that is stopped from outside is answered once the agents have confirmed
// what ran, so that a refusal that states "not run" is true. The answer is built
// once, when the job ends, so that no caller receives a partial one.
package job

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// MaxResultBytes bounds the total size of the results of one job. The answer is
// one frame of a link, and a frame has at most 16 MB.
const MaxResultBytes = 8 << 20

// ErrState is returned for a step that the task's state does not permit.
var ErrState = errors.New("task state does not permit the step")

type taskState uint8

const (
	waiting taskState = iota // Not sent to any agent, or known not to have started.
	sent                     // Sent to an agent that has not answered yet.
	ended                    // The result is known.
)

// task is one task of the job; assignee is the index of the agent it was sent to.
type task struct {
	state    taskState
	starts   uint8
	assignee uint16
	body     []byte
}

// assignee is an agent that was sent tasks, with the number of those still open.
type assignee struct {
	agent identity.Process
	open  int
}

// Step is the effect of a result, a rejection or a confirmation on its job.
type Step uint8

const (
	Ignored  Step = iota // The result is late or a duplicate.
	Progress             // The step was applied and did not end the job.
	Retry                // The task failed and waits for another start.
	Ended                // The step ended the job.
)

type stop struct {
	reason     answer.Reason
	detail     string
	retryAfter time.Duration
}

// Job is one accepted submission.
type Job struct {
	order          Order
	kind           configuration.Kind
	acceptedAt     time.Time
	tasks          []task
	nextUnsent     uint32
	requeued       []uint32
	assignees      []assignee
	tried          map[uint32][]identity.Process
	open           int // Tasks sent without a result.
	remaining      int // Tasks that have not succeeded.
	ran            int // Tasks that certainly ran.
	unknown        int // Tasks that may have run.
	resultBytes    int // Size of the results that are kept.
	historyUnknown bool
	stop           *stop
	answer         answer.Answer
	// Backing arrays for jobs of one task, which save two allocations.
	oneTask     [1]task
	oneAssignee [1]assignee
}

// New returns a job of which no task has started.
func New(now time.Time, o Order, k configuration.Kind) *Job {
	j := &Job{
		order:      o,
		kind:       k,
		acceptedAt: now,
		remaining:  len(o.payloads),
		answer:     answer.Pending(),
	}
	j.assignees = j.oneAssignee[:0]
	if len(o.payloads) == 1 {
		j.tasks = j.oneTask[:]
	} else {
		j.tasks = make([]task, len(o.payloads))
	}
	return j
}

// Order returns the order. Its payloads are released when the job ends.
func (j *Job) Order() Order {
	return j.order
}

// Kind returns the request kind as configured when the job was accepted.
func (j *Job) Kind() configuration.Kind {
	return j.kind
}

func (j *Job) Accepted() time.Time {
	return j.acceptedAt
}

// Answer returns the current answer, which is pending until the job ends.
func (j *Job) Answer() answer.Answer {
	return j.answer
}

// OpenTasks returns the number of tasks that were sent and have no result yet.
func (j *Job) OpenTasks() int {
	return j.open
}

// Started reports whether a task was sent and not rejected by its agent.
func (j *Job) Started() bool {
	return j.open+j.ran+j.unknown > 0
}

// Stopping reports whether the job waits for agents to confirm what ran.
func (j *Job) Stopping() bool {
	return j.stop != nil && !j.answer.Ended()
}

// Waiting reports whether the task may be sent to an agent now.
func (j *Job) Waiting(index uint32) bool {
	return !j.answer.Ended() && j.stop == nil && int(index) < len(j.tasks) && j.tasks[index].state == waiting
}

// WaitingTasks returns the number of tasks that were neither sent nor ended.
func (j *Job) WaitingTasks() int {
	n := 0
	for i := range j.tasks {
		if j.tasks[i].state == waiting {
			n++
		}
	}
	return n
}

// Pop returns the next waiting task that has not failed; requeued ones come first.
func (j *Job) Pop() (index uint32, ok bool) {
	for len(j.requeued) > 0 {
		last := len(j.requeued) - 1
		i := j.requeued[last]
		j.requeued = j.requeued[:last]
		if j.Waiting(i) {
			return i, true
		}
	}
	for int(j.nextUnsent) < len(j.tasks) {
		i := j.nextUnsent
		j.nextUnsent++
		if j.Waiting(i) {
			return i, true
		}
	}
	return 0, false
}

// Requeue makes a task available to Pop again.
func (j *Job) Requeue(index uint32) {
	j.requeued = append(j.requeued, index)
}

// TriedAt reports whether the task failed at the agent before.
func (j *Job) TriedAt(index uint32, agent identity.Process) bool {
	for _, p := range j.tried[index] {
		if p == agent {
			return true
		}
	}
	return false
}

// Starts returns the number of starts of a task that were not rejected.
func (j *Job) Starts(index uint32) int {
	return int(j.tasks[index].starts)
}

// assignee returns an agent's index among the assignees. It adds a missing one.
func (j *Job) assignee(agent identity.Process) int {
	for i := range j.assignees {
		if j.assignees[i].agent == agent {
			return i
		}
	}
	j.assignees = append(j.assignees, assignee{
		agent: agent,
	})
	return len(j.assignees) - 1
}

// Send marks a waiting task as sent to an agent, or returns ErrState.
func (j *Job) Send(index uint32, agent identity.Process) error {
	if !j.Waiting(index) {
		return errors.Wrapf(ErrState, "task %d is not waiting to be sent", index)
	}
	j.assign(index, agent)
	return nil
}

func (j *Job) assign(index uint32, agent identity.Process) {
	t := &j.tasks[index]
	i := j.assignee(agent)
	j.assignees[i].open++
	t.state = sent
	t.starts++
	t.assignee = uint16(i)
	j.open++
}

// IsOpenAt reports whether a task was sent to an agent and has no result yet.
func (j *Job) IsOpenAt(index uint32, agent identity.Process) bool {
	if int(index) >= len(j.tasks) {
		return false
	}
	t := &j.tasks[index]
	return t.state == sent && j.assignees[t.assignee].agent == agent
}

func (j *Job) OpenTasksAt(agent identity.Process) int {
	for i := range j.assignees {
		if j.assignees[i].agent == agent {
			return j.assignees[i].open
		}
	}
	return 0
}

func (j *Job) EachOpenTask(agent identity.Process, f func(index uint32)) {
	for i := range j.tasks {
		if j.IsOpenAt(uint32(i), agent) {
			f(uint32(i))
		}
	}
}

func (j *Job) EachOpenAgent(f func(agent identity.Process)) {
	for i := range j.assignees {
		if j.assignees[i].open > 0 {
			f(j.assignees[i].agent)
		}
	}
}

func (j *Job) close(index uint32, s taskState) {
	t := &j.tasks[index]
	t.state = s
	j.assignees[t.assignee].open--
	j.open--
}

// NotStarted undoes a start that had no effect and can no longer have one.
func (j *Job) NotStarted(index uint32, agent identity.Process) Step {
	if !j.IsOpenAt(index, agent) {
		return Ignored
	}
	j.close(index, waiting)
	j.tasks[index].starts--
	if j.tryAnswerStop() {
		return Ended
	}
	j.releaseMemory()
	return Progress
}

// MayRetry reports whether a failed start of a task may be followed by another.
func (j *Job) MayRetry(index uint32, agent identity.Process) bool {
	return j.IsOpenAt(index, agent) && j.stop == nil && !j.answer.Ended() && j.Starts(index) < j.kind.MaxStarts()
}

// RecordResult stores the result of a task. If retry is set, a failed task waits
// for another start. A result that arrives late or twice is ignored.
func (j *Job) RecordResult(index uint32, agent identity.Process, r outcome.Result, retry bool) Step {
	if !j.IsOpenAt(index, agent) {
		return Ignored
	}
	switch r.State() {
	case outcome.Running:
		return Ignored
	case outcome.Revoked:
		return j.NotStarted(index, agent)
	}
	if retry && r.State() == outcome.Failed && j.MayRetry(index, agent) {
		j.close(index, waiting)
		j.ran++
		if j.tried == nil {
			j.tried = map[uint32][]identity.Process{}
		}
		j.tried[index] = append(j.tried[index], agent)
		return Retry
	}
	j.close(index, ended)
	return j.applyResult(index, r)
}

func (j *Job) applyResult(index uint32, r outcome.Result) Step {
	switch {
	case r.State() == outcome.Unknown:
		j.unknown++
	default:
		j.ran++
	}
	if j.answer.Ended() {
		j.releaseMemory()
		return Progress
	}
	if j.stop != nil {
		if j.tryAnswerStop() {
			return Ended
		}
		return Progress
	}
	switch r.State() {
	case outcome.Succeeded:
		j.succeed(index, r.Body())
		switch {
		case j.resultBytes > MaxResultBytes:
			j.tooLarge()
		case j.remaining > 0:
			return Progress
		default:
			j.complete()
		}
	case outcome.Failed:
		j.fail(answer.TaskFailed, r.Detail())
	default:
		j.fail(answer.OutcomeUnknown, r.Detail())
	}
	return Ended
}

func (j *Job) succeed(index uint32, body []byte) {
	j.tasks[index].body = body
	j.resultBytes += len(body)
	j.remaining--
}

func (j *Job) tooLarge() {
	j.fail(answer.ResultsTooLarge, "the results have more than "+strconv.Itoa(MaxResultBytes)+" bytes")
}

func (j *Job) complete() {
	results := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		results[i] = j.tasks[i].body
	}
	j.answer = answer.Completion(results)
	j.releaseMemory()
}

// fail answers with a failure, which states whether something ran.
func (j *Job) fail(reason answer.Reason, detail string) {
	ran := answer.RanNothing
	switch {
	case j.ran > 0:
		ran = answer.RanSomething
	case j.unknown > 0 || j.open > 0 || j.historyUnknown:
		ran = answer.RanUnknown
	}
	j.answer = answer.Failure(reason, detail, ran)
	j.releaseMemory()
}

// releaseMemory frees what only a running job needs, and tasks once none is open.
func (j *Job) releaseMemory() {
	if !j.answer.Ended() {
		return
	}
	j.order.payloads = nil
	j.requeued = nil
	j.tried = nil
	if j.open == 0 {
		j.tasks = nil
		j.assignees = nil
		j.oneTask = [1]task{}
		return
	}
	for i := range j.tasks {
		j.tasks[i].body = nil
	}
}
