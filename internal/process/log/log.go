// Package log builds the structured logger of a process.
//
// Lines are JSON or text by setting, with fields in snake case. Every line names
// the process; lines about a submission carry submission_id, which joins the
// lines of all processes. Payloads, tokens and secrets are never logged.
package log

import (
	"io"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// New returns a logger. Format is json or text; level is a name that logrus
// knows.
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
		return nil, errors.Errorf("log format is %q, allowed are json and text", format)
	}
	v, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	l.SetLevel(v)
	return l.WithField("process", process), nil
}
