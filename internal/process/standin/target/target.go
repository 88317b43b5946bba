// Package target is a stand-in for a target: it takes tasks by HTTP, spends the
// time that the payload asks for, and answers with the payload's echo.
//
// It announces itself to the agent beside it, notes every start, and can be told
// to be slow or to fail everything. A payload that is not understood runs for a
// default time, so any caller's payload works.
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
	// leaveDelay is the time for calls that the agent began before it learned that
	// the target is leaving.
	leaveDelay = 500 * time.Millisecond
	drainLimit = 8 * time.Second
)

// Work is what a payload asks a stand-in to do.
type Work struct {
	runTime time.Duration
	fail    bool
	report  bool
	echo    string
}

// RunTime is how long the task runs at speed 1.
func (w Work) RunTime() time.Duration {
	return w.runTime
}

// Fail asks for an error instead of a result.
func (w Work) Fail() bool {
	return w.fail
}

// Report asks for the echo and the time spent as JSON.
func (w Work) Report() bool {
	return w.report
}

// Echo is sent back.
func (w Work) Echo() string {
	return w.echo
}

// ParseWork reads a payload of the form {"run_ms":50,"fail":false,"echo":"x"}.
func ParseWork(payload []byte) Work {
	var p struct {
		RunMS *float64 `json:"run_ms"`
		Fail  bool     `json:"fail"`
		Echo  string   `json:"echo"`
		// Report asks for {"echo":"x","run_ms":50} as the result.
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

// Target is the stand-in.
type Target struct {
	announced announcement.Announcement
	agent     string
	faults    atomic.Pointer[faults]
	leaving   atomic.Bool
	record    *record.Record
	client    *http.Client
	log       *logrus.Entry
}

// faults is what is wrong with the target; it is replaced as a whole.
type faults struct {
	slowness float64
	failAll  bool
	refuse   bool
	silent   bool
}

// New returns a target that announces itself to the agent's HTTP address. Its
// tasks take slowness times the run time that they ask for.
func New(a announcement.Announcement, agent string, slowness float64, rec *record.Record, log *logrus.Entry) (*Target, error) {
	if slowness <= 0 {
		return nil, errors.Errorf("slowness is %g, must be positive", slowness)
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

// Register adds the target's interface to a server.
func (t *Target) Register(e *echo.Echo) {
	e.POST("/task", t.run)
	e.GET("/standin/counts", t.counts)
	e.GET("/standin/starts", t.starts)
	e.POST("/standin/faults", t.fault)
}

type faultDocument struct {
	Slowness float64 `json:"slowness"`
	FailAll  bool    `json:"fail_all"`
	Refuse   bool    `json:"refuse"`
	Silent   bool    `json:"silent"`
}

// fault replaces what is wrong with the target: its slowness (0 for none), an
// error to every task, an error before the task counts as started, and silence
// about itself.
func (t *Target) fault(c echo.Context) error {
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
		slowness: d.Slowness,
		failAll:  d.FailAll,
		refuse:   d.Refuse,
		silent:   d.Silent,
	})
	return c.NoContent(http.StatusNoContent)
}

func (t *Target) run(c echo.Context) error {
	ctx := c.Request().Context()
	wrong := t.faults.Load()
	if wrong.refuse {
		return c.String(http.StatusServiceUnavailable, "the target refuses everything")
	}
	payload, err := io.ReadAll(io.LimitReader(c.Request().Body, maxPayloadBytes))
	if err != nil {
		return errors.Wrap(err, "read payload")
	}
	if _, err := t.record.Start(ctx, c.Request().Header.Get("Idempotency-Key")); err != nil {
		return err
	}
	if wrong.failAll {
		return c.String(http.StatusInternalServerError, "the target fails everything")
	}
	w := ParseWork(payload)
	spent := time.Duration(float64(w.RunTime()) * wrong.slowness)
	timer := time.NewTimer(spent)
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
			"run_ms": float64(spent) / float64(time.Millisecond),
		})
	}
	return c.String(http.StatusOK, w.Echo())
}

func (t *Target) counts(c echo.Context) error {
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

// starts lists the started tasks with the number of their starts. The task is
// the Idempotency-Key of its calls.
func (t *Target) starts(c echo.Context) error {
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

// Run announces the target until ctx ends, and then that it is leaving.
func (t *Target) Run(ctx context.Context) error {
	ticker := time.NewTicker(announcement.Interval)
	defer ticker.Stop()
	t.announce(ctx, false)
	for {
		select {
		case <-ticker.C:
			if !t.faults.Load().silent {
				t.announce(ctx, t.leaving.Load())
			}
		case <-ctx.Done():
			t.announce(context.WithoutCancel(ctx), true)
			return nil
		}
	}
}

// Drain announces that the target is leaving and waits until the server's calls
// have ended, so that a target that is told to stop loses no task.
func (t *Target) Drain(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	t.leaving.Store(true)
	t.announce(ctx, true)
	timer := time.NewTimer(leaveDelay)
	defer timer.Stop()
	<-timer.C
	if err := server.Shutdown(ctx); err != nil {
		t.log.WithError(err).Warn("tasks still ran when the time for leaving was over")
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
