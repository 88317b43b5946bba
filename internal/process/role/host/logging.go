package host

import (
	"github.com/sirupsen/logrus"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/metric"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// submissionField is the log field that correlates the lines of all processes about
// one submission.
const submissionField = "submission_id"

func (c Common) submissionLog(s identity.Submission) *logrus.Entry {
	return c.log.WithField(submissionField, s.String())
}

func (c Common) logEnabled(level logrus.Level) bool {
	return c.log.Logger.IsLevelEnabled(level)
}

// Metrics by state of the answers of entries and of the replies of owners, and the
// log messages of replies.
var (
	answerMetrics = map[answer.State]metric.Name{
		answer.Running:  metric.AnswersRunning,
		answer.Complete: metric.AnswersComplete,
		answer.Failed:   metric.AnswersFailed,
		answer.Refused:  metric.AnswersRefused,
	}
	replyMetrics = map[answer.State]metric.Name{
		answer.Running:  metric.JobsAccepted,
		answer.Complete: metric.JobsComplete,
		answer.Failed:   metric.JobsFailed,
		answer.Refused:  metric.JobsRefused,
	}
	replyMessages = map[answer.State]string{
		answer.Running:  "submission accepted or joined",
		answer.Complete: "submission ended",
		answer.Failed:   "submission ended",
		answer.Refused:  "submission refused",
	}
)

// countSend counts a message as sent, or as not sent if err is not nil.
func (c Common) countSend(err error) {
	if err != nil {
		c.metrics.Add(metric.MessagesNotSent, 1)
		return
	}
	c.metrics.Add(metric.MessagesSent, 1)
}

func (c Common) countVersion(e any) {
	if cfg, ok := e.(*configuration.Configuration); ok {
		c.metrics.Store(metric.ConfigVersion, int64(cfg.Version()))
		c.log.WithField("config_version", cfg.Version()).Info("configuration in force")
	}
}

// observeAnswer counts and logs a caller's answer at an entry.
func (e *Entry) observeAnswer(s identity.Submission, a answer.Answer) {
	e.common.metrics.Add(answerMetrics[a.State()], 1)
	if e.common.logEnabled(logrus.InfoLevel) {
		withAnswer(e.common.submissionLog(s), a).Info("caller answered")
	}
}

func withAnswer(l *logrus.Entry, a answer.Answer) *logrus.Entry {
	fields := logrus.Fields{
		"state": a.State().String(),
	}
	if a.Reason() != answer.NoReason {
		fields["reason"] = a.Reason().String()
	}
	if a.State() == answer.Refused {
		fields["not_run"] = a.NotRun()
	}
	return l.WithFields(fields)
}

// requestID identifies a caller's request at its entry.
type requestID struct {
	entry   identity.Process
	request uint64
}

// maxLoggedRequests is the maximum number of requests whose submission an owner keeps
// for its log.
const maxLoggedRequests = 50_000

// loggedRequests maps requests to the submissions that their replies are about. One
// event can cause replies about other submissions, such as jobs that are shed to
// free capacity for the submitted one. Only the owner's duty uses it. An element is
// removed with the final reply, or when the requesting process is lost.
type loggedRequests map[requestID]identity.Submission

// record adds the requests of submissions and cancellations. Queries change nothing
// and are left out.
func (l loggedRequests) record(event any) {
	if g, ok := event.(message.ProcessEnded); ok {
		for k := range l {
			if k.entry == g.Process() {
				delete(l, k)
			}
		}
		return
	}
	r, ok := event.(message.Received)
	if !ok {
		return
	}
	if len(l) >= maxLoggedRequests {
		// This loses log lines, but bounds the memory.
		clear(l)
	}
	switch m := r.Body().(type) {
	case message.Submit:
		l[requestID{
			entry:   r.From(),
			request: m.Request(),
		}] = m.Order().Submission()
	case message.Cancel:
		l[requestID{
			entry:   r.From(),
			request: m.Request(),
		}] = m.Submission()
	}
}

// of returns the submission that a reply is about. The final reply removes it.
func (l loggedRequests) of(to identity.Process, m message.Reply) (identity.Submission, bool) {
	k := requestID{
		entry:   to,
		request: m.Request(),
	}
	s, ok := l[k]
	if ok && m.Answer().Ended() {
		delete(l, k)
	}
	return s, ok
}

// observeOwner counts and logs one effect of an owner.
func (c Common) observeOwner(l loggedRequests, effect message.Send) {
	switch m := effect.Body().(type) {
	case message.Start:
		c.metrics.Add(metric.StartsSent, 1)
		if c.logEnabled(logrus.DebugLevel) {
			c.submissionLog(m.Task().Submission()).WithFields(logrus.Fields{
				"task":  m.Task().Index(),
				"agent": effect.To().String(),
			}).Debug("task sent")
		}
	case message.Reply:
		s, ok := l.of(effect.To(), m)
		if !ok {
			return
		}
		c.metrics.Add(replyMetrics[m.Answer().State()], 1)
		if c.logEnabled(logrus.InfoLevel) {
			withAnswer(c.submissionLog(s), m.Answer()).Info(replyMessages[m.Answer().State()])
		}
	}
}

// observeAgent counts and logs one effect of an agent.
func (c Common) observeAgent(effect any) {
	switch e := effect.(type) {
	case agent.Call:
		c.observeTask(metric.TasksStarted, e.Task(), "target", e.Target(), "task started")
	case agent.Place:
		c.observeTask(metric.TasksStarted, e.Task(), "worker", e.Worker(), "task started")
	case message.Send:
		switch m := e.Body().(type) {
		case message.Finished:
			c.observeTask(metric.TasksEnded, m.Task(), "state", m.Result().State().String(), "task ended")
		case message.Rejected:
			c.observeTask(metric.StartsRejected, m.Task(), "cause", m.Cause().String(), "start rejected")
		}
	}
}

// observeTask counts and logs an event of a task. It is called for every task, so it
// builds the log fields only if the line is written.
func (c Common) observeTask(name metric.Name, t identity.Task, field, value, line string) {
	c.metrics.Add(name, 1)
	if c.logEnabled(logrus.DebugLevel) {
		c.submissionLog(t.Submission()).WithField("task", t.Index()).WithField(field, value).Debug(line)
	}
}
