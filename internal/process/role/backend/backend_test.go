package backend_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"greengagedoor.example/greengagedoor/internal/connection/announcement"
	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/ledger"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
	"greengagedoor.example/greengagedoor/internal/process/role/backend"
	"greengagedoor.example/greengagedoor/internal/process/standin/pool"
	"greengagedoor.example/greengagedoor/internal/process/standin/record"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

const waitTimeout = 10 * time.Second

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// harness is an agent's state machine with real executors.
type harness struct {
	agent   *agent.Agent
	backend *backend.Backend
	events  chan any
	next    uint32
	placed  agent.Place
	stop    func()
}

func newHarness(poolURL string) *harness {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &harness{
		events: make(chan any, 100),
	}
	worker := ""
	if poolURL != "" {
		worker = "w"
	}
	b, cleanup, err := backend.New(poolURL, worker, time.Now, func(_ context.Context, e any) error {
		h.events <- e
		return nil
	}, logrus.NewEntry(log))
	if err != nil {
		panic(err)
	}
	h.backend = b
	table := must(duty.NewTable(must(b.Duties("caller", 4))...))
	_, stop := table.Start(context.Background())
	h.stop = func() {
		stop()
		cleanup()
	}
	h.agent = must(agent.New(must(identity.NewProcess("a", 1)), must(ledger.New(time.Now(), time.Minute, 1000, 1<<20)), func(time.Time) uint64 { return 1 }))
	h.handle(h.configuration())
	h.handle(membership.NewLease(time.Now().Add(time.Hour)))
	if poolURL != "" {
		h.handle(agent.NewWorker("w", "r", must(configuration.NewResources(4000, 4<<30, 0))))
	}
	return h
}

func (h *harness) configuration() *configuration.Configuration {
	kind := must(configuration.NewKind("team", "kind", "s", configuration.Normal, time.Second, 50*time.Millisecond))
	place := must(configuration.NewKind("team", "place", "s", configuration.Normal, time.Second, 50*time.Millisecond)).
		WithWorker(must(configuration.NewResources(1000, 1<<30, 0)), configuration.MayThrottle)
	team := must(configuration.NewTeam("team", 1, 0))
	return must(configuration.New(1, must(configuration.NewLimits(10, time.Minute)), []configuration.Team{team}, []configuration.Kind{kind, place}))
}

func (h *harness) handle(e any) {
	for _, effect := range h.agent.Handle(time.Now(), e) {
		if p, ok := effect.(agent.Place); ok {
			h.placed = p
		}
		switch effect.(type) {
		case agent.Call, agent.Place, agent.Control:
			if err := h.backend.Post(effect); err != nil {
				panic(err)
			}
		}
	}
}

func (h *harness) announce(url string) {
	h.handle(must(announcement.New("t", url, []string{"s"}, 8, 64, false)))
}

// run starts a task and returns its result.
func (h *harness) run(kind, payload string) outcome.Result {
	h.next++
	s := must(identity.NewSubmission("team", "01890000-0000-7000-8000-000000000001"))
	task := identity.NewTask(s, h.next)
	owner := must(identity.NewProcess("o", 1))
	h.handle(message.NewReceived(owner, 0, nil, message.NewStart(task, message.NewGrant(1, 1), 1, kind, []byte(payload), time.Time{})))
	for {
		select {
		case e := <-h.events:
			for _, effect := range h.agent.Handle(time.Now(), e) {
				if s, ok := effect.(message.Send); ok {
					return s.Body().(message.Finished).Result()
				}
			}
		case <-time.After(waitTimeout):
			panic("the task did not end in time")
		}
	}
}

// TestCall guards against a result that claims more than is known, and against a task
// that reaches a target twice.
func TestCall(t *testing.T) {
	defer goleak.VerifyNone(t)
	tests := map[string]struct {
		handler  http.HandlerFunc
		payloads []string
		want     outcome.State
		calls    int64
	}{
		"answered": {
			handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") },
			want:    outcome.Succeeded,
			calls:   1,
		},
		"error": {
			handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
			want:    outcome.Failed,
			calls:   1,
		},
		"redirect": {
			handler: func(w http.ResponseWriter, r *http.Request) {
				http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
			},
			want:  outcome.Failed,
			calls: 1,
		},
		"cut": {
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			want:    outcome.Unknown,
			calls:   1,
		},
		"cut on a connection in use": {
			handler: func(w http.ResponseWriter, r *http.Request) {
				if body, _ := io.ReadAll(r.Body); string(body) != "first" {
					panic(http.ErrAbortHandler)
				}
			},
			payloads: []string{"first", "second"},
			want:     outcome.Unknown,
			calls:    2,
		},
		"cut on a connection in use, without a payload": {
			handler: func(w http.ResponseWriter, r *http.Request) {
				if body, _ := io.ReadAll(r.Body); string(body) != "first" {
					panic(http.ErrAbortHandler)
				}
			},
			payloads: []string{"first", ""},
			want:     outcome.Unknown,
			calls:    2,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the result is what the target did", t, func() {
				var calls atomic.Int64
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					calls.Add(1)
					tt.handler(w, r)
				}))
				defer server.Close()
				r := newHarness("")
				defer r.stop()
				r.announce(server.URL)
				if tt.payloads == nil {
					tt.payloads = []string{"x"}
				}
				var got outcome.Result
				for _, p := range tt.payloads {
					got = r.run("kind", p)
				}
				So(got.State(), ShouldEqual, tt.want)
				So(calls.Load(), ShouldEqual, tt.calls)
			})
		})
	}
	Convey("a refused connection proves that nothing started", t, func() {
		l := must(net.Listen("tcp", "127.0.0.1:0"))
		address := l.Addr().String()
		_ = l.Close()
		r := newHarness("")
		defer r.stop()
		r.announce("http://" + address)
		So(r.run("kind", "x").State(), ShouldEqual, outcome.Revoked)
	})
}

