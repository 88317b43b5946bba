package owner

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/estimate"
	"greengagedoor.example/greengagedoor/internal/request/queue"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// The parameters of admission.
const (
	// typicalQuantile is the quantile of the run time that estimates the work of a
	// task.
	typicalQuantile = 0.5
	// tailQuantile is the quantile of the run time that is reserved between the
	// start and the commitment.
	tailQuantile = 0.9
	// admitRatio is the fraction of the permitted wait up to which jobs are accepted.
	// The rest covers the error of the estimate.
	admitRatio = 0.7
	// maxShedJobs bounds the jobs that are shed for one new job.
	maxShedJobs = 64
	// maxWaitingTasks and maxWaitingBytes bound the queues of one owner,
	// maxSubmissions and maxResultBytes what it keeps for the retention. A kept
	// submission takes about 1.1 KB besides its results, so the four stay within the
	// 128 MB of a node.
	maxWaitingTasks = 100_000
	maxWaitingBytes = 16 << 20
	maxSubmissions  = 60_000
	maxResultBytes  = 32 << 20
	// minRetryAfter is the lower bound of the retry delay in a refusal.
	minRetryAfter = 50 * time.Millisecond
)

// kindName identifies a kind within the installation.
type kindName struct {
	team string
	name string
}

// runTimes has the run time estimates of a kind. There is one for each configured
// kind that was used, for the lifetime of the process.
type runTimes struct {
	typical estimate.RunTime
	tail    estimate.RunTime
}

func (o *Owner) runTimesOf(k configuration.Kind) *runTimes {
	name := kindName{
		team: k.Team(),
		name: k.Name(),
	}
	rt, ok := o.kinds[name]
	if !ok {
		rt = &runTimes{
			typical: estimate.NewRunTime(typicalQuantile, k.RunTime()),
			tail:    estimate.NewRunTime(tailQuantile, k.RunTime()),
		}
		o.kinds[name] = rt
	}
	return rt
}

// observe updates the estimates of the kind and the service, and the health of the
// endpoint, with the result of a task.
func (o *Owner) observe(now time.Time, s *submission, from identity.Process, result outcome.Result) {
	switch result.State() {
	case outcome.Succeeded:
		s.runTimes.typical.Observe(result.RunTime())
		s.runTimes.tail.Observe(result.RunTime())
	case outcome.Failed:
	default:
		return
	}
	s.svc.observeDrain(now, s.job.Kind().Urgency(), result.RunTime())
	if a, ok := o.agents[from]; ok {
		if ep := a.endpoint(s.svc); ep != nil {
			o.evaluate(now, s, ep, result)
		}
	}
}

// admit accepts a job if its expected wait permits to meet the commitment and the
// deadline. If not, it first sheds waiting jobs whose refusal does less harm.
// Otherwise it returns the refusal and false.
func (o *Owner) admit(now time.Time, s *submission) (answer.Answer, bool) {
	kind := s.job.Kind()
	limit := kind.Commitment() - s.runTimes.tail.Value()
	if d := s.job.Order().Deadline(); !d.IsZero() {
		if !d.After(now) {
			return answer.NotRun(answer.DeadlinePassed, "the deadline has passed", 0), false
		}
		limit = min(limit, d.Sub(now)-s.runTimes.tail.Value())
	}
	limit = max(time.Duration(admitRatio*float64(limit)), 0)
	classes := queue.UpTo(kind.Urgency())
	for range maxShedJobs {
		full := o.full(s)
		if !full && o.expectedWait(now, s) <= limit {
			return answer.Answer{}, true
		}
		if full {
			classes = queue.UpTo(configuration.Low)
		}
		if !o.shedLoad(now, s, classes) {
			break
		}
	}
	return o.overloaded(now, s), false
}

// nextItem returns the item whose task starts next. Jobs that can no longer meet
// their commitment are refused while other work waits, since they would take the
// slot and be of little use to their callers. The most urgent kinds are answered
// late rather than refused.
func (o *Owner) nextItem(now time.Time, svc *service, m queue.Mask) (*queue.Item[queuedWork], bool) {
	for {
		i, ok := svc.queue.Next(now, m)
		if !ok || !late(now, svc, i) {
			return i, ok
		}
		s := i.Value().submission
		expectedWait := o.expectedWait(now, s)
		o.stop(now, s, answer.Overloaded, "the commitment passed while the job waited", o.retryAfter(expectedWait))
		o.remove(s)
	}
}

// late reports whether a job of which nothing has started would miss its
// commitment while other work waits.
func late(now time.Time, svc *service, i *queue.Item[queuedWork]) bool {
	s := i.Value().submission
	k := s.job.Kind()
	if k.Urgency() == configuration.Critical || s.job.Started() || svc.queue.Tasks() <= i.Tasks() {
		return false
	}
	return now.Add(s.runTimes.typical.Value()).After(s.job.Accepted().Add(k.Commitment()))
}

