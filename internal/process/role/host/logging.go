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

func (c Common) about(s identity.Submission) *logrus.Entry {
	return c.log.WithField(submissionField, s.String())
}

func (c Common) logs(level logrus.Level) bool {
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
	if e.common.logs(logrus.InfoLevel) {
		describe(e.common.about(s), a).Info("caller answered")
	}
}

func describe(l *logrus.Entry, a answer.Answer) *logrus.Entry {
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

// observeOwner counts and logs one effect of an event at an owner.
func (c Common) observeOwner(event any, effect message.Send) {
	switch m := effect.Body().(type) {
	case message.Start:
		c.metrics.Add(metric.StartsSent, 1)
		if c.logs(logrus.DebugLevel) {
			c.about(m.Task().Submission()).WithFields(logrus.Fields{
				"task":  m.Task().Index(),
				"agent": effect.To().String(),
			}).Debug("task sent")
		}
	case message.Reply:
		c.metrics.Add(replyMetrics[m.Answer().State()], 1)
		if s, ok := submissionOf(event); ok && c.logs(logrus.InfoLevel) {
			c.logReply(event, s, m.Answer())
		}
	}
}

func (c Common) logReply(event any, s identity.Submission, a answer.Answer) {
	l := describe(c.about(s), a)
	switch {
	case a.State() == answer.Refused:
		l.Info("submission refused")
	case a.State() == answer.Running:
		l.Info("submission accepted or joined")
	case isSubmit(event):
		l.Info("submission has its answer already")
	default:
		l.Info("submission ended")
	}
}

func isSubmit(event any) bool {
	r, ok := event.(message.Received)
	if !ok {
		return false
	}
	_, ok = r.Body().(message.Submit)
	return ok
}

// submissionOf returns the submission that a received message is about. Queries
// change nothing and are left out.
func submissionOf(event any) (identity.Submission, bool) {
	r, ok := event.(message.Received)
	if !ok {
		return identity.Submission{}, false
	}
	switch m := r.Body().(type) {
	case message.Submit:
		return m.Order().Submission(), true
	case message.Cancel:
		return m.Submission(), true
	case message.Finished:
		return m.Task().Submission(), true
	}
	return identity.Submission{}, false
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
	if c.logs(logrus.DebugLevel) {
		c.about(t.Submission()).WithField("task", t.Index()).WithField(field, value).Debug(line)
	}
}
