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

// submissionField joins the lines of all processes about one submission.
const submissionField = "submission_id"

func (c Common) submissionLog(s identity.Submission) *logrus.Entry {
	return c.log.WithField(submissionField, s.String())
}

func (c Common) logEnabled(level logrus.Level) bool {
	return c.log.Logger.IsLevelEnabled(level)
}

// answerMetrics and replyMetrics count answers by state at entry and owner.
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

// countSend counts a message that the network took or had no room for.
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

// asker names a caller's request at its entry.
type requester struct {
	entry   identity.Process
	request uint64
}

// maxAskers bounds the requests whose submission an owner remembers for its log.
const maxAskers = 50_000

// askers tells which submission a reply is about: one event may lead to replies
// about others, such as jobs that make room for the one submitted. The owner's
// duty alone uses it. An entry ends with its request's final reply, or with the
// process that asked.
type requesters map[requester]identity.Submission

// note remembers who asks for what. Queries change nothing and are left out.
func (a requesters) record(event any) {
	if g, ok := event.(message.Gone); ok {
		for k := range a {
			if k.entry == g.Process() {
				delete(a, k)
			}
		}
		return
	}
	r, ok := event.(message.Received)
	if !ok {
		return
	}
	if len(a) >= maxAskers {
		// Lines are missing from now on rather than memory.
		clear(a)
	}
	switch m := r.Body().(type) {
	case message.Submit:
		a[requester{
			entry:   r.From(),
			request: m.Request(),
		}] = m.Order().Submission()
	case message.Cancel:
		a[requester{
			entry:   r.From(),
			request: m.Request(),
		}] = m.Submission()
	}
}

// of returns the submission of a reply and forgets it with the final one.
func (a requesters) of(to identity.Process, m message.Reply) (identity.Submission, bool) {
	k := requester{
		entry:   to,
		request: m.Request(),
	}
	s, ok := a[k]
	if ok && m.Answer().Ended() {
		delete(a, k)
	}
	return s, ok
}

// observeOwner counts and logs one effect of an owner.
func (c Common) observeOwner(a requesters, effect message.Send) {
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
		s, ok := a.of(effect.To(), m)
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
			c.observeTask(metric.StartsRejected, m.Task(), "cause", m.Cause().String(), "start refused")
		}
	}
}

// observeTask has no fields built unless the line is written: it is called for
// every task.
func (c Common) observeTask(name metric.Name, t identity.Task, field, value, line string) {
	c.metrics.Add(name, 1)
	if c.logEnabled(logrus.DebugLevel) {
		c.submissionLog(t.Submission()).WithField("task", t.Index()).WithField(field, value).Debug(line)
	}
}