func newPool() (*httptest.Server, func()) {
	rec := must(record.New())
	worker := pool.NewWorker("w", "a", "r", must(configuration.NewResources(4000, 4<<30, 0)))
	p := must(pool.New([]pool.Worker{worker}, rec, time.Now))
	table := must(duty.NewTable(must(duty.New("pool", "x", nil, p.Run)), must(duty.New("record", "x", nil, rec.Run))))
	_, stop := table.Start(context.Background())
	e := echo.New()
	p.Register(e)
	server := httptest.NewServer(e)
	return server, func() {
		server.Close()
		stop()
	}
}

// TestPlace guards against results from a worker that claim more than is known, and
// against usage reports that never reach the agent.
func TestPlace(t *testing.T) {
	tests := map[string]struct {
		fault   string
		payload string
		want    outcome.State
	}{
		"succeeded": {
			payload: `{"run_ms":30,"echo":"x"}`,
			want:    outcome.Succeeded,
		},
		"failed": {
			payload: `{"run_ms":30,"fail":true}`,
			want:    outcome.Failed,
		},
		"fails all": {
			fault:   `{"fail_all":true}`,
			payload: `{"run_ms":30}`,
			want:    outcome.Failed,
		},
		"refused": {
			fault:   `{"refuse":true}`,
			payload: `{"run_ms":30}`,
			want:    outcome.Revoked,
		},
		"lease lapses": {
			fault:   `{"lapse":true}`,
			payload: `{"run_ms":8000}`,
			want:    outcome.Unknown,
		},
		"long": {
			payload: `{"run_ms":4000}`,
			want:    outcome.Succeeded,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("the result is what the pool did", t, func() {
				server, stop := newPool()
				defer stop()
				if tt.fault != "" {
					resp := must(http.Post(server.URL+"/standin/faults", "application/json", strings.NewReader(tt.fault)))
					_ = resp.Body.Close()
					So(resp.StatusCode, ShouldEqual, http.StatusNoContent)
				}
				r := newHarness(server.URL)
				defer r.stop()
				So(r.run("place", tt.payload).State(), ShouldEqual, tt.want)
			})
		})
	}
	Convey("usage is estimated from late reports", t, func() {
		server, stop := newPool()
		defer stop()
		r := newHarness(server.URL)
		defer r.stop()
		for range 5 {
			So(r.run("place", `{"run_ms":1,"use_milli_cores":100}`).State(), ShouldEqual, outcome.Succeeded)
		}
		for n := 0; n < 5; {
			select {
			case e := <-r.events:
				r.handle(e)
				n++
			case <-time.After(waitTimeout):
				So("no report", ShouldBeEmpty)
			}
		}
		So(r.placed.Resources().MilliCores(), ShouldEqual, 1000)
		r.run("place", `{"run_ms":1}`)
		So(r.placed.Resources().MilliCores(), ShouldEqual, 100)
	})
}

// TestControl guards against a task that keeps its resources after it was throttled or
// checkpointed.
func TestControl(t *testing.T) {
	Convey("the pool frees and reclaims the resources of a task", t, func() {
		server, stop := newPool()
		defer stop()
		call := func(method, path string, body any) int {
			req := must(http.NewRequest(method, server.URL+path, strings.NewReader(string(must(json.Marshal(body))))))
			resp := must(http.DefaultClient.Do(req))
			_ = resp.Body.Close()
			return resp.StatusCode
		}
		lease := func(name string, cores int) int {
			return call(http.MethodPost, "/v1/workers/w/leases", map[string]any{
				"lease": name, "ttl_ms": 5000, "milli_cores": cores, "payload": []byte(`{"run_ms":60000}`),
			})
		}
		act := func(name, action string) int {
			return call(http.MethodPatch, "/v1/leases/"+name, map[string]string{"action": action})
		}
		So(lease("x", 5000), ShouldEqual, http.StatusUnprocessableEntity)
		So(lease("a/b/0", 4000), ShouldEqual, http.StatusCreated)
		So(lease("a/b/0", 4000), ShouldEqual, http.StatusOK)
		So(lease("c", 2000), ShouldEqual, http.StatusConflict)
		So(act("a/b/0", "throttle"), ShouldEqual, http.StatusNoContent)
		So(lease("c", 2000), ShouldEqual, http.StatusCreated)
		So(lease("d", 1000), ShouldEqual, http.StatusConflict)
		So(act("a/b/0", "checkpoint"), ShouldEqual, http.StatusNoContent)
		So(lease("d", 1000), ShouldEqual, http.StatusCreated)
		So(act("a/b/0", "resume"), ShouldEqual, http.StatusConflict)
		So(act("a/b/0", "dance"), ShouldEqual, http.StatusBadRequest)
		So(call(http.MethodDelete, "/v1/leases/c", nil), ShouldEqual, http.StatusNoContent)
		So(call(http.MethodDelete, "/v1/leases/d", nil), ShouldEqual, http.StatusNoContent)
		So(act("a/b/0", "resume"), ShouldEqual, http.StatusNoContent)
		So(call(http.MethodPut, "/v1/leases/d", nil), ShouldEqual, http.StatusNotFound)
	})
}
