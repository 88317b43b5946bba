// Package target is a stand-in for a target. It accepts tasks over HTTP, runs each
// for the time that its payload requests, and returns the echo of the payload.
//
// It announces itself to an agent, records every start, and can be made slow or
// made to fail. A payload that can't be parsed runs for a default time and is its
// own echo, so any payload works.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"greengagedoor.example/greengagedoor/internal/connection/announcement"
	"greengagedoor.example/greengagedoor/internal/process/standin/record"
)

const (
	defaultRunTime  = 20 * time.Millisecond
	maxPayloadBytes = 1 << 20
	announceTimeout = time.Second
	// leaveDelay is the time in which calls can arrive that the agent sent before it
	// received the announcement that the target is leaving.
	leaveDelay   = 500 * time.Millisecond
	drainTimeout = 8 * time.Second
)

// Work describes the task that a payload requests.
type Work struct {
	runTime time.Duration
	fail    bool
	report  bool
	echo    string
}

// RunTime returns the run time of the task at slowness 1.
func (w Work) RunTime() time.Duration {
	return w.runTime
}

// Fail reports whether the task returns an error instead of a result.
func (w Work) Fail() bool {
	return w.fail
}

// Report reports whether the result is the echo and the run time as JSON.
func (w Work) Report() bool {
	return w.report
}

// Echo returns the text that the task returns as its result.
func (w Work) Echo() string {
	return w.echo
}

// ParseWork parses a payload of the form {"run_ms":50,"fail":false,"echo":"x"}. A
// payload of another form runs for the default time, with itself as the echo.
func ParseWork(payload []byte) Work {
	var p struct {
		RunMS *float64 `json:"run_ms"`
		Fail  bool     `json:"fail"`
		Echo  string   `json:"echo"`
		// Report requests a result of the form {"echo":"x","run_ms":50}.
		Report bool `json:"report"`
	}
	w := Work{
		runTime: defaultRunTime,
		echo:    string(payload),
	}
	if err := json.Unmarshal(payload, &p); err != nil {
		return w
	}
	if p.RunMS != nil && *p.RunMS >= 0 {
		w.runTime = time.Duration(*p.RunMS * float64(time.Millisecond))
	}
	w.fail = p.Fail
	w.report = p.Report
	if p.Echo != "" {
		w.echo = p.Echo
	}
	return w
}

// Target is a target with an HTTP interface and injected faults.
type Target struct {
	announced announcement.Announcement
	agent     string
	faults    atomic.Pointer[faults]
	leaving   atomic.Bool
	record    *record.Record
	client    *http.Client
	log       *logrus.Entry
}

// faults is the set of injected faults. It is replaced as a whole and never changed.
type faults struct {
	slowness         float64
	failAll          bool
	refuseTasks      bool
	announcementsOff bool
}

// New returns a target that announces itself to an agent at its HTTP base URL. Its
// tasks take slowness times the run time that they request.
func New(a announcement.Announcement, agent string, slowness float64, rec *record.Record, log *logrus.Entry) (*Target, error) {
	if slowness <= 0 {
		return nil, errors.Errorf("slowness is %g, want a positive number", slowness)
	}
	t := &Target{
		announced: a,
		agent:     agent,
		record:    rec,
		client: &http.Client{
			Timeout: announceTimeout,
		},
		log: log,
	}
	t.faults.Store(&faults{
		slowness: slowness,
	})
	return t, nil
}

// Register adds the HTTP routes of the target to a server.
func (t *Target) Register(e *echo.Echo) {
	e.POST("/task", t.runTask)
	e.GET("/standin/counts", t.getCounts)
	e.GET("/standin/starts", t.getStarts)
	e.POST("/standin/faults", t.setFaults)
}

type faultDocument struct {
	Slowness         float64 `json:"slowness"`
	FailAll          bool    `json:"fail_all"`
	RefuseTasks      bool    `json:"refuse"`
	AnnouncementsOff bool    `json:"silent"`
}

