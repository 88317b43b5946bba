package host

import (
	"github.com/sirupsen/logrus"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// submissionField joins the lines of all processes about one submission.
const submissionField = "submission_id"

func (c Common) about(s identity.Submission) *logrus.Entry {
	return c.log.WithField(submissionField, s.String())
}

func (c Common) logs(level logrus.Level) bool {
	return c.log.Logger.IsLevelEnabled(level)
}

// logAnswer writes the line of an entry about a caller's answer.
func (e *Entry) logAnswer(s identity.Submission, a answer.Answer) {
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

// logOwner writes the lines of an owner about one effect of an event.
func (c Common) logOwner(event any, effect message.Send) {
	switch m := effect.Body().(type) {
	case message.Start:
		if c.logs(logrus.DebugLevel) {
			c.about(m.Task().Submission()).WithFields(logrus.Fields{
				"task":  m.Task().Index(),
				"agent": effect.To().String(),
			}).Debug("task sent")
		}
	case message.Reply:
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

// logAgent writes the lines of an agent about one effect.
func (c Common) logAgent(effect any) {
	if !c.logs(logrus.DebugLevel) {
		return
	}
	switch e := effect.(type) {
	case agent.Call:
		c.logTask(e.Task()).WithField("target", e.Target()).Debug("task started")
	case agent.Place:
		c.logTask(e.Task()).WithField("worker", e.Worker()).Debug("task started")
	case message.Send:
		switch m := e.Body().(type) {
		case message.Finished:
			c.logTask(m.Task()).WithField("state", m.Result().State().String()).Debug("task ended")
		case message.Rejected:
			c.logTask(m.Task()).WithField("cause", m.Cause().String()).Debug("start refused")
		}
	}
}

func (c Common) logTask(t identity.Task) *logrus.Entry {
	return c.about(t.Submission()).WithField("task", t.Index())
}
