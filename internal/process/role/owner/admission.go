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
	// typicalQuantile of the run time stands for the work that a task brings.
	typicalQuantile = 0.5
	// tailQuantile of the run time is left between the start and the commitment.
	tailQuantile = 0.9
	// admitPart is the part of the permitted wait up to which jobs are accepted; the
	// rest covers the error of the estimate.
	admitRatio = 0.7
	// maxShed bounds the jobs that one new job may push out.
	maxShed = 64
	// maxWaitingTasks and maxWaitingBytes bound the queues of one owner, maxLive and
	// maxKeptBytes what it keeps for the retention. A kept submission takes about
	// 1.1 KB beside its results, so the four stay within the 128 MB of a node.
	maxWaitingTasks = 100_000
	maxWaitingBytes = 16 << 20
	maxSubmissions  = 60_000
	maxResultBytes  = 32 << 20
	// minRetryAfter is the least pause that a refused caller is asked for.
	minRetryAfter = 50 * time.Millisecond
)

// kindName names a kind within the installation.
type kindName struct {
	team string
	name string
}

// learned is what was learned of a kind's run time. It lives as long as the
// process; there is one for each configured kind that was used.
type runTimes struct {
	typical estimate.RunTime
	tail    estimate.RunTime
}

func (o *Owner) runTimesOf(k configuration.Kind) *runTimes {
	name := kindName{
		team: k.Team(),
		name: k.Name(),
	}
	l, ok := o.kinds[name]
	if !ok {
		l = &runTimes{
			typical: estimate.NewRunTime(typicalQuantile, k.RunTime()),
			tail:    estimate.NewRunTime(tailQuantile, k.RunTime()),
		}
		o.kinds[name] = l
	}
	return l
}

// learn takes what an ended task shows of its kind, service and agent.
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

// admit compares the estimated wait with the commitment and the deadline. Waiting
// jobs of less harm make room first.
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
	for range maxShed {
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

// next is the work that is started next. Work that can no longer keep its
// commitment is refused if other work waits that still can: run late, it would take
// the slot and be of little use to its caller. The most urgent kinds are answered
// late rather than not at all.
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

// late tells whether a job of which nothing has started would miss its commitment
// while other work waits.
func late(now time.Time, svc *service, i *queue.Item[queuedWork]) bool {
	s := i.Value().submission
	k := s.job.Kind()
	if k.Urgency() == configuration.Critical || s.job.Started() || svc.queue.Tasks() <= i.Tasks() {
		return false
	}
	return now.Add(s.runTimes.typical.Value()).After(s.job.Accepted().Add(k.Commitment()))
}

// full tells whether the queues have no place for a job.
func (o *Owner) full(s *submission) bool {
	order := s.job.Order()
	if len(o.submissions) >= maxSubmissions || o.resultBytes > maxResultBytes {
		return true
	}
	return o.waiting.tasks+len(order.Payloads()) > maxWaitingTasks || o.waiting.payloadBytes+order.Bytes() > maxWaitingBytes
}

// makeRoom sheds the waiting job of the least harm, if its harm is less than that
// of the new job and nothing of it has started.
func (o *Owner) shedLoad(now time.Time, s *submission, classes queue.Mask) bool {
	i, ok := s.svc.queue.ShedCandidate(classes)
	if !ok || i.Harm() >= s.job.Kind().Harm() {
		return false
	}
	victim := i.Value().submission
	expectedWait := o.expectedWait(now, victim)
	o.stop(now, victim, answer.Overloaded, "work of more harm needed the room", o.retryAfter(expectedWait))
	// A later attempt under the same key is a new one, since nothing has started.
	o.remove(victim)
	return true
}

// overloaded is the refusal of a job that cannot be served in time.
func (o *Owner) overloaded(now time.Time, s *submission) answer.Answer {
	expectedWait := o.expectedWait(now, s)
	team := s.job.Kind().Team()
	if t, ok := o.cfg.Team(team); ok && o.usage.OverShare(now, team, t.Share()) {
		return answer.NotRun(answer.QuotaExceeded, "the team uses more than its share, and no idle share is left", o.retryAfter(expectedWait))
	}
	return answer.NotRun(answer.Overloaded, "expected wait "+expectedWait.Round(time.Millisecond).String(), o.retryAfter(expectedWait))
}

// retryAfter spreads the next attempts over one to two times the estimate.
func (o *Owner) retryAfter(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait + time.Duration(o.rnd.Int64N(int64(wait)))
}

// drained notes the end of a task in the drain rates of its urgency and of the
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

// slots is the capacity that this owner has for work of an urgency beside the
// more urgent work, in slots: as observed while work waited, otherwise its own and
// an equal part of the free ones, since the other owners see the same free slots
// when demand rises everywhere. Ageing leaves a part to every urgency. It is zero
// if nothing is known.
func (o *Owner) slots(now time.Time, svc *service, u configuration.Urgency) float64 {
	all, ok := svc.drainRates[configuration.Critical].Rate(now)
	if !ok || all <= 0 {
		return float64(svc.open) + float64(svc.free)/float64(max(len(o.workingSet), 1))
	}
	rate, _ := svc.drainRates[u].Rate(now)
	return max(rate, all/queue.AgingInterval)
}

// wait estimates the time before a new job's tasks start. A team with unused
// share waits behind its own work only, since its share is reclaimed at once.
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
	within := s.svc.queue.WorkAheadAtUrgency(class, width)
	urgent := (ahead - within) / max(o.slots(now, s.svc, configuration.Critical), slots)
	expectedWait := urgent + (within+running)/slots
	team, ok := o.cfg.Team(kind.Team())
	if ok && team.Share() > 0 && !o.usage.OverShare(now, team.Name(), team.Share()) {
		teamAhead := s.svc.queue.TeamWorkAhead(class, team.Name(), width)
		expectedWait = min(expectedWait, urgent+(running+teamAhead/team.Share())/slots)
	}
	return time.Duration(expectedWait * float64(time.Second))
}