// setFaults replaces the injected faults: the slowness (0 for normal speed), an
// error for every task after its start is recorded, an error for every task before
// its start is recorded, and no announcements.
func (t *Target) setFaults(c echo.Context) error {
	var d faultDocument
	dec := json.NewDecoder(c.Request().Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	if d.Slowness == 0 {
		d.Slowness = 1
	}
	if d.Slowness < 0 {
		return c.String(http.StatusBadRequest, "slowness: is negative")
	}
	t.faults.Store(&faults{
		slowness:         d.Slowness,
		failAll:          d.FailAll,
		refuseTasks:      d.RefuseTasks,
		announcementsOff: d.AnnouncementsOff,
	})
	return c.NoContent(http.StatusNoContent)
}

func (t *Target) runTask(c echo.Context) error {
	ctx := c.Request().Context()
	active := t.faults.Load()
	if active.refuseTasks {
		return c.String(http.StatusServiceUnavailable, "the target refuses everything")
	}
	payload, err := io.ReadAll(io.LimitReader(c.Request().Body, maxPayloadBytes))
	if err != nil {
		return errors.Wrap(err, "read payload")
	}
	if _, err := t.record.Start(ctx, c.Request().Header.Get("Idempotency-Key")); err != nil {
		return err
	}
	if active.failAll {
		return c.String(http.StatusInternalServerError, "the target fails everything")
	}
	w := ParseWork(payload)
	duration := time.Duration(float64(w.RunTime()) * active.slowness)
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	if w.Fail() {
		return c.String(http.StatusInternalServerError, "the task asked to fail")
	}
	if w.Report() {
		return c.JSON(http.StatusOK, map[string]any{
			"echo":   w.Echo(),
			"run_ms": float64(duration) / float64(time.Millisecond),
		})
	}
	return c.String(http.StatusOK, w.Echo())
}

func (t *Target) getCounts(c echo.Context) error {
	n, err := t.record.Counts(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string]int64{
		"tasks_started":       n.Started(),
		"tasks_started_twice": n.Duplicated(),
	})
}

type startDocument struct {
	Task  string `json:"task"`
	Count int    `json:"count"`
}

// getStarts lists the started tasks with their number of starts. A task is
// identified by the Idempotency-Key of its calls.
func (t *Target) getStarts(c echo.Context) error {
	tasks, err := t.record.Tasks(c.Request().Context())
	if err != nil {
		return err
	}
	list := make([]startDocument, 0, len(tasks))
	for name, n := range tasks {
		list = append(list, startDocument{
			Task:  name,
			Count: n,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Task < list[j].Task })
	return c.JSON(http.StatusOK, list)
}

// Run announces the target until ctx is canceled, and then announces that it is
// leaving.
func (t *Target) Run(ctx context.Context) error {
	ticker := time.NewTicker(announcement.Interval)
	defer ticker.Stop()
	t.announce(ctx, false)
	for {
		select {
		case <-ticker.C:
			if !t.faults.Load().announcementsOff {
				t.announce(ctx, t.leaving.Load())
			}
		case <-ctx.Done():
			t.announce(context.WithoutCancel(ctx), true)
			return nil
		}
	}
}

// Drain announces that the target is leaving and waits until the calls of the server
// have ended, so that stopping the target loses no task.
func (t *Target) Drain(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	t.leaving.Store(true)
	t.announce(ctx, true)
	timer := time.NewTimer(leaveDelay)
	defer timer.Stop()
	<-timer.C
	if err := server.Shutdown(ctx); err != nil {
		t.log.WithError(err).Warn("calls still active at the end of the drain timeout")
	}
}

func (t *Target) announce(ctx context.Context, leaving bool) {
	a := t.announced
	if leaving {
		a = a.WithLeaving()
	}
	body, err := a.Encode()
	if err != nil {
		return
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, t.agent+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := t.client.Do(r)
	if err != nil {
		t.log.WithError(err).Debug("announcement not delivered")
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