// full reports whether a job would exceed the limits of the queues or of the kept
// submissions.
func (o *Owner) full(s *submission) bool {
	order := s.job.Order()
	if len(o.submissions) >= maxSubmissions || o.resultBytes > maxResultBytes {
		return true
	}
	return o.waiting.tasks+len(order.Payloads()) > maxWaitingTasks || o.waiting.payloadBytes+order.Bytes() > maxWaitingBytes
}

// shedLoad sheds the waiting job with the least harm of which nothing has started,
// if its harm is less than that of the new job. It reports whether it did.
func (o *Owner) shedLoad(now time.Time, s *submission, classes queue.Mask) bool {
	i, ok := s.svc.queue.ShedCandidate(classes)
	if !ok || i.Harm() >= s.job.Kind().Harm() {
		return false
	}
	victim := i.Value().submission
	expectedWait := o.expectedWait(now, victim)
	o.stop(now, victim, answer.Overloaded, "work of more harm needed the room", o.retryAfter(expectedWait))
	// Nothing has started, so a later attempt under the same key is a new job.
	o.remove(victim)
	return true
}

// overloaded returns the refusal of a job that cannot be served in time.
func (o *Owner) overloaded(now time.Time, s *submission) answer.Answer {
	expectedWait := o.expectedWait(now, s)
	team := s.job.Kind().Team()
	if t, ok := o.cfg.Team(team); ok && o.usage.OverShare(now, team, t.Share()) {
		return answer.NotRun(answer.QuotaExceeded, "the team uses more than its share, and no idle share is left", o.retryAfter(expectedWait))
	}
	return answer.NotRun(answer.Overloaded, "expected wait "+expectedWait.Round(time.Millisecond).String(), o.retryAfter(expectedWait))
}

// retryAfter returns a random delay of one to two times the expected wait, which
// spreads the next attempts.
func (o *Owner) retryAfter(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait + time.Duration(o.rnd.Int64N(int64(wait)))
}

// observeDrain adds the end of a task to the drain rates of its urgency and of the
// higher ones, which could have used the slot instead.
func (svc *service) observeDrain(now time.Time, u configuration.Urgency, runTime time.Duration) {
	for n := range svc.drainRates {
		work := time.Duration(0)
		if int(u) >= n {
			work = runTime
		}
		svc.drainRates[n].Observe(now, work, svc.queue.Tasks() > 0)
	}
}

// slots estimates the capacity, in slots, that this owner has for work of an
// urgency besides the more urgent work. The estimate is the drain rate observed
// while work waited. Without one it is the slots in use and an equal part of the
// free slots, since the other owners see the same free slots when demand rises
// everywhere. Aging guarantees a part to every urgency. The estimate is zero if
// nothing is known.
func (o *Owner) slots(now time.Time, svc *service, u configuration.Urgency) float64 {
	all, ok := svc.drainRates[configuration.Critical].Rate(now)
	if !ok || all <= 0 {
		return float64(svc.open) + float64(svc.free)/float64(max(len(o.workingSet), 1))
	}
	rate, _ := svc.drainRates[u].Rate(now)
	return max(rate, all/queue.AgingInterval)
}

// expectedWait estimates the time until the tasks of a new job start. A team below
// its share waits only for its own work and for more urgent work, since it gets its
// share back at once.
func (o *Owner) expectedWait(now time.Time, s *submission) time.Duration {
	kind := s.job.Kind()
	class := queue.NewClass(kind.Urgency(), kind.Long())
	slots := o.slots(now, s.svc, kind.Urgency())
	_, hasFree := s.svc.pools[poolOf(class)].Top()
	width := max(s.job.WaitingTasks(), 1)
	ahead := s.svc.queue.WorkAhead(class, width)
	if slots <= 0 || hasFree && ahead == 0 {
		return 0
	}
	running := 0.5 * float64(s.svc.open) * s.runTimes.typical.Value().Seconds()
	sameUrgency := s.svc.queue.WorkAheadAtUrgency(class, width)
	higherUrgency := (ahead - sameUrgency) / max(o.slots(now, s.svc, configuration.Critical), slots)
	expectedWait := higherUrgency + (sameUrgency+running)/slots
	team, ok := o.cfg.Team(kind.Team())
	if ok && team.Share() > 0 && !o.usage.OverShare(now, team.Name(), team.Share()) {
		teamAhead := s.svc.queue.TeamWorkAhead(class, team.Name(), width)
		expectedWait = min(expectedWait, higherUrgency+(running+teamAhead/team.Share())/slots)
	}
	return time.Duration(expectedWait * float64(time.Second))
}
