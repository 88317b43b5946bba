// Package log writes the structured log of a process.
//
// New returns a logger that writes each line at once. A Journal queues the notes of
// package event for a duty of its own, so that logging never blocks a state machine,
// and drops lines above a rate limit.
//
// Lines are JSON or text by setting, with fields in snake case. Every line has
// the process name. Lines about a submission have the field submission_id, which
// correlates the lines of all processes. Payloads, tokens and secrets are never
// logged.
package log

import (
	"io"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// New returns a logger whose lines have the field process. Format is json or
// text; level is a logrus level name.
func New(w io.Writer, format, level, process string) (*logrus.Entry, error) {
	l := logrus.New()
	l.SetOutput(w)
	switch format {
	case "json":
		l.SetFormatter(&logrus.JSONFormatter{})
	case "text":
		l.SetFormatter(&logrus.TextFormatter{
			DisableColors: true,
			FullTimestamp: true,
		})
	default:
		return nil, errors.Errorf("log format is %q, want json or text", format)
	}
	v, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	l.SetLevel(v)
	return l.WithField("process", process), nil
}
